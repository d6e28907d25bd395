package bench

import (
	"sync"
	"sync/atomic"
)

// workers is the number of runs at a time. It leaves cores to others on a shared machine.
const workers = 4

// parallel calls f for 0 to n-1 and returns the results in order, whatever the order of the runs.
func parallel[T any](n int, f func(int) T) []T {
	out := make([]T, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				out[i] = f(i)
			}
		})
	}
	wg.Wait()
	return out
}
