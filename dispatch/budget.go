package dispatch

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget. If all endpoints are down, retries
	// raise the load on them by at most this fraction.
	retryRatio = 0.2
	// retryReserve is the maximum number of saved retries.
	retryReserve = 50
	// hedgeReserve is the maximum number of saved hedges. At the design load, with one replica in ten unresponsive, a
	// daemon sends it 1.8 requests a second for up to 4 s, until a load report has timed out.
	hedgeReserve = 20
)

// budget bounds the retries or hedges of the process to a ratio of its requests plus a reserve. It is safe for
// concurrent use.
type budget struct {
	ratio   float64 // tokens added by each request
	reserve float64 // maximum number of tokens

	mu     sync.Mutex
	tokens float64 // retries or hedges that may be withdrawn
}

func newBudget(ratio, reserve float64) *budget {
	return &budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

func (b *budget) deposit() { b.add(b.ratio) }

// refund returns a withdrawn token that was not used.
func (b *budget) refund() { b.add(1) }

func (b *budget) add(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.reserve, b.tokens+n)
}

// withdraw takes a token and reports whether there was one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
