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
	// ratingDecayCount is the number of newer ratings in a cell after which the weight of a rating has decayed to 1/e.
	ratingDecayCount = 2000
	// recentDecayCount is the same for the recent mean. If the recent mean differs from the cell's mean by more than
	// changeDeviations standard errors, the quality has changed, and only the recent ratings are kept.
	recentDecayCount = 100
	changeDeviations = 4
	// halfLife is the time in which the weight of a cell is halved. A version with bad ratings is therefore tried again
	// when it has received none for long.
	halfLife = 7 * 24 * time.Hour
	// maxKinds limits the size of the summary, because callers choose the names of kinds. Further kinds share otherKind.
	maxKinds  = 32
	otherKind = "other"
	// poorScore is the score below which a rating counts as poor when the versions of a rollout are compared.
	poorScore = 0.5
	// maxBodyBytes limits a decompressed summary. 32 kinds with 40 labels of 100 bytes each take 128 KB.
	maxBodyBytes = 1 << 20
	// minCellWeight is the effective number of ratings and answers below which a cell is dropped.
	minCellWeight = 0.01
)

// Cell holds the exponentially discounted sums over the ratings of one kind and label, and over the confidence of their
// answers.
type Cell struct {
	N    float64 `json:"n"` // effective number of ratings
	Sum  float64 `json:"s"`
	Sum2 float64 `json:"q"` // sum of squares
	// RecentN and RecentSum are the same sums with the faster decay of recentDecayCount.
	RecentN   float64 `json:"rn"`
	RecentSum float64 `json:"rs"`

	Paired  Paired  `json:"p,omitzero"`
	Answers Answers `json:"a,omitzero"`
}

// scale returns the cell with the weight of all ratings and answers multiplied by f.
func (c Cell) scale(f float64) Cell {
	return Cell{N: c.N * f, Sum: c.Sum * f, Sum2: c.Sum2 * f, RecentN: c.RecentN * f, RecentSum: c.RecentSum * f, Paired: c.Paired.scale(f), Answers: c.Answers.scale(f)}
}

// merge returns the sum of two cells.
func (c Cell) merge(o Cell) Cell {
	c.N, c.Sum, c.Sum2 = c.N+o.N, c.Sum+o.Sum, c.Sum2+o.Sum2
	c.RecentN, c.RecentSum = c.RecentN+o.RecentN, c.RecentSum+o.RecentSum
	c.Paired, c.Answers = c.Paired.merge(o.Paired), c.Answers.merge(o.Answers)
	return c
}

// add discounts the older ratings and adds one. If the recent mean shows that the quality has changed, it drops the
// older ratings.
func (c Cell) add(score float64) Cell {
	const decayFactor, recentDecayFactor = 1 - 1.0/ratingDecayCount, 1 - 1.0/recentDecayCount
	c.N, c.Sum, c.Sum2 = c.N*decayFactor+1, c.Sum*decayFactor+score, c.Sum2*decayFactor+score*score
	c.RecentN, c.RecentSum = c.RecentN*recentDecayFactor+1, c.RecentSum*recentDecayFactor+score
	if c.RecentN < recentDecayCount/2 || c.N < 2*c.RecentN {
		return c
	}
	mean := c.Sum / c.N
	variance := max(priorVariance/4, c.Sum2/c.N-mean*mean)
	// A discounted mean of effective weight n has the variance of a mean of 2n equally weighted ratings.
	if d := c.RecentSum/c.RecentN - mean; d*d > changeDeviations*changeDeviations*variance/(2*c.RecentN) {
		return c.scale(c.RecentN / c.N).replaceMean(c.RecentSum / c.RecentN)
	}
	return c
}

// replaceMean returns the cell with another mean and the same weight and variance. It drops the confidence data, which
// belongs to the old quality.
func (c Cell) replaceMean(mean float64) Cell {
	old := c.Sum / c.N
	c.Sum2 += c.N * (mean*mean - old*old)
	c.Sum = c.N * mean
	c.RecentN, c.RecentSum = c.N, c.Sum
	c.Paired, c.Answers = Paired{}, Answers{}
	return c
}

// Total counts the ratings of a version without any discount.
type Total struct {
	Rated uint64 `json:"r"`
	Poor  uint64 `json:"p"` // score below 0.5
}

// Summary is the state of all estimates. The cursor of the rating service is stored with it, so that each rating is
// counted once even if another daemon continues to read. It is not safe for concurrent use.
type Summary struct {
	Holder  string                     `json:"holder,omitempty"` // address of the daemon that receives reports
	Cursor  uint64                     `json:"cursor"`
	Updated time.Time                  `json:"updated"` // time to which the cells are discounted
	Cells   map[string]map[string]Cell `json:"cells"`   // by kind and label
	Totals  map[string]Total           `json:"totals"`  // by version
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{Cells: map[string]map[string]Cell{}, Totals: map[string]Total{}}
}

// splitLabel returns the cell's label and the version from the version field of a rating. For a cascade's answer, the
// field is the cascade's label followed by the version. The answers of all steps count for the cascade, not for their
// versions: only requests that escalate reach the later steps, which would bias the estimates of those versions.
func splitLabel(ratedVersion string) (cell, version string) {
	name, version, ok := strings.Cut(ratedVersion, "/")
	if !ok {
		return ratedVersion, ratedVersion
	}
	return name + "/", version
}

// Add counts a rating. It ignores a rating with a score outside 0 to 1.
func (s *Summary) Add(r rating.Rating) {
	if !(r.Score >= 0 && r.Score <= 1) {
		return
	}
	cell, version := splitLabel(r.Version)
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

// AddPair counts a rating together with the confidence of its answer, from 0 to 1. The rating must also have been added
// by Add.
func (s *Summary) AddPair(r rating.Rating, confidence float64) {
	if !(r.Score >= 0 && r.Score <= 1) {
		return
	}
	name, _ := splitLabel(r.Version)
	kind := s.kind(r.Kind)
	if c, ok := s.Cells[kind][name]; ok {
		c.Paired = c.Paired.add(confidence, r.Score)
		s.Cells[kind][name] = c
	}
}

// AddReport counts the answers of a report. It ignores kinds that have no ratings, so that callers who make up kinds
// don't exhaust maxKinds, and cells with impossible sums.
func (s *Summary) AddReport(r Report) {
	for _, cell := range r.Cells {
		cells, rated := s.Cells[s.kind(cell.Kind)]
		moments, ok := cell.moments()
		if !rated || !ok {
			continue
		}
		c := cells[cell.Label]
		c.Answers = c.Answers.add(moments)
		cells[cell.Label] = c
	}
}

// kind returns the key in Cells for a kind of request: otherKind if the kind is new and maxKinds are reached.
func (s *Summary) kind(name string) string {
	if name == "" {
		name = identify.DefaultKind
	}
	if _, ok := s.Cells[name]; !ok && len(s.Cells) >= maxKinds {
		return otherKind
	}
	return name
}

// DiscountTo discounts all cells by the time since Updated, drops those whose weight has fallen below minCellWeight,
// and sets Updated to now. It does nothing if now is not after Updated. The first call only sets Updated.
func (s *Summary) DiscountTo(now time.Time) {
	if s.Updated.IsZero() || !now.After(s.Updated) {
		if s.Updated.IsZero() {
			s.Updated = now
		}
		return
	}
	decayFactor := math.Exp2(-float64(now.Sub(s.Updated)) / float64(halfLife))
	s.Updated = now
	for kind, cells := range s.Cells {
		for label, c := range cells {
			c = c.scale(decayFactor)
			if max(c.N, c.Answers.N+c.Answers.Without) < minCellWeight {
				delete(cells, label)
				continue
			}
			cells[label] = c
		}
		if len(cells) == 0 {
			delete(s.Cells, kind)
		}
	}
}

// Prune drops the cells and totals whose label or version keep rejects.
func (s *Summary) Prune(keep func(label string) bool) {
	for kind, cells := range s.Cells {
		for cellLabel := range cells {
			if !keep(cellLabel) {
				delete(cells, cellLabel)
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

// Merge adds the ratings of other, after discounting both to the later time. The two must have no rating in common.
// The weight of a merged cell is limited to ratingDecayCount, as that of a cell is by Add. other is not modified.
func (s *Summary) Merge(other *Summary) {
	o := other.Clone()
	later := s.Updated
	if o.Updated.After(later) {
		later = o.Updated
	}
	s.DiscountTo(later)
	o.DiscountTo(later)
	for kind, cells := range o.Cells {
		kind = s.kind(kind)
		if s.Cells[kind] == nil {
			s.Cells[kind] = map[string]Cell{}
		}
		for label, c := range cells {
			merged := s.Cells[kind][label]
			merged = merged.merge(c)
			s.Cells[kind][label] = merged.scale(min(1, ratingDecayCount/max(1, merged.N)))
		}
	}
	for v, t := range o.Totals {
		merged := s.Totals[v]
		s.Totals[v] = Total{Rated: merged.Rated + t.Rated, Poor: merged.Poor + t.Poor}
	}
}

// Clone returns a copy that shares nothing with s.
func (s *Summary) Clone() *Summary {
	c := NewSummary()
	c.Holder, c.Cursor, c.Updated = s.Holder, s.Cursor, s.Updated
	for kind, cells := range s.Cells {
		c.Cells[kind] = make(map[string]Cell, len(cells))
		for label, cell := range cells {
			c.Cells[kind][label] = cell
		}
	}
	for v, t := range s.Totals {
		c.Totals[v] = t
	}
	return c
}

// Encode returns the compressed JSON form, which is stored and sent to all daemons.
func (s *Summary) Encode() ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(s); err != nil {
		return nil, fmt.Errorf("encode quality summary: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("compress quality summary: %w", err)
	}
	return buf.Bytes(), nil
}

// Decode decodes a summary that Encode returned. It fails if the body is damaged, incomplete or larger than
// maxBodyBytes.
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
