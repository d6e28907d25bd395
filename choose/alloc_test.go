package choose

import (
	"fmt"
	"testing"
)

// Guards against heap allocations in Filter.Do, which runs for each request, beyond the list of candidates that it
// returns.
func TestChoiceDoesNotAllocate(t *testing.T) {
	in := testInput(18)
	estimates := fixedEstimates{}
	for i := range 18 {
		estimates[fmt.Sprintf("m%02d-1", i)] = reliableEstimate(0.5 + 0.025*float64(i))
	}
	f := New(Spec{Estimator: estimates, Exploration: DefaultExplorationBudget})
	chosenName(t, f, in) // creates the team's counters
	const list = 1
	if n := testing.AllocsPerRun(1000, func() { _, _ = f.Do(in) }); n > list {
		t.Errorf("%v allocations per choice, want at most %d", n, list)
	}
}

// BenchmarkDo measures the cost of a choice for several numbers of versions.
func BenchmarkDo(b *testing.B) {
	for _, versions := range []int{3, 9, 18} {
		b.Run(fmt.Sprint(versions), func(b *testing.B) {
			in := testInput(versions)
			f := New(Spec{Estimator: Declared{}, Exploration: DefaultExplorationBudget})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.Do(in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
