package quality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/bramleytrail/bramleytrail/rating"
)

// simulateAnswers returns a summary of n answers, of which 80 % are good and about 25 % are rated. Good answers have a
// higher confidence. With a confidenceBias above 0, confident answers are rated more often. Without report, only
// ratings are counted.
func simulateAnswers(seed uint64, n int, confidenceBias float64, report bool) *Summary {
	rng := rand.New(rand.NewPCG(seed, 2))
	s, recent := NewSummary(), NewRecentConfidences()
	var c Collector
	for i := range n {
		score, level := 0.0, 0.55
		if rng.Float64() < 0.8 {
			score, level = 1, 0.82
		}
		x := min(1, max(0.01, level+0.1*rng.NormFloat64()))
		r := rating.Rating{RequestID: fmt.Sprint(i), Version: "v", Kind: "k", Score: score}
		rated := rng.Float64() < 0.25+confidenceBias*(x-0.766)
		c.Add(r.RequestID, r.Kind, r.Version, x)
		if report {
			rep := c.Take()
			recent.Add(rep)
			s.AddReport(rep)
		}
		if !rated {
			continue
		}
		s.Add(r)
		if x, ok := recent.Confidence(r.RequestID); ok {
			s.AddPair(r, x)
		}
	}
	return s
}

// Guards against a regression whose lower bound exceeds the true quality too often, whose bounds are no narrower than
// those of the ratings alone, or that keeps the bias of a sample in which confident answers are rated more often. A
// linear regression does not remove all of that bias, because the probability of a good answer is a steeper function of
// its confidence.
func TestConfidenceNarrowsTheBounds(t *testing.T) {
	const trials, truth = 500, 0.8
	for _, confidenceBias := range []float64{0, 0.5} {
		missed, bias, width, ratingsBias, ratingsWidth := 0, 0.0, 0.0, 0.0, 0.0
		for seed := range uint64(trials) {
			lower, mean, _ := estimateOf(simulateAnswers(seed, 1200, confidenceBias, true), "v", 0.5)
			if lower > truth {
				missed++
			}
			bias += (mean - truth) / trials
			width += mean - lower
			lower, mean, _ = estimateOf(simulateAnswers(seed, 1200, confidenceBias, false), "v", 0.5)
			ratingsBias += (mean - truth) / trials
			ratingsWidth += mean - lower
		}
		t.Logf("confidence bias %.1f: lower bound above the true quality in %d of %d trials, bias %.4f (ratings alone %.4f), width %.2f of that of the ratings alone",
			confidenceBias, missed, trials, bias, ratingsBias, width/ratingsWidth)
		if math.Abs(bias) > max(0.003, ratingsBias/4) {
			t.Errorf("confidence bias %.1f: bias of the mean %.4f, with the ratings alone %.4f", confidenceBias, bias, ratingsBias)
		}
		if confidenceBias == 0 && (missed > trials/20 || width > 0.85*ratingsWidth) {
			t.Errorf("lower bound above the true quality in %d of %d trials, width %.2f of that of the ratings alone", missed, trials, width/ratingsWidth)
		}
	}
}

// Guards against using the confidence when it is not known of enough answers or does not vary. The estimates must then
// equal those of the ratings alone.
func TestWithoutConfidence(t *testing.T) {
	ratingsOnly := simulateAnswers(1, 1200, 0, false)
	for name, modify := range map[string]func(*Cell){
		"no report":                   func(c *Cell) { c.Answers = Answers{} },
		"no pair":                     func(c *Cell) { c.Paired = Paired{} },
		"a tenth without confidence":  func(c *Cell) { c.Answers.Without = c.Answers.N / 9 },
		"the same confidence for all": func(c *Cell) { c.Paired.X, c.Paired.X2 = c.Paired.N/2, c.Paired.N/4 },
	} {
		s := simulateAnswers(1, 1200, 0, true)
		c := s.Cells["k"]["v"]
		modify(&c)
		s.Cells["k"]["v"] = c
		gotLower, gotMean, _ := estimateOf(s, "v", 0.5)
		lower, mean, _ := estimateOf(ratingsOnly, "v", 0.5)
		if gotLower != lower || gotMean != mean {
			t.Errorf("%s: lower bound %.4f, mean %.4f; with the ratings alone %.4f, %.4f", name, gotLower, gotMean, lower, mean)
		}
	}
}

// Guards against keeping pairs of a quality that has changed, and against losing pairs when a summary is stored or
// merged.
func TestPairsAreKeptAndDropped(t *testing.T) {
	s := simulateAnswers(1, 4000, 0, true)
	want := s.Cells["k"]["v"].Paired.N
	body, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	if got := decoded.Cells["k"]["v"].Paired.N; math.Abs(got-want) > 0.01 {
		t.Errorf("%.2f pairs decoded; want %.2f", got, want)
	}
	decoded.Merge(s)
	if got := decoded.Cells["k"]["v"].Paired.N; math.Abs(got-2*want) > 0.02*want {
		t.Errorf("%.2f pairs after a merge; want two times %.2f", got, want)
	}
	addRatings(s, 2, 2*recentDecayCount, "v", 0.2)
	if got := s.Cells["k"]["v"].Paired.N; got > 0 {
		t.Errorf("%.0f pairs are left after the quality fell", got)
	}
}

// Guards against an estimate that follows a wrong declared quality of a version without ratings, although the
// confidence of its answers contradicts it.
func TestConfidenceCorrectsTheDeclaredQuality(t *testing.T) {
	s := simulateAnswers(1, 1200, 0, true)
	s.AddReport(Report{Cells: []ReportCell{{Kind: "k", Label: "poor", N: 30, Sum: 30 * 140, Sum2: 30 * 140 * 150}}})
	if _, mean, _ := estimateOf(s, "poor", 0.9); mean > 0.6 {
		t.Errorf("mean %.2f for a version whose answers have the confidence of bad ones, with declared quality 0.9; want at most 0.6", mean)
	}
}

// Guards against reports and confidence tables that grow without limit, and against a peer's invalid report that
// changes the estimates.
func TestReportsAreBounded(t *testing.T) {
	var collector Collector
	for i := range 10 * maxReportCells {
		collector.Add(fmt.Sprint(i), fmt.Sprint(i), "v", 0.5)
	}
	report := collector.Take()
	if len(report.Cells) > maxReportCells || len(report.Samples) > maxSamples {
		t.Errorf("%d cells and %d samples in a report; the limits are %d and %d", len(report.Cells), len(report.Samples), maxReportCells, maxSamples)
	}
	table := NewRecentConfidences()
	for i := range uint32(maxRecentAnswers + 10) {
		table.Add(Report{Samples: []uint32{i}, Levels: []byte{1}})
	}
	if len(table.levels) != maxRecentAnswers {
		t.Errorf("%d answers are kept; the limit is %d", len(table.levels), maxRecentAnswers)
	}
	s := simulateAnswers(1, 400, 0, true)
	before := s.Cells["k"]["v"]
	s.AddReport(Report{Cells: []ReportCell{{Kind: "k", Label: "v", N: 1, Sum: 256}, {Kind: "k", Label: "v", N: 1 << 40}}})
	if s.Cells["k"]["v"] != before {
		t.Errorf("a report with impossible sums was counted: cell %+v", s.Cells["k"]["v"])
	}
}
