package choose

import (
	"fmt"
	"testing"
)

// Guards against garbage for each request in the choice, beyond the list of candidates that it returns.
func TestChoiceDoesNotAllocate(t *testing.T) {
	in := input(18)
	estimates := known{}
	for i := range 18 {
		estimates[fmt.Sprintf("m%02d-1", i)] = firm(0.5 + 0.025*float64(i))
	}
	f := New(Spec{Estimator: estimates, Explore: DefaultBudget})
	first(t, f, in) // the team's record
	const list = 1
	if n := testing.AllocsPerRun(1000, func() { _, _ = f.Do(in) }); n > list {
		t.Errorf("%v allocations, want %d", n, list)
	}
}

// BenchmarkDo reports the cost of a choice among the versions of the target.
func BenchmarkDo(b *testing.B) {
	for _, versions := range []int{3, 9, 18} {
		b.Run(fmt.Sprint(versions), func(b *testing.B) {
			in := input(versions)
			f := New(Spec{Estimator: Declared{}, Explore: DefaultBudget})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.Do(in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
