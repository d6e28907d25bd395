package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var testKey = Key{"llm", "v1"}

// desk is room that requests share, under a clock that the test sets.
type desk struct {
	now  time.Time
	free int
	q    *Queue
}

func newDesk(limit int) *desk {
	d := &desk{now: time.Unix(1e9, 0)}
	d.q = New(Spec{Limit: limit, Now: func() time.Time { return d.now }})
	return d
}

func (d *desk) ticket(flow string, weight float64, wait time.Duration) Ticket {
	check := func(time.Time) Verdict { return Verdict{} }
	return Ticket{Keys: []Key{testKey}, Flow: flow, Weight: weight, Deadline: d.now.Add(wait), Check: check, Try: func(time.Time) Verdict {
		if d.free == 0 {
			return Verdict{Common: true}
		}
		d.free--
		return Verdict{OK: true}
	}}
}

func (d *desk) release() {
	d.free++
	d.q.Signal(testKey.Service, []string{testKey.Version})
}

// Guards against a team that takes more than its share, against a priority that starves a lower one, and against a flow
// that saves up room while it is idle: with all flows backlogged, each gets its share of any run of grants within one
// request.
func TestGrantsFollowWeights(t *testing.T) {
	d := newDesk(1000)
	weights := map[string]float64{"large/0": 8, "small/0": 1, "small/3": 8, "late/0": 3}
	granted := map[string]int{}
	var open []*waiter
	fill := func(flow string, n int) {
		for range n {
			open = append(open, d.q.join(d.ticket(flow, weights[flow], time.Hour)))
		}
	}
	count := func() int {
		total := 0
		clear(granted)
		for _, w := range open {
			if w.ended {
				granted[w.Flow]++
				total++
			}
		}
		return total
	}
	for _, flow := range []string{"large/0", "small/0", "small/3"} {
		fill(flow, 200)
	}
	for range 170 {
		d.release()
	}
	if count() != 170 || granted["large/0"] < 79 || granted["small/0"] < 9 || granted["small/3"] < 79 {
		t.Fatalf("grants %v; want 80, 10 and 80, each within one", granted)
	}
	fill("late/0", 200)
	for range 200 {
		d.release()
	}
	before := granted["small/0"]
	if count() != 370 || granted["late/0"] < 29 || granted["late/0"] > 31 || granted["small/0"]-before > 11 {
		t.Fatalf("grants %v; want 30 for the flow that came late", granted)
	}
}

// Guards against a team that fills the queue so that others are turned away.
func TestFullQueueTurnsAwayTheLast(t *testing.T) {
	d := newDesk(10)
	var greedy []*waiter
	for range 10 {
		greedy = append(greedy, d.q.join(d.ticket("greedy", 1, time.Hour)))
	}
	if w := d.q.join(d.ticket("greedy", 1, time.Hour)); w.result.Reason != Full {
		t.Error("the eleventh request of the same team waits in a queue of ten")
	}
	if w := d.q.join(d.ticket("modest", 1, time.Hour)); w.ended {
		t.Error("another team's request was turned away")
	}
	if !greedy[9].ended || greedy[9].result.Reason != Full || d.q.Waiting() != 10 {
		t.Errorf("the last request was not turned away; %d wait", d.q.Waiting())
	}
}

// Guards against a request that is held until its deadline although the wait can't succeed, and against one that is
// turned away although it can.
func TestHopelessWaitEndsAtOnce(t *testing.T) {
	d := newDesk(1000)
	for range 20 {
		d.q.join(d.ticket("a", 1, time.Hour))
	}
	for range minSamples {
		d.now = d.now.Add(time.Second)
		d.release()
	}
	if w := d.q.join(d.ticket("a", 1, 5*time.Second)); w.result.Reason != TooLong || w.result.Wait != 13*time.Second {
		t.Errorf("behind 12 requests at one a second: %+v; want to be told at once to retry after 13 s", w.result)
	}
	if w := d.q.join(d.ticket("b", 1, 5*time.Second)); w.ended {
		t.Errorf("first of its team: %+v; want to wait", w.result)
	}
	never := d.ticket("a", 1, time.Hour)
	never.Check = func(time.Time) Verdict { return Verdict{Hopeless: true} }
	if w := d.q.join(never); w.result.Reason != Hopeless {
		t.Errorf("no room is possible: %+v; want to be turned away", w.result)
	}
}

// Guards against a request for much memory that is overtaken without end.
func TestLargeRequestIsNotStarved(t *testing.T) {
	d := newDesk(1000)
	large := d.ticket("large", 1, time.Hour)
	large.Try = func(time.Time) Verdict {
		if d.free < 2 {
			return Verdict{Memory: true}
		}
		d.free -= 2
		return Verdict{OK: true}
	}
	w := d.q.join(large)
	for range 200 {
		d.q.join(d.ticket("small", 1, time.Hour))
	}
	for n := 0; !w.ended; n++ {
		if n > maxPassed+2 {
			t.Fatalf("%d requests overtook it", n)
		}
		d.release()
	}
}

// Guards against room that is lost when its request leaves at the same time, and against a wake-up that is lost: every
// request ends, and all room is free at the end.
func TestNoRoomIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 1))
		q := New(Spec{Limit: 1000, Now: time.Now})
		free := 3
		done := make(chan Reason)
		const requests = 500
		for i := range requests {
			wait, hold, leave := time.Duration(rnd.IntN(400))*time.Millisecond, time.Duration(rnd.IntN(20))*time.Millisecond, time.Duration(rnd.IntN(600))*time.Millisecond
			start := time.Duration(rnd.IntN(2000)) * time.Millisecond
			go func() {
				<-time.After(start)
				ctx, cancel := context.WithTimeout(t.Context(), leave)
				defer cancel()
				r := q.Wait(ctx, Ticket{Keys: []Key{testKey}, Flow: fmt.Sprint(i % 3), Weight: 1, Deadline: time.Now().Add(wait), Check: func(time.Time) Verdict { return Verdict{} }, Try: func(time.Time) Verdict {
					if free == 0 {
						return Verdict{Common: true}
					}
					free--
					return Verdict{OK: true}
				}})
				if r.Reason == Granted {
					<-time.After(hold)
					q.mu.Lock()
					free++
					q.mu.Unlock()
					q.Signal(testKey.Service, nil)
				}
				done <- r.Reason
			}()
		}
		ended := map[Reason]int{}
		for range requests {
			ended[<-done]++
		}
		if free != 3 || q.Waiting() != 0 || ended[Granted] == 0 || ended[Left] == 0 || ended[TooLong]+ended[TimedOut] == 0 {
			t.Errorf("free %d, waiting %d, ended %v", free, q.Waiting(), ended)
		}
	})
}
