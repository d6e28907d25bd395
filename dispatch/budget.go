package dispatch

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget. During an outage of all endpoints, the
	// load on them grows by at most this part.
	retryRatio = 0.2
	// retryReserve is the largest number of saved retries.
	retryReserve = 50
	// hedgeReserve is the largest number of saved hedges. At the target a daemon sends 1.8 requests a second to a silent
	// replica in ten, for up to 4 s until a load report has timed out.
	hedgeReserve = 20
)

// budget bounds the retries or hedges of the process.
type budget struct {
	ratio   float64 // added by each request
	reserve float64

	mu     sync.Mutex
	tokens float64
}

func newBudget(ratio, reserve float64) *budget {
	return &budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

func (b *budget) deposit() { b.add(b.ratio) }

// refund gives back what a withdrawal took.
func (b *budget) refund() { b.add(1) }

func (b *budget) add(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.reserve, b.tokens+n)
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
