package movecost

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
)

// Comparison compares turns of one length with and without moves.
type Comparison struct {
	Tokens        int64
	Prefill, Move time.Duration // that the cached tokens take without any wait
	Moved, Turns  int
	Without, With time.Duration // mean time to the first token
}

// Compare lets a daemon learn the rates, then compares turns of each length.
func Compare(h Hardware, lengths []int64, turns int) []Comparison {
	c := newCluster(h, 2, 1)
	m := c.mover(Limits)
	c.learn(m, "e0", "e1", rand.New(rand.NewPCG(11, 3)))
	var out []Comparison
	for _, n := range lengths {
		r := Comparison{Tokens: n, Turns: turns, Prefill: time.Duration(n) * h.Prefill, Move: SetUp + seconds(float64(n*h.TokenBytes)/h.Rate)}
		for range turns {
			with, moved := c.turn(m, "e0", "e1", n)
			without, _ := c.turn(nil, "e0", "e1", n)
			r.With += with / time.Duration(turns)
			r.Without += without / time.Duration(turns)
			if moved {
				r.Moved++
			}
		}
		out = append(out, r)
	}
	return out
}

// learn serves turns of any length, one a second, and returns the mean time to the first token.
func (c *cluster) learn(m *cachemove.Mover, from, to string, load *rand.Rand) (mean time.Duration) {
	for range learnTurns {
		d, _ := c.turn(m, from, to, anyLength(load))
		mean += d / learnTurns
		time.Sleep(time.Second)
	}
	return mean
}

const (
	leaveDomains  = 5
	leaveEach     = 2 // endpoints of a domain
	leaveSessions = 60
	leaveWithin   = 20 * time.Second // the next turns of the sessions
)

// Departure is what a failure domain that leaves costs its sessions.
type Departure struct {
	Learning          time.Duration // mean time to the first token while the rates were learned
	Moved, Sessions   int
	Mean, Median, P95 time.Duration // time to the first token of the sessions' next turns
}

// Leave lets one domain of five leave, with limits on moves in flight; 0 turns moves off.
func Leave(h Hardware, moves, perSource int) Departure {
	c := newCluster(h, leaveDomains, leaveEach)
	load := rand.New(rand.NewPCG(11, 3)) // the same sessions with and without moves
	var m *cachemove.Mover
	if moves > 0 {
		limits := Limits
		limits.MaxMoves, limits.MaxMovesPerSource = moves, perSource
		m = c.mover(limits)
	}
	d := Departure{Learning: c.learn(m, "e1", "e2", load), Sessions: leaveSessions}
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	others := []int{1, 2, 3, 4, 6, 7, 8, 9} // endpoints of the domains that stay
	for i := range leaveSessions {
		start, tokens, to := time.Duration(load.Int64N(int64(leaveWithin))), anyLength(load), fmt.Sprintf("e%d", others[load.IntN(len(others))])
		from := fmt.Sprintf("e%d", i%leaveEach*leaveDomains)
		wg.Go(func() {
			time.Sleep(start)
			first, moved := c.turn(m, from, to, tokens)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, first)
			d.Mean += first / leaveSessions
			if moved {
				d.Moved++
			}
		})
	}
	wg.Wait()
	slices.Sort(times)
	d.Median, d.P95 = times[len(times)/2], times[len(times)*95/100]
	return d
}
