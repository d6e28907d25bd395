package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// RandomSpec describes a series of runs with random failures, one for each seed from Seed to Seed+Runs-1.
type RandomSpec struct {
	Seed             uint64
	Runs             int
	MaxFaults        int           // upper limit of concurrent failures
	MaxFaultDuration time.Duration // upper limit of the time that a failure lasts
}

// specForSeed draws the failures, rounds and duration of a run. The result depends only on s and seed.
func (s *RandomSpec) specForSeed(seed uint64) Spec {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := Faults()
	rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	faults = faults[:1+rng.IntN(s.MaxFaults)]
	duration := time.Duration(rng.Int64N(int64(s.MaxFaultDuration))) + 1
	return Spec{Seed: seed, Faults: faults, Rounds: 1 + rng.IntN(3), FaultDuration: duration}
}

// String returns the seed, the failures and their duration.
func (s Spec) String() string {
	var names []string
	for _, f := range s.Faults {
		names = append(names, f.Name)
	}
	return fmt.Sprintf("seed %d: %s for %s", s.Seed, strings.Join(names, "+"), s.FaultDuration.Round(time.Millisecond))
}

// RunSeries runs a series and writes one line per run, followed by its violations, to w. It returns the number of runs with
// violations, and an error if a run could not be completed, which ends the series.
func RunSeries(ctx context.Context, spec RandomSpec, w io.Writer) (failed int, err error) {
	for i := range spec.Runs {
		runSpec := spec.specForSeed(spec.Seed + uint64(i))
		report, err := Run(ctx, runSpec)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", runSpec.Seed, err)
		}
		fmt.Fprintf(w, "%s: %d requests, %d answered, %d violations\n", runSpec, report.Requests, report.Answered, len(report.Violations))
		for _, v := range report.Violations {
			fmt.Fprintf(w, "  %s\n", v)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	return failed, nil
}
