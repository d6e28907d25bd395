package quality

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSamples bounds the answers of one report that can be paired with ratings, to 200 B. Beyond one answer a second
	// and daemon, ratings are so many that a part of them suffices.
	maxSamples = 32
	// maxReportCells bounds the sums of one report. Answers of further kinds and labels are not counted.
	maxReportCells = 64
	// maxRecent bounds the answers that wait for ratings at the holder of the duty, about 6 MB. It holds those of
	// seven hours of 9 daemons at their limit, and those of 11 min of 370.
	maxRecent = 1 << 18
	// levels is the number of steps of the confidence in a report.
	levels = 255
)

// ReportCell counts the answers of one kind and label since the last report. Sums are in levels of confidence, as integers,
// which take fewer bytes.
type ReportCell struct {
	Kind, Label  string
	N, Sum, Sum2 uint64
	Without      uint64 // answers without confidence, which N does not count
}

// answers returns the moments, and whether they can be those of answers: a message of a peer must not spoil the estimates.
func (c ReportCell) answers() (a Answers, ok bool) {
	ok = c.N+c.Without <= math.MaxUint32 && c.Sum <= levels*c.N && c.Sum2 <= levels*c.Sum
	return Answers{N: float64(c.N), X: float64(c.Sum) / levels, X2: float64(c.Sum2) / (levels * levels), Without: float64(c.Without)}, ok
}

// Report is what a daemon says of its answers to the holder of the rating duty. Samples and Levels go together: the hash of
// a request's identity and its answer's confidence.
type Report struct {
	Cells   []ReportCell
	Samples []uint32
	Levels  []byte
}

// Empty reports whether nothing was counted.
func (r Report) Empty() bool { return len(r.Cells) == 0 }

// Collector counts the answers of a daemon until the next report.
type Collector struct {
	mu     sync.Mutex
	report Report
}

// Add counts an answer with the version under which it is rated. Confidence is 0 if the engine reported none.
func (c *Collector) Add(requestID, kind, version string, confidence float64) {
	name, _ := label(version)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
	cell := r.cell(kind, name)
	if cell == nil {
		return
	}
	if !(confidence > 0 && confidence <= 1) {
		cell.Without++
		return
	}
	level := uint64(math.Round(confidence * levels))
	cell.N, cell.Sum, cell.Sum2 = cell.N+1, cell.Sum+level, cell.Sum2+level*level
	if len(r.Samples) < maxSamples {
		r.Samples = append(r.Samples, sample(requestID))
		r.Levels = append(r.Levels, byte(level))
	}
}

func (r *Report) cell(kind, label string) *ReportCell {
	for i := range r.Cells {
		if c := &r.Cells[i]; c.Kind == kind && c.Label == label {
			return c
		}
	}
	if len(r.Cells) == maxReportCells {
		return nil
	}
	r.Cells = append(r.Cells, ReportCell{Kind: kind, Label: label})
	return &r.Cells[len(r.Cells)-1]
}

// Take returns the counts since the last call.
func (c *Collector) Take() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	c.report = Report{}
	return r
}

func sample(requestID string) uint32 { return uint32(xxhash.Sum64String(requestID)) }

// Recent holds the confidence of recent answers until their ratings arrive. When it is full, the oldest is dropped.
type Recent struct {
	levels map[uint32]byte
	order  []uint32 // ring
	next   int
}

// NewRecent returns an empty table.
func NewRecent() *Recent { return &Recent{levels: map[uint32]byte{}} }

// Add takes the samples of a report.
func (r *Recent) Add(rep Report) {
	for i, s := range rep.Samples[:min(len(rep.Samples), len(rep.Levels))] {
		if _, ok := r.levels[s]; ok {
			continue
		}
		if len(r.order) < maxRecent {
			r.order = append(r.order, s)
		} else {
			delete(r.levels, r.order[r.next])
			r.order[r.next] = s
			r.next = (r.next + 1) % maxRecent
		}
		r.levels[s] = rep.Levels[i]
	}
}

// Confidence returns the confidence of the answer to a request, and whether it is known.
func (r *Recent) Confidence(requestID string) (float64, bool) {
	level, ok := r.levels[sample(requestID)]
	return float64(level) / levels, ok
}
