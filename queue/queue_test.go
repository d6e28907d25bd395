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

// sharedCapacity is a number of slots for which requests queue, with a clock that the test sets.
type sharedCapacity struct {
	now  time.Time
	free int
	q    *Queue
}

func newSharedCapacity(limit int) *sharedCapacity {
	d := &sharedCapacity{now: time.Unix(1e9, 0)}
	d.q = New(Spec{Limit: limit, Now: func() time.Time { return d.now }})
	return d
}

// request returns a request that takes one slot and waits for the given time at most.
func (d *sharedCapacity) request(flow string, weight float64, wait time.Duration) Request {
	check := func(time.Time) TryResult { return TryResult{} }
	return Request{Keys: []Key{testKey}, Flow: flow, Weight: weight, Deadline: d.now.Add(wait), Check: check, Try: func(time.Time) TryResult {
		if d.free == 0 {
			return TryResult{Exhausted: true}
		}
		d.free--
		return TryResult{OK: true}
	}}
}

// release frees one slot and signals the queue.
func (d *sharedCapacity) release() {
	d.free++
	d.q.Signal(testKey.Service, []string{testKey.Version})
}

// Guards against a team that gets more than its share, a priority that starves a lower one, and a flow that accumulates
// credit while it is idle. While all flows are backlogged, each must get its share of any sequence of grants within one
// request.
func TestGrantsFollowWeights(t *testing.T) {
	d := newSharedCapacity(1000)
	weights := map[string]float64{"large/0": 8, "small/0": 1, "small/3": 8, "late/0": 3}
	granted := map[string]int{}
	var waiters []*waiter
	fill := func(flow string, n int) {
		for range n {
			waiters = append(waiters, d.q.enqueue(d.request(flow, weights[flow], time.Hour)))
		}
	}
	count := func() int {
		total := 0
		clear(granted)
		for _, w := range waiters {
			if w.finished {
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
		t.Fatalf("grants by flow %v; want 80, 10 and 80, each within one", granted)
	}
	fill("late/0", 200)
	for range 200 {
		d.release()
	}
	before := granted["small/0"]
	if count() != 370 || granted["late/0"] < 29 || granted["late/0"] > 31 || granted["small/0"]-before > 11 {
		t.Fatalf("grants by flow %v; want 30 for the flow that was idle before", granted)
	}
}

// Guards against a team that fills the queue, so that requests of other teams are rejected.
func TestFullQueueTurnsAwayTheLast(t *testing.T) {
	d := newSharedCapacity(10)
	var greedy []*waiter
	for range 10 {
		greedy = append(greedy, d.q.enqueue(d.request("greedy", 1, time.Hour)))
	}
	if w := d.q.enqueue(d.request("greedy", 1, time.Hour)); w.result.Reason != Full {
		t.Error("the eleventh request of the same team was not rejected by a queue with a limit of ten")
	}
	if w := d.q.enqueue(d.request("modest", 1, time.Hour)); w.finished {
		t.Error("another team's request was rejected")
	}
	if !greedy[9].finished || greedy[9].result.Reason != Full || d.q.Waiting() != 10 {
		t.Errorf("the team's last request was not rejected; %d requests wait, want 10", d.q.Waiting())
	}
}

// Guards against a request that is held until its deadline although its wait can't succeed, and against one that is
// rejected although its wait can.
func TestHopelessWaitEndsAtOnce(t *testing.T) {
	d := newSharedCapacity(1000)
	for range 20 {
		d.q.enqueue(d.request("a", 1, time.Hour))
	}
	for range minSamples {
		d.now = d.now.Add(time.Second)
		d.release()
	}
	if w := d.q.enqueue(d.request("a", 1, 5*time.Second)); w.result.Reason != TooLong || w.result.Wait != 13*time.Second {
		t.Errorf("behind 12 requests at one grant per second: %+v; want to be rejected at once with a wait of 13 s", w.result)
	}
	if w := d.q.enqueue(d.request("b", 1, 5*time.Second)); w.finished {
		t.Errorf("first request of its team: %+v; want it to wait", w.result)
	}
	infeasible := d.request("a", 1, time.Hour)
	infeasible.Check = func(time.Time) TryResult { return TryResult{Infeasible: true} }
	if w := d.q.enqueue(infeasible); w.result.Reason != Infeasible {
		t.Errorf("infeasible request: %+v; want it to be rejected", w.result)
	}
}

// Guards against a request that needs much memory and is overtaken by small requests without end.
func TestLargeRequestIsNotStarved(t *testing.T) {
	d := newSharedCapacity(1000)
	large := d.request("large", 1, time.Hour)
	large.Try = func(time.Time) TryResult {
		if d.free < 2 {
			return TryResult{LacksMemory: true}
		}
		d.free -= 2
		return TryResult{OK: true}
	}
	w := d.q.enqueue(large)
	for range 200 {
		d.q.enqueue(d.request("small", 1, time.Hour))
	}
	for n := 0; !w.finished; n++ {
		if n > maxOvertaken+2 {
			t.Fatalf("%d requests overtook the large one, want at most %d", n, maxOvertaken+2)
		}
		d.release()
	}
}

// Guards against capacity that is lost when it is granted to a request whose caller leaves at the same time, and against
// lost wake-ups. Every request must end, and all capacity must be free at the end.
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
				r := q.Wait(ctx, Request{Keys: []Key{testKey}, Flow: fmt.Sprint(i % 3), Weight: 1, Deadline: time.Now().Add(wait), Check: func(time.Time) TryResult { return TryResult{} }, Try: func(time.Time) TryResult {
					if free == 0 {
						return TryResult{Exhausted: true}
					}
					free--
					return TryResult{OK: true}
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
		if free != 3 || q.Waiting() != 0 || ended[Granted] == 0 || ended[Cancelled] == 0 || ended[TooLong]+ended[TimedOut] == 0 {
			t.Errorf("free %d, waiting %d, ended by reason %v; want 3 free, none waiting, and some that were granted, cancelled and rejected", free, q.Waiting(), ended)
		}
	})
}

// Guards against a wait that goes on although an attempt on a Signal returned an earlier time at which another one is worthwhile.
func TestRetryTimeOfSignalIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, start, tries := New(Spec{Limit: 1, Now: time.Now}), time.Now(), 0
		try := func(now time.Time) TryResult {
			switch tries++; tries {
			case 1, 2:
				return TryResult{Exhausted: true}
			case 3:
				return TryResult{Exhausted: true, RetryAt: now.Add(50 * time.Millisecond)}
			}
			return TryResult{OK: true}
		}
		time.AfterFunc(10*time.Millisecond, func() { q.Signal(testKey.Service, nil) })
		r := q.Wait(t.Context(), Request{Keys: []Key{testKey}, Weight: 1, Deadline: start.Add(time.Second), Try: try, Check: try})
		if waited := time.Since(start); r.Reason != Granted || waited != 60*time.Millisecond {
			t.Errorf("%v after %v, want a grant after 60 ms", r.Reason, waited)
		}
	})
}
