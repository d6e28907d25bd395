package dispatch

import (
	"math"
	"sync"
	"time"
)

// windowBudget bounds the further attempts at a service to a share of the requests within a sliding window, and a reserve.
// The share is split: one part is earned by each request, the other lets attempts of a busy moment run ahead of those that
// earn them, by what the requests of the last window allow.
type windowBudget struct {
	ratio  float64 // further attempts for each request
	window time.Duration

	mu      sync.Mutex
	reserve float64
	tokens  float64
	recent  float64 // requests within about the last window, as a decaying count
	at      time.Time
}

// earnedShare is the part of the ratio that each request earns; the rest is for running ahead.
const earnedShare = 0.8

func newWindowBudget(ratio, reserve float64, window time.Duration) *windowBudget {
	return &windowBudget{ratio: ratio, window: window, reserve: reserve, tokens: reserve}
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
func (b *windowBudget) withdraw(leave float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+leave*b.limit() {
		return false
	}
	b.tokens--
	return true
}

// level returns the number of saved attempts.
func (b *windowBudget) level() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
