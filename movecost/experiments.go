package movecost

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
)

// Comparison compares turns of one context length with and without moves.
type Comparison struct {
	Tokens                  int64
	PrefillTime, MoveTime   time.Duration // of the cached tokens, without waiting
	Moved, Turns            int
	WithoutMoves, WithMoves time.Duration // mean time to the first token with moves turned off and on
}

// Compare lets a daemon learn the rates of prefill and transfer, then compares the given number of turns of each length, in tokens.
func Compare(h Hardware, lengths []int64, turns int) []Comparison {
	c := newCluster(h, 2, 1)
	m := c.newMover(Limits)
	c.learn(m, "e0", "e1", rand.New(rand.NewPCG(11, 3)))
	var out []Comparison
	for _, n := range lengths {
		r := Comparison{Tokens: n, Turns: turns, PrefillTime: time.Duration(n) * h.PrefillPerToken, MoveTime: SetupTime + seconds(float64(n*h.TokenBytes)/h.LinkRate)}
		for range turns {
			with, moved := c.serveTurn(m, "e0", "e1", n)
			without, _ := c.serveTurn(nil, "e0", "e1", n)
			r.WithMoves += with / time.Duration(turns)
			r.WithoutMoves += without / time.Duration(turns)
			if moved {
				r.Moved++
			}
		}
		out = append(out, r)
	}
	return out
}

// learn serves learnTurns turns of random length, one per second, from which the mover learns its rates. It returns the mean time
// to the first token.
func (c *cluster) learn(m *cachemove.Mover, from, to string, rnd *rand.Rand) (mean time.Duration) {
	for range learnTurns {
		d, _ := c.serveTurn(m, from, to, randomLength(rnd))
		mean += d / learnTurns
		time.Sleep(time.Second)
	}
	return mean
}

const (
	departureDomains            = 5
	departureEndpointsPerDomain = 2
	departureSessions           = 60
	departureWindow             = 20 * time.Second // all sessions have their next turn within it
)

// Departure holds the times to the first token of a leaving failure domain's sessions, in their next turns at other endpoints.
type Departure struct {
	LearningMean      time.Duration // mean time to the first token in the turns of the learning phase
	Moved, Sessions   int
	Mean, Median, P95 time.Duration // time to the first token in the sessions' next turns
}

// SimulateDeparture takes one failure domain of departureDomains out of service. At most maxMoves moves are in flight, and
// maxMovesPerSource for each source endpoint; with maxMoves 0 there are no moves.
func SimulateDeparture(h Hardware, maxMoves, maxMovesPerSource int) Departure {
	c := newCluster(h, departureDomains, departureEndpointsPerDomain)
	rnd := rand.New(rand.NewPCG(11, 3)) // fixed seed: the same sessions with and without moves
	var m *cachemove.Mover
	if maxMoves > 0 {
		limits := Limits
		limits.MaxMoves, limits.MaxMovesPerSource = maxMoves, maxMovesPerSource
		m = c.newMover(limits)
	}
	d := Departure{LearningMean: c.learn(m, "e1", "e2", rnd), Sessions: departureSessions}
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	remaining := []int{1, 2, 3, 4, 6, 7, 8, 9} // numbers of the endpoints in the other domains
	for i := range departureSessions {
		start, tokens, to := time.Duration(rnd.Int64N(int64(departureWindow))), randomLength(rnd), fmt.Sprintf("e%d", remaining[rnd.IntN(len(remaining))])
		from := fmt.Sprintf("e%d", i%departureEndpointsPerDomain*departureDomains)
		wg.Go(func() {
			time.Sleep(start)
			firstToken, moved := c.serveTurn(m, from, to, tokens)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, firstToken)
			d.Mean += firstToken / departureSessions
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
