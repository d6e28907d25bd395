package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/pool"
)

// windowBudget bounds the further attempts at a service to a share of the requests within a sliding window, and a reserve.
// The share is split: one part is earned by each request, the other lets attempts of a busy moment run ahead of those that
// earn them, by what the requests of the last window allow.
type windowBudget struct {
	ratio  float64 // further attempts for each request
	window time.Duration

	// all counts the attempts of the daemons that share their counts; nil for none.
	all func(now time.Time) pool.Attempts

	mu      sync.Mutex
	reserve float64
	tokens  float64
	recent  float64 // requests within about the last window, as a decaying count
	at      time.Time

	borrowed     float64 // from what the other daemons leave unused, since borrowedFrom
	borrowedFrom time.Time
}

// earnedShare is the part of the ratio that each request earns; the rest is for running ahead.
const earnedShare = 0.8

const (
	// borrowShare is the part of what the requests of all daemons allow up to which a daemon without saved attempts takes one that
	// the others leave unused. What they have saved comes on top and stays within the whole.
	borrowShare = 0.85
	// borrowPause is the time after which all daemons know what each has borrowed; within it they share what is left.
	borrowPause = 1500 * time.Millisecond
)

func newWindowBudget(ratio, reserve float64, window time.Duration, all func(now time.Time) pool.Attempts) *windowBudget {
	return &windowBudget{ratio: ratio, window: window, reserve: reserve, tokens: reserve, all: all}
}

// limit is the largest number of saved attempts.
func (b *windowBudget) limit() float64 { return b.reserve + (1-earnedShare)*b.ratio*b.recent }

// deposit counts a request.
func (b *windowBudget) deposit(reserve float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window > 0 && !b.at.IsZero() {
		b.recent *= math.Exp(-float64(now.Sub(b.at)) / float64(b.window))
	}
	b.recent++
	b.at, b.reserve = now, reserve
	b.tokens = min(b.limit(), b.tokens+earnedShare*b.ratio)
}

// withdraw takes one attempt if there is one, and leaves a part of the limit for others.
func (b *windowBudget) withdraw(leave float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.tokens >= 1+leave*b.limit():
		b.tokens--
	case b.mayBorrow(leave, now):
		b.borrowed++
	default:
		return false
	}
	return true
}

// mayBorrow reports whether the other daemons leave an attempt unused. One of hundreds of daemons has few requests: its own part of
// the budget is often empty while that of all is not.
func (b *windowBudget) mayBorrow(leave float64, now time.Time) bool {
	if b.all == nil {
		return false
	}
	if now.Sub(b.borrowedFrom) >= borrowPause {
		b.borrowed, b.borrowedFrom = 0, now
	}
	a := b.all(now)
	left := (borrowShare-leave)*b.ratio*a.First - a.Repeats
	return left > 0 && b.borrowed < left/float64(max(1, a.Daemons))
}

// has reports whether there is an attempt to withdraw.
func (b *windowBudget) has(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1 || b.mayBorrow(0, now)
}

// level returns the number of saved attempts.
func (b *windowBudget) level() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
