package quality

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSamples is the maximum number of samples in a report, which limits them to 200 B. Beyond one answer per second
	// and daemon, there are so many ratings that pairs for some of them suffice.
	maxSamples = 32
	// maxReportCells is the maximum number of cells in a report. Answers of further kinds and labels are not counted.
	maxReportCells = 64
	// maxRecentAnswers is the maximum number of answers whose confidence the holder of the rating duty keeps until their
	// ratings arrive, about 6 MB. That covers seven hours of 9 daemons at their limit, or 11 min of 370.
	maxRecentAnswers = 1 << 18
	// confidenceLevels is the level of a confidence of 1 in a report.
	confidenceLevels = 255
)

// ReportCell counts the answers of one kind and label since the last report. Sum and Sum2 add up confidence levels and
// their squares, from 0 to confidenceLevels, because integers take fewer bytes.
type ReportCell struct {
	Kind, Label  string
	N, Sum, Sum2 uint64
	Without      uint64 // answers without a reported confidence; N does not include them
}

// moments returns the sums over the answers. ok is false if no answers can have these sums, so that an invalid message
// of a peer does not corrupt the estimates.
func (c ReportCell) moments() (a Answers, ok bool) {
	ok = c.N+c.Without <= math.MaxUint32 && c.Sum <= confidenceLevels*c.N && c.Sum2 <= confidenceLevels*c.Sum
	return Answers{N: float64(c.N), X: float64(c.Sum) / confidenceLevels, X2: float64(c.Sum2) / (confidenceLevels * confidenceLevels), Without: float64(c.Without)}, ok
}

// Report describes a daemon's answers since its last report. Daemons send it to the holder of the rating duty. Samples
// and Levels have one element per sampled answer: the hash of the request's ID and the confidence level.
type Report struct {
	Cells   []ReportCell
	Samples []uint32
	Levels  []byte
}

// Empty reports whether the report has no answers.
func (r Report) Empty() bool { return len(r.Cells) == 0 }

// Collector counts the answers of a daemon until the next report. The zero value is ready for use, and it is safe for
// concurrent use.
type Collector struct {
	mu     sync.Mutex
	report Report
}

// Add counts an answer. The version is the one under which the answer is rated, see rating.Rating. The confidence is 0
// if the engine reported none.
func (c *Collector) Add(requestID, kind, version string, confidence float64) {
	name, _ := splitLabel(version)
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
	level := uint64(math.Round(confidence * confidenceLevels))
	cell.N, cell.Sum, cell.Sum2 = cell.N+1, cell.Sum+level, cell.Sum2+level*level
	if len(r.Samples) < maxSamples {
		r.Samples = append(r.Samples, sampleHash(requestID))
		r.Levels = append(r.Levels, byte(level))
	}
}

// cell returns the cell of a kind and label. It adds one if necessary, and returns nil if the report is full.
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

// Take returns the report of the answers since the last call and starts a new one.
func (c *Collector) Take() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	c.report = Report{}
	return r
}

// sampleHash identifies a request in a report, in 4 bytes.
func sampleHash(requestID string) uint32 { return uint32(xxhash.Sum64String(requestID)) }

// RecentConfidences holds the confidence of recent answers until their ratings arrive. When it is full, it drops the
// oldest answer. It is not safe for concurrent use.
type RecentConfidences struct {
	levels         map[uint32]byte // confidence levels by sampleHash
	insertionOrder []uint32        // ring buffer of the keys of levels
	next           int             // index of the oldest key once the ring is full
}

// NewRecentConfidences returns an empty table.
func NewRecentConfidences() *RecentConfidences { return &RecentConfidences{levels: map[uint32]byte{}} }

// Add adds the samples of a report.
func (r *RecentConfidences) Add(rep Report) {
	for i, s := range rep.Samples[:min(len(rep.Samples), len(rep.Levels))] {
		if _, ok := r.levels[s]; ok {
			continue
		}
		if len(r.insertionOrder) < maxRecentAnswers {
			r.insertionOrder = append(r.insertionOrder, s)
		} else {
			delete(r.levels, r.insertionOrder[r.next])
			r.insertionOrder[r.next] = s
			r.next = (r.next + 1) % maxRecentAnswers
		}
		r.levels[s] = rep.Levels[i]
	}
}

// Confidence returns the confidence of the answer to a request, and whether it is known.
func (r *RecentConfidences) Confidence(requestID string) (float64, bool) {
	level, ok := r.levels[sampleHash(requestID)]
	return float64(level) / confidenceLevels, ok
}
