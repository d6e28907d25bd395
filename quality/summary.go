package quality

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/rating"
)

const (
	// memory is the number of ratings after which an older rating of the same cell counts 1/e.
	memory = 2000
	// recent is the same for the recent mean. If that differs from the cell's mean by more than changeDeviations standard
	// errors, the quality has changed, and only the recent ratings are kept.
	recent           = 100
	changeDeviations = 4
	// halfLife fades cells that get no ratings, so that a version that was found bad is tried again.
	halfLife = 7 * 24 * time.Hour
	// maxKinds bounds the summary, because callers name the kinds. Ratings of further kinds share one.
	maxKinds  = 32
	otherKind = "other"
	// poorScore is the score below which a rating counts as poor in the comparison of versions under roll-out.
	poorScore = 0.5
	// maxBodyBytes bounds a decoded summary: 32 kinds of 40 labels with 100 bytes each have 128 KB.
	maxBodyBytes = 1 << 20
	// minWeight is the weight below which a cell is dropped.
	minWeight = 0.01
)

// Cell holds the discounted moments of the ratings of one kind and label.
type Cell struct {
	N    float64 `json:"n"` // effective number of ratings
	Sum  float64 `json:"s"`
	Sum2 float64 `json:"q"` // sum of squares
	// RecentN and RecentSum are the same with a shorter memory.
	RecentN   float64 `json:"rn"`
	RecentSum float64 `json:"rs"`

	Paired  Paired  `json:"p,omitzero"`
	Answers Answers `json:"a,omitzero"`
}

// scale multiplies the weight of all ratings.
func (c Cell) scale(f float64) Cell {
	return Cell{N: c.N * f, Sum: c.Sum * f, Sum2: c.Sum2 * f, RecentN: c.RecentN * f, RecentSum: c.RecentSum * f, Paired: c.Paired.scale(f), Answers: c.Answers.scale(f)}
}

// merge adds the weights of another cell.
func (c Cell) merge(o Cell) Cell {
	c.N, c.Sum, c.Sum2 = c.N+o.N, c.Sum+o.Sum, c.Sum2+o.Sum2
	c.RecentN, c.RecentSum = c.RecentN+o.RecentN, c.RecentSum+o.RecentSum
	c.Paired, c.Answers = c.Paired.merge(o.Paired), c.Answers.merge(o.Answers)
	return c
}

// add counts one score.
func (c Cell) add(score float64) Cell {
	const keep, keepRecent = 1 - 1.0/memory, 1 - 1.0/recent
	c.N, c.Sum, c.Sum2 = c.N*keep+1, c.Sum*keep+score, c.Sum2*keep+score*score
	c.RecentN, c.RecentSum = c.RecentN*keepRecent+1, c.RecentSum*keepRecent+score
	if c.RecentN < recent/2 || c.N < 2*c.RecentN {
		return c
	}
	mean := c.Sum / c.N
	variance := max(priorVariance/4, c.Sum2/c.N-mean*mean)
	// A discounted mean of effective weight n has the variance of one of 2n equal ratings.
	if d := c.RecentSum/c.RecentN - mean; d*d > changeDeviations*changeDeviations*variance/(2*c.RecentN) {
		return c.scale(c.RecentN / c.N).replaceMean(c.RecentSum / c.RecentN)
	}
	return c
}

// replaceMean moves the mean and keeps weight and variance.
func (c Cell) replaceMean(mean float64) Cell {
	old := c.Sum / c.N
	c.Sum2 += c.N * (mean*mean - old*old)
	c.Sum = c.N * mean
	c.RecentN, c.RecentSum = c.N, c.Sum
	c.Paired, c.Answers = Paired{}, Answers{}
	return c
}

// Total counts ratings of a version without discount.
type Total struct {
	Rated uint64 `json:"r"`
	Poor  uint64 `json:"p"` // score below 0.5
}

// Summary is the state of all estimates. The cursor of the rating service is saved with it, so that a rating is counted
// once whoever reads it.
type Summary struct {
	Holder  string                     `json:"holder,omitempty"` // address of the daemon that takes reports
	Cursor  uint64                     `json:"cursor"`
	Updated time.Time                  `json:"updated"` // time to which the cells are discounted
	Cells   map[string]map[string]Cell `json:"cells"`   // by kind and label
	Totals  map[string]Total           `json:"totals"`  // by version
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{Cells: map[string]map[string]Cell{}, Totals: map[string]Total{}}
}

// label returns the cell's label and the version of a rating's version field. For a cascade's answer, the field is the
// cascade's label followed by the version. The answers of all steps count for the cascade, because only doubtful
// requests reach the later steps, which would bias the estimates of single versions.
func label(field string) (cell, version string) {
	name, version, ok := strings.Cut(field, "/")
	if !ok {
		return field, field
	}
	return name + "/", version
}

// Add counts a rating. Scores outside 0 to 1 are ignored.
func (s *Summary) Add(r rating.Rating) {
	if !(r.Score >= 0 && r.Score <= 1) {
		return
	}
	cell, version := label(r.Version)
	kind := s.kind(r.Kind)
	if s.Cells[kind] == nil {
		s.Cells[kind] = map[string]Cell{}
	}
	s.Cells[kind][cell] = s.Cells[kind][cell].add(r.Score)
	t := s.Totals[version]
	t.Rated++
	if r.Score < poorScore {
		t.Poor++
	}
	s.Totals[version] = t
}

// Pair adds the confidence of an answer to its rating, which was added before.
func (s *Summary) Pair(r rating.Rating, confidence float64) {
	if !(r.Score >= 0 && r.Score <= 1) {
		return
	}
	name, _ := label(r.Version)
	kind := s.kind(r.Kind)
	if c, ok := s.Cells[kind][name]; ok {
		c.Paired = c.Paired.add(confidence, r.Score)
		s.Cells[kind][name] = c
	}
}

// Count adds the answers of a report. Kinds that have no ratings are not counted, so that their callers take no room from
// others.
func (s *Summary) Count(r Report) {
	for _, x := range r.Cells {
		cells, rated := s.Cells[s.kind(x.Kind)]
		answers, ok := x.answers()
		if !rated || !ok {
			continue
		}
		c := cells[x.Label]
		c.Answers = c.Answers.add(answers)
		cells[x.Label] = c
	}
}

func (s *Summary) kind(name string) string {
	if name == "" {
		name = identify.DefaultKind
	}
	if _, ok := s.Cells[name]; !ok && len(s.Cells) >= maxKinds {
		return otherKind
	}
	return name
}

// Age discounts all cells to the time now and drops those that have faded.
func (s *Summary) Age(now time.Time) {
	if s.Updated.IsZero() || !now.After(s.Updated) {
		if s.Updated.IsZero() {
			s.Updated = now
		}
		return
	}
	f := math.Exp2(-float64(now.Sub(s.Updated)) / float64(halfLife))
	s.Updated = now
	for kind, cells := range s.Cells {
		for l, c := range cells {
			c = c.scale(f)
			if max(c.N, c.Answers.N+c.Answers.Without) < minWeight {
				delete(cells, l)
				continue
			}
			cells[l] = c
		}
		if len(cells) == 0 {
			delete(s.Cells, kind)
		}
	}
}

// Prune drops labels for which keep returns false.
func (s *Summary) Prune(keep func(label string) bool) {
	for kind, cells := range s.Cells {
		for l := range cells {
			if !keep(l) {
				delete(cells, l)
			}
		}
		if len(cells) == 0 {
			delete(s.Cells, kind)
		}
	}
	for v := range s.Totals {
		if !keep(v) {
			delete(s.Totals, v)
		}
	}
}

// Merge adds the ratings of other, which must be disjoint, after both are discounted to the later time.
func (s *Summary) Merge(other *Summary) {
	o := other.Clone()
	later := s.Updated
	if o.Updated.After(later) {
		later = o.Updated
	}
	s.Age(later)
	o.Age(later)
	for kind, cells := range o.Cells {
		kind = s.kind(kind)
		if s.Cells[kind] == nil {
			s.Cells[kind] = map[string]Cell{}
		}
		for l, c := range cells {
			m := s.Cells[kind][l]
			m = m.merge(c)
			s.Cells[kind][l] = m.scale(min(1, memory/max(1, m.N)))
		}
	}
	for v, t := range o.Totals {
		m := s.Totals[v]
		s.Totals[v] = Total{Rated: m.Rated + t.Rated, Poor: m.Poor + t.Poor}
	}
}

// Clone returns a copy that shares nothing with s.
func (s *Summary) Clone() *Summary {
	c := NewSummary()
	c.Holder, c.Cursor, c.Updated = s.Holder, s.Cursor, s.Updated
	for kind, cells := range s.Cells {
		c.Cells[kind] = make(map[string]Cell, len(cells))
		for l, cell := range cells {
			c.Cells[kind][l] = cell
		}
	}
	for v, t := range s.Totals {
		c.Totals[v] = t
	}
	return c
}

// Encode returns the compressed form that is stored and spread.
func (s *Summary) Encode() ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(s); err != nil {
		return nil, fmt.Errorf("encode quality summary: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("encode quality summary: %w", err)
	}
	return buf.Bytes(), nil
}

// Decode reads the form that Encode returns.
func Decode(body []byte) (*Summary, error) {
	zr, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decode quality summary: %w", err)
	}
	s := NewSummary()
	if err := json.NewDecoder(io.LimitReader(zr, maxBodyBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("decode quality summary: %w", err)
	}
	if s.Cells == nil || s.Totals == nil {
		return nil, fmt.Errorf("decode quality summary: fields are missing")
	}
	return s, nil
}
