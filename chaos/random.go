package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// RandomSpec describes a series of runs with random failures.
type RandomSpec struct {
	Seed      uint64
	Runs      int
	MaxFaults int           // failures at the same time
	MaxHold   time.Duration // longest failure
}

// draw returns the run of a seed.
func (s *RandomSpec) draw(seed uint64) Spec {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := Faults()
	rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	faults = faults[:1+rng.IntN(s.MaxFaults)]
	hold := time.Duration(rng.Int64N(int64(s.MaxHold))) + 1
	return Spec{Seed: seed, Faults: faults, Rounds: 1 + rng.IntN(3), Hold: hold}
}

// String names the seed and the failures.
func (s Spec) String() string {
	var names []string
	for _, f := range s.Faults {
		names = append(names, f.Name)
	}
	return fmt.Sprintf("seed %d: %s for %s", s.Seed, strings.Join(names, "+"), s.Hold.Round(time.Millisecond))
}

// Random runs a series and reports each run in one line. It returns the number of runs with violations.
func Random(ctx context.Context, spec RandomSpec, w io.Writer) (failed int, err error) {
	for i := range spec.Runs {
		run := spec.draw(spec.Seed + uint64(i))
		report, err := Run(ctx, run)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", run.Seed, err)
		}
		fmt.Fprintf(w, "%s: %d requests, %d answered, %d violations\n", run, report.Requests, report.Answered, len(report.Violations))
		for _, v := range report.Violations {
			fmt.Fprintf(w, "  %s\n", v)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	return failed, nil
}
