package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/pool"
)

// windowBudget bounds the retries of a routed service to a ratio of its requests within a sliding window plus a
// reserve. Each request earns one part of the ratio. The other part allows bursts: within what the requests of the last
// window allow, retries may be sent before later requests earn them. It is safe for concurrent use.
type windowBudget struct {
	ratio  float64 // retries for each request
	window time.Duration

	// sharedAttempts returns the sum of the attempts of all daemons that share their counts; nil if none are shared.
	sharedAttempts func(now time.Time) pool.Attempts

	mu             sync.Mutex
	reserve        float64
	tokens         float64   // saved retries
	recentRequests float64   // decaying count of the requests within about the last window
	updatedAt      time.Time // of recentRequests

	borrowed      float64 // retries taken since borrowedSince from what the other daemons leave unused
	borrowedSince time.Time
}

// earnedShare is the fraction of the ratio that each request earns; the rest allows bursts.
const earnedShare = 0.8

const (
	// borrowShare is the fraction of the retries allowed by the requests of all daemons up to which a daemon without
	// saved retries may take those that the others leave unused. Retries that the others have saved come on top, within
	// the remainder.
	borrowShare = 0.85
	// borrowInterval is the time within which all daemons learn how much each has borrowed. Within it, each borrows at
	// most an equal part of what is unused.
	borrowInterval = 1500 * time.Millisecond
)

func newWindowBudget(ratio, reserve float64, window time.Duration, sharedAttempts func(now time.Time) pool.Attempts) *windowBudget {
	return &windowBudget{ratio: ratio, window: window, reserve: reserve, tokens: reserve, sharedAttempts: sharedAttempts}
}

// maxTokens returns the maximum number of saved retries. b.mu must be held.
func (b *windowBudget) maxTokens() float64 {
	return b.reserve + (1-earnedShare)*b.ratio*b.recentRequests
}

// deposit counts a request and sets the reserve, which depends on the number of daemons.
func (b *windowBudget) deposit(reserve float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window > 0 && !b.updatedAt.IsZero() {
		b.recentRequests *= math.Exp(-float64(now.Sub(b.updatedAt)) / float64(b.window))
	}
	b.recentRequests++
	b.updatedAt, b.reserve = now, reserve
	b.tokens = min(b.maxTokens(), b.tokens+earnedShare*b.ratio)
}

// withdraw takes a retry and reports whether there was one. keepShare is the fraction of the maximum that it leaves for
// failures.
func (b *windowBudget) withdraw(keepShare float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.tokens >= 1+keepShare*b.maxTokens():
		b.tokens--
	case b.mayBorrow(keepShare, now):
		b.borrowed++
	default:
		return false
	}
	return true
}

// mayBorrow reports whether a retry may be taken from what the other daemons leave unused. With hundreds of daemons,
// each has few requests, and its own part of the budget is often empty while that of all daemons is not. b.mu must be
// held.
func (b *windowBudget) mayBorrow(keepShare float64, now time.Time) bool {
	if b.sharedAttempts == nil {
		return false
	}
	if now.Sub(b.borrowedSince) >= borrowInterval {
		b.borrowed, b.borrowedSince = 0, now
	}
	a := b.sharedAttempts(now)
	unused := (borrowShare-keepShare)*b.ratio*a.First - a.Retries
	return unused > 0 && b.borrowed < unused/float64(max(1, a.Daemons))
}

// canWithdraw reports whether withdraw(0, now) would succeed.
func (b *windowBudget) canWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1 || b.mayBorrow(0, now)
}

// available returns the number of saved retries.
func (b *windowBudget) available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
