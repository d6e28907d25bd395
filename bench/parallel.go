package bench

import (
	"sync"
	"sync/atomic"
)

// workers is the number of concurrent runs. It leaves some cores to other processes of a shared machine.
const workers = 4

// parallel calls f for 0 to n-1 in up to workers goroutines and returns the results in the order of the arguments.
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
