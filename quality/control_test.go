package quality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bramleytrail/bramleytrail/rating"
)

// answerMany has n answers counted and reported, of which a part is rated, more often if sure is above 0. Confidence tells
// good answers from bad ones.
func answerMany(seed uint64, n int, sure float64, report bool) *Summary {
	rng := rand.New(rand.NewPCG(seed, 2))
	s, recent := NewSummary(), NewRecent()
	var c Collector
	for i := range n {
		score, level := 0.0, 0.55
		if rng.Float64() < 0.8 {
			score, level = 1, 0.82
		}
		x := min(1, max(0.01, level+0.1*rng.NormFloat64()))
		r := rating.Rating{RequestID: fmt.Sprint(i), Version: "v", Kind: "k", Score: score}
		rated := rng.Float64() < 0.25+sure*(x-0.766)
		c.Add(r.RequestID, r.Kind, r.Version, x)
		if report {
			rep := c.Take()
			recent.Add(rep)
			s.Count(rep)
		}
		if !rated {
			continue
		}
		s.Add(r)
		if x, ok := recent.Confidence(r.RequestID); ok {
			s.Pair(r, x)
		}
	}
	return s
}

// Guards against a regression whose bounds miss the true quality more often than stated, that is no narrower than the mean
// of the ratings, or that keeps the bias of a sample in which sure answers are rated more often. A line does not remove all
// of that bias: whether an answer is good depends on its confidence by a steeper curve.
func TestConfidenceNarrowsTheBounds(t *testing.T) {
	const trials, truth = 500, 0.8
	for _, sure := range []float64{0, 0.5} {
		missed, bias, width, plainBias, plainWidth := 0, 0.0, 0.0, 0.0, 0.0
		for seed := range uint64(trials) {
			lower, mean, _ := estimateOf(answerMany(seed, 1200, sure, true), "v", 0.5)
			if lower > truth {
				missed++
			}
			bias += (mean - truth) / trials
			width += mean - lower
			lower, mean, _ = estimateOf(answerMany(seed, 1200, sure, false), "v", 0.5)
			plainBias += (mean - truth) / trials
			plainWidth += mean - lower
		}
		t.Logf("ratings depend on confidence by %.1f: missed in %d of %d, bias %.4f (%.4f), width %.2f of the ratings' alone",
			sure, missed, trials, bias, plainBias, width/plainWidth)
		if math.Abs(bias) > max(0.003, plainBias/4) {
			t.Errorf("ratings depend on confidence by %.1f: bias %.4f, of the ratings alone %.4f", sure, bias, plainBias)
		}
		if sure == 0 && (missed > trials/20 || width > 0.85*plainWidth) {
			t.Errorf("lower bound missed in %d of %d trials, width %.2f of the ratings' alone", missed, trials, width/plainWidth)
		}
	}
}

// Guards against estimates that differ from those of the ratings alone when confidence is not known of enough answers.
func TestWithoutConfidence(t *testing.T) {
	plain := answerMany(1, 1200, 0, false)
	for name, spoil := range map[string]func(*Cell){
		"no report":                   func(c *Cell) { c.Answers = Answers{} },
		"no pair":                     func(c *Cell) { c.Paired = Paired{} },
		"a tenth without confidence":  func(c *Cell) { c.Answers.Without = c.Answers.N / 9 },
		"the same confidence for all": func(c *Cell) { c.Paired.X, c.Paired.X2 = c.Paired.N/2, c.Paired.N/4 },
	} {
		s := answerMany(1, 1200, 0, true)
		c := s.Cells["k"]["v"]
		spoil(&c)
		s.Cells["k"]["v"] = c
		gotLower, gotMean, _ := estimateOf(s, "v", 0.5)
		lower, mean, _ := estimateOf(plain, "v", 0.5)
		if gotLower != lower || gotMean != mean {
			t.Errorf("%s: lower bound %.4f, mean %.4f; by the ratings alone %.4f, %.4f", name, gotLower, gotMean, lower, mean)
		}
	}
}

// Guards against pairs of a quality that has changed, and against a summary that loses pairs when it is stored or merged.
func TestPairsAreKeptAndDropped(t *testing.T) {
	s := answerMany(1, 4000, 0, true)
	want := s.Cells["k"]["v"].Paired.N
	body, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	if got := back.Cells["k"]["v"].Paired.N; math.Abs(got-want) > 0.01 {
		t.Errorf("%.2f pairs decoded; want %.2f", got, want)
	}
	back.Merge(s)
	if got := back.Cells["k"]["v"].Paired.N; math.Abs(got-2*want) > 0.02*want {
		t.Errorf("%.2f pairs after a merge of two times %.2f", got, want)
	}
	addMany(s, 2, 2*recent, "v", 0.2)
	if got := s.Cells["k"]["v"].Paired.N; got > 0 {
		t.Errorf("%.0f pairs are left after the quality fell", got)
	}
}

// Guards against a declared quality that stays the estimate although the confidence of the answers says otherwise.
func TestConfidenceCorrectsTheDeclaredQuality(t *testing.T) {
	s := answerMany(1, 1200, 0, true)
	s.Count(Report{Cells: []ReportCell{{Kind: "k", Label: "poor", N: 30, Sum: 30 * 140, Sum2: 30 * 140 * 150}}})
	if _, mean, _ := estimateOf(s, "poor", 0.9); mean > 0.6 {
		t.Errorf("mean %.2f of a version whose answers have the confidence of bad ones; declared 0.9", mean)
	}
}

// Guards against reports and tables of answers without a limit, and against a report of a peer that spoils the estimates.
func TestReportsAreBounded(t *testing.T) {
	var c Collector
	for i := range 10 * maxReportCells {
		c.Add(fmt.Sprint(i), fmt.Sprint(i), "v", 0.5)
	}
	r := c.Take()
	if len(r.Cells) > maxReportCells || len(r.Samples) > maxSamples {
		t.Errorf("%d cells and %d samples in a report", len(r.Cells), len(r.Samples))
	}
	table := NewRecent()
	for i := range uint32(maxRecent + 10) {
		table.Add(Report{Samples: []uint32{i}, Levels: []byte{1}})
	}
	if len(table.levels) != maxRecent {
		t.Errorf("%d answers are kept; the limit is %d", len(table.levels), maxRecent)
	}
	s := answerMany(1, 400, 0, true)
	before := s.Cells["k"]["v"]
	s.Count(Report{Cells: []ReportCell{{Kind: "k", Label: "v", N: 1, Sum: 256}, {Kind: "k", Label: "v", N: 1 << 40}}})
	if s.Cells["k"]["v"] != before {
		t.Errorf("an impossible report was counted: %+v", s.Cells["k"]["v"])
	}
}
