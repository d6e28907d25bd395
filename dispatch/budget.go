package dispatch

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget. During an outage of all endpoints, the
	// load on them grows by at most this part.
	retryRatio = 0.2
	// retryReserve is the largest number of saved retries.
	retryReserve = 50
)

// budget bounds the retries of the process.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryReserve} }

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+retryRatio)
}

func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
