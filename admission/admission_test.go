package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick       = 5 * time.Millisecond
	simTarget  = 500 * time.Millisecond
	simMaxWait = 2 * simTarget
	simSlots   = 64
	simDaemons = 8
	simStale   = 500 * time.Millisecond // age of what a daemon knows of the slots
)

// waiter is a simulated request.
type waiter struct {
	kind, team string
	at         time.Duration
}

// tally counts the requests of a kind or team: those served, of them after their target, those refused in the first 3 s, and those refused
// after a wait.
type tally struct{ arrived, served, late, early, held int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.arrived)) }

// simulate runs daemons that share endpoints of 64 slots, a request taking 0.4 s. rate returns the requests a second of a kind and team.
// Kinds are named after their rank. exchange passes the teams' sums of the daemons to each other once a second.
func simulate(seed uint64, exchange bool, rate func(at time.Duration, rank, team int) float64) map[string]tally {
	random := rand.New(rand.NewPCG(seed, 1))
	daemons, queues := make([]*Controller, simDaemons), make([][]waiter, simDaemons)
	for i := range daemons {
		daemons[i] = New()
	}
	out, start := map[string]tally{}, time.Unix(1000, 0)
	count := func(w waiter, f func(*tally)) {
		for _, key := range []string{w.kind, w.team, w.kind + w.team, "all"} {
			t := out[key]
			f(&t)
			out[key] = t
		}
	}
	var busy []time.Duration // ends of running requests
	var history []int
	for at := time.Duration(0); at < 16*time.Second; at += tick {
		now, n := start.Add(at), 0
		for _, end := range busy {
			if end > at {
				busy[n] = end
				n++
			}
		}
		busy = busy[:n]
		serve := func(d int, w waiter) {
			busy = append(busy, at+time.Duration((0.2+0.4*random.Float64())*float64(time.Second)))
			daemons[d].Serve(now)
			count(w, func(t *tally) {
				if t.served++; at-w.at > simTarget {
					t.late++
				}
			})
		}
		for _, d := range random.Perm(simDaemons) {
			for len(queues[d]) > 0 && at-queues[d][0].at > simMaxWait {
				count(queues[d][0], func(t *tally) { t.held++ })
				queues[d] = queues[d][1:]
			}
			if len(queues[d]) > 0 && len(busy) < simSlots {
				serve(d, queues[d][0])
				queues[d] = queues[d][1:]
			}
		}
		history = append(history, len(busy))
		known := history[max(0, len(history)-1-int(simStale/tick))]
		if exchange && at%time.Second == 0 {
			for d, c := range daemons {
				for other, o := range daemons {
					if other != d && random.IntN(10) > 0 { // a tenth of the messages is lost
						c.SetPeer(fmt.Sprint(other), o.Sums("s", MaxShared, now), now)
					}
				}
			}
		}
		for rank := range 3 {
			for team := range 10 {
				if random.Float64() >= rate(at, rank, team)*tick.Seconds() {
					continue
				}
				d := random.IntN(simDaemons)
				w := waiter{fmt.Sprint("kind ", rank), fmt.Sprint("team ", team), at}
				r := &Request{Team: w.team, Weight: 1, Rank: rank, Remaining: 3 * time.Second, Target: simTarget, Draw: random.Float64()}
				daemons[d].Arrive(r, now)
				count(w, func(t *tally) { t.arrived++ })
				decision := daemons[d].Decide(r, Load{Slots: simSlots, InUse: known, Waiting: len(queues[d])}, now)
				switch {
				case decision.Action == Refuse && at < 3*time.Second:
					count(w, func(t *tally) { t.early++ })
				case decision.Action == Refuse:
				case len(queues[d]) == 0 && len(busy) < simSlots:
					serve(d, w)
				default:
					queues[d] = append(queues[d], w)
				}
			}
		}
	}
	return out
}

// Guards against a burst of one kind, 2.6 times its rate for 6 s, that costs a more urgent kind more than a less urgent one, starves a kind of
// a team, or fills the queue until requests are refused after a wait; and against refusals before the burst, at 0.8 of the capacity.
func TestBurstOfOneKind(t *testing.T) {
	for seed := range uint64(4) {
		for burst := range 3 {
			got := simulate(seed, false, func(at time.Duration, rank, _ int) float64 {
				if rank == burst && at >= 3*time.Second && at < 9*time.Second {
					return 2.6 * 130.0 / 30
				}
				return 130.0 / 30
			})
			if all := got["all"]; all.early > 0 || all.held > all.arrived/100 || all.late > all.arrived/50 {
				t.Errorf("seed %d, burst of kind %d: %+v", seed, burst, all)
			}
			for rank := 1; rank < 3; rank++ {
				more, less := got[fmt.Sprint("kind ", rank-1)].share(), got[fmt.Sprint("kind ", rank)].share()
				if less > more+0.05 {
					t.Errorf("seed %d, burst of kind %d: %.2f of kind %d served, %.2f of the less urgent kind %d", seed, burst, more, rank-1, less, rank)
				}
			}
			for key, n := range got {
				if n.served == 0 {
					t.Errorf("seed %d, burst of kind %d: nothing of %s served", seed, burst, key)
				}
			}
		}
	}
}

// Guards against a team at 7.5 times its usual rate that takes the others' share, and against a share that is left unused.
func TestTeamWithHighRate(t *testing.T) {
	for seed := range uint64(4) {
		for _, exchange := range []bool{false, true} {
			got := simulate(seed, exchange, func(at time.Duration, _, team int) float64 {
				if team == 3 && at >= 3*time.Second {
					return 7.5 * 130.0 / 30
				}
				return 130.0 / 30
			})
			for team := range 10 {
				key := fmt.Sprint("team ", team)
				if n := got[key]; team != 3 && n.share() < 0.85 || team == 3 && n.served < 500 {
					t.Errorf("seed %d, exchange %v: %d of %d requests of %s served", seed, exchange, n.served, n.arrived, key)
				}
			}
			if n := got["all"]; float64(n.served) < 0.9*16*simSlots/0.4 {
				t.Errorf("seed %d, exchange %v: %d requests served; the capacity is %.0f", seed, exchange, n.served, 16*simSlots/0.4)
			}
		}
	}
}

// Guards against refusals without clear evidence, and against hopeless work that is sent.
func TestDeadlineAndEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	half, busy, full, unknown := Load{Slots: 64, InUse: 31}, Load{Slots: 64, InUse: 40}, Load{Slots: 64, InUse: 64, Waiting: 40}, Load{InUse: 64, Waiting: 40}
	for name, c := range map[string]struct {
		r    Request
		l    Load
		want Action
	}{
		"begin":         {Request{Remaining: ms(100), Delay: ms(200)}, busy, Refuse},
		"end":           {Request{Remaining: ms(100), Delay: ms(10), Duration: ms(300)}, busy, Refuse},
		"repeat":        {Request{Remaining: ms(100), Delay: ms(200), Repeat: true}, busy, Refuse},
		"begun":         {Request{Remaining: ms(100), Delay: ms(200), Begun: true}, full, Wait},
		"half used":     {Request{Remaining: ms(100), Delay: ms(200)}, half, Send},
		"slots unknown": {Request{Remaining: ms(100), Delay: ms(200)}, unknown, Wait},
		"close":         {Request{Remaining: ms(100), Delay: ms(140), Duration: ms(50)}, busy, Send},
		"no deadline":   {Request{Delay: time.Hour}, busy, Send},
		"overload":      {Request{Remaining: ms(1000), Target: ms(120), Draw: 0.99}, full, Refuse},
		"held":          {Request{Remaining: ms(1000), Target: ms(120), Held: ms(16), Draw: 0.99}, full, Wait},
		"sent before":   {Request{Remaining: ms(1000), Target: ms(120), Draw: 0.99, Repeat: true}, full, Wait},
		"floor":         {Request{Team: "a", Remaining: ms(1000), Target: ms(120), Draw: 0.04, Rank: MaxRank}, full, Wait},
		"no queue":      {Request{Remaining: ms(1000), Target: ms(120), Draw: 0.99}, busy, Send},
	} {
		controller := New()
		for range 100 {
			controller.Arrive(&Request{Team: "a", Rank: 5}, now)
			controller.Arrive(&c.r, now)
		}
		for range 50 {
			controller.Serve(now)
		}
		d := controller.Decide(&c.r, c.l, now)
		if d.Action != c.want {
			t.Errorf("%s: %+v", name, d)
		}
		if d.Action == Refuse && (d.RetryAfter <= 0 || d.RetryAfter > c.r.Remaining/3) {
			t.Errorf("%s: Retry-After %v of %v that remain", name, d.RetryAfter, c.r.Remaining)
		}
	}
}

// Guards against sums of another daemon that are invalid, too many, or old, and still limit a team.
func TestSumsOfPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		sums TeamSums
		age  time.Duration
		want Action
	}{
		"hot":     {TeamSums{"s", []uint32{TeamKey("a")}, []float32{1000}}, peerTTL, Refuse},
		"old":     {TeamSums{"s", []uint32{TeamKey("a")}, []float32{1000}}, peerTTL + 1, Wait},
		"invalid": {TeamSums{"s", []uint32{TeamKey("a")}, []float32{float32(math.NaN())}}, 0, Wait},
		"uneven":  {TeamSums{"s", []uint32{TeamKey("a")}, nil}, 0, Wait},
		"many":    {TeamSums{"s", make([]uint32, MaxShared+1), make([]float32, MaxShared+1)}, 0, Wait},
	} {
		controller, r := New(), Request{Team: "a", Remaining: time.Second, Target: 100 * time.Millisecond, Draw: 0.9}
		controller.SetPeer("d", c.sums, now.Add(-c.age))
		for i := range 100 {
			controller.Arrive(&Request{Team: string(rune('a' + i%10)), Rank: i % 2}, now)
			if i%4 > 0 {
				controller.Serve(now)
			}
		}
		if d := controller.Decide(&r, Load{Slots: 64, InUse: 64, Waiting: 10}, now); d.Action != c.want {
			t.Errorf("%s: %+v", name, d)
		}
	}
}
