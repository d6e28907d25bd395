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

// Random runs a series and reports each run in one line. It returns the number of runs with violations.
func Random(ctx context.Context, spec RandomSpec, w io.Writer) (failed int, err error) {
	for i := range spec.Runs {
		seed := spec.Seed + uint64(i)
		rng := rand.New(rand.NewPCG(seed, 2))
		faults := Faults()
		rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		faults = faults[:1+rng.IntN(spec.MaxFaults)]
		hold := time.Duration(rng.Int64N(int64(spec.MaxHold))) + 1
		report, err := Run(ctx, Spec{Seed: seed, Faults: faults, Rounds: 1 + rng.IntN(3), Hold: hold})
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", seed, err)
		}
		var names []string
		for _, f := range faults {
			names = append(names, f.Name)
		}
		fmt.Fprintf(w, "seed %d: %s for %s: %d requests, %d answered, %d violations\n", seed, strings.Join(names, "+"), hold.Round(time.Millisecond), report.Requests, report.Answered, len(report.Violations))
		for _, v := range report.Violations {
			fmt.Fprintf(w, "  %s\n", v)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	return failed, nil
}
