package dispatch

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	starvationDaemons   = 4
	starvationEndpoints = 4
	starvationSlots     = 8
	starvationWork      = 400 * time.Millisecond
	starvationLength    = time.Minute
	// minAsks and minAskingTime are the requests of a session or subject, and the time between the first and the last one, from which it counts.
	minAsks, minAskingTime = 4, 8 * time.Second
	maxStarvedByChance     = 3.0 // as a multiple of the number that chance would give
)

// slotRouter serves requests at endpoints with slots, which report their load and speed.
type slotRouter struct {
	mu     sync.Mutex
	random *rand.Rand
	slots  map[string]chan struct{}
	queued map[string]int
}

func (r *slotRouter) add(addr string, n int) (slots chan struct{}, queued int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queued[addr] += n
	return r.slots[addr], r.queued[addr]
}

func (r *slotRouter) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Uint64()
}

// Route implements engine.Router.
func (r *slotRouter) Route(ctx context.Context, addr string, _ *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	slots, _ := r.add(addr, 1)
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		r.add(addr, -1)
		return nil, engine.ErrBroken
	}
	r.add(addr, -1)
	time.Sleep(time.Duration(float64(starvationWork) * (0.4 + 1.2*float64(r.uint64()>>11)/(1<<53))))
	<-slots
	_, queued := r.add(addr, 0)
	return &engine.RoutedResponse{
		Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1,
		Load: &engine.SlotLoad{Running: len(slots), Waiting: queued, Slots: starvationSlots, Slowness: 1},
	}, nil
}

// asker is a session or a subject: what it asked for, and what was served.
type asker struct {
	ranks       []int
	first, last time.Time
	served      int
}

func (a *asker) counts() bool { return len(a.ranks) >= minAsks && a.last.Sub(a.first) >= minAskingTime }

// starvation holds the results of a simulation.
type starvation struct {
	mu       sync.Mutex
	sessions map[string]*asker
	subjects map[string]*asker
	asked    [3]int // by rank
	served   [3]int
}

// ask counts a request and its result.
func (s *starvation) ask(session, subject string, rank int, at time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[rank]++
	if served {
		s.served[rank]++
	}
	for name, list := range map[string]map[string]*asker{session: s.sessions, subject: s.subjects} {
		a := list[name]
		if a == nil {
			a = &asker{first: at}
			list[name] = a
		}
		a.ranks, a.last = append(a.ranks, rank), at
		if served {
			a.served++
		}
	}
}

// starved returns how many of the askers that count were never served, and how many would not be if chance decided about each request of a
// rank with the share of the rank that was served.
func (s *starvation) starved(list map[string]*asker) (counted, never int, chance float64) {
	for _, a := range list {
		if !a.counts() {
			continue
		}
		counted++
		if a.served == 0 {
			never++
		}
		p := 1.0
		for _, rank := range a.ranks {
			p *= 1 - float64(s.served[rank])/float64(s.asked[rank])
		}
		chance += p
	}
	return counted, never, chance
}

// simulateOverload runs sessions whose requests are 1.5 times the capacity. rank returns the rank of a session.
func simulateOverload(t *testing.T, seed uint64, rank func(session int) int) *starvation {
	out := &starvation{sessions: map[string]*asker{}, subjects: map[string]*asker{}}
	router := &slotRouter{random: rand.New(rand.NewPCG(seed, 0)), slots: map[string]chan struct{}{}, queued: map[string]int{}}
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}},
		Services:       []object.Service{{Name: "llm", Type: object.ServicePlain, Routed: &object.RoutedService{}}},
	}
	view, list := config.Index(config.Revision{Number: 1}, set), hostlist.List{}
	for i := range starvationEndpoints {
		id := fmt.Sprint("e", i)
		router.slots[id] = make(chan struct{}, starvationSlots)
		list.Hosts = append(list.Hosts, hostlist.Host{ID: id, Role: hostlist.RoleEndpoint, Domain: "a", State: hostlist.StateLive, Addr: id, Service: "llm", Slots: starvationSlots})
	}
	var filters []*Filter
	for i := range starvationDaemons {
		var f *Filter
		p := pool.New(pool.Spec{Self: fmt.Sprint("d", i), Domain: "a", Settle: time.Second, Rand: router.uint64, OnCapacity: func(service string, versions []string) {
			if f != nil {
				f.Signal(service, versions)
			}
		}})
		p.SetView(view, time.Now())
		p.SetHosts(list, time.Now())
		f = New(Spec{
			Pool: p, Poison: poison.NewTable(), Router: router, Rand: router.uint64, QueueWait: 2 * time.Second, Now: time.Now,
			RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetryReserve: func() float64 { return 10 },
		})
		filters = append(filters, f)
	}
	ctx, cancel := context.WithTimeout(t.Context(), starvationLength)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { exchangeMessages(ctx, filters) })
	const period = 2 * time.Second // mean time between two requests of a session
	capacity := float64(starvationEndpoints*starvationSlots) / starvationWork.Seconds()
	for i := range int(1.5 * capacity * period.Seconds()) {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)+1))
			for n := 0; ctx.Err() == nil; n++ { // after some requests, the next session begins
				session, asks := fmt.Sprint(i, "-", n), 4+random.IntN(8)
				for range asks {
					if !sleepFor(ctx, time.Duration((0.2+1.6*random.Float64())*float64(period))) {
						return
					}
					subject := fmt.Sprint(random.IntN(1 + int(1500*random.Float64())))
					wg.Go(func() {
						at, r := time.Now(), rank(i)
						out.ask(session, subject, r, at, askFilter(filters[router.uint64()%starvationDaemons], view, fmt.Sprint(i%6), subject, r, router.uint64()))
					})
				}
			}
		})
	}
	wg.Wait()
	return out
}

// sleepFor waits for d and reports whether ctx has not ended.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// exchangeMessages passes what daemons tell each other.
func exchangeMessages(ctx context.Context, filters []*Filter) {
	for sleepFor(ctx, 1200*time.Millisecond) {
		now := time.Now()
		for i, from := range filters {
			estimates, reports, teams := from.spec.Pool.Estimates(now), from.spec.Pool.PeerReports(now), from.TeamSums(now)
			for j, to := range filters {
				if i != j {
					name := fmt.Sprint("d", i)
					to.spec.Pool.SetPeerEstimates(name, estimates, now)
					to.spec.Pool.RecordPeerReports(reports, now)
					to.SetPeerTeams(name, teams, now)
				}
			}
		}
	}
}

// askFilter sends a request and reports whether it was served.
func askFilter(f *Filter, view *config.View, team, subject string, rank int, own uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	key := uint64(len(subject))
	for _, c := range subject {
		key = key*31 + uint64(c)
	}
	target := 500 * time.Millisecond
	x := f.NewExchange(ctx, RoutedInput{
		View: view, Service: "llm", Team: team, Rank: rank, Prompt: 1000, Request: engine.RoutedRequest{ID: "r", Header: http.Header{}}, Arrived: time.Now(),
		Route:  &object.Route{Repeat: object.RepeatAny, Attempts: 2, TargetLatency: target, Backends: []object.Backend{{Service: "llm", Weight: 1}}},
		Query:  pool.RoutedQuery{Model: "m", Target: target, Bytes: 4000, Parts: []engine.PromptPart{{ID: 1, Tokens: 400}, {ID: 1000 + key, Tokens: 400}, {ID: own, Tokens: 200}}},
		Assign: func(*config.View, bool) (string, string) { return "", "" },
	})
	answer, err := x.Do("m", 0)
	if err != nil {
		return false
	}
	answer.Complete()
	answer.Close()
	return true
}

// Guards against sessions and subjects that ask again and again in an overload of a minute and are never served, more than chance explains.
func TestNoSessionStarvesInOverload(t *testing.T) {
	for name, rank := range map[string]func(int) int{"one rank": func(int) int { return 1 }, "three ranks": func(i int) int { return i % 3 }} {
		sum := map[string]*[3]float64{"sessions": {}, "subjects": {}}
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				s := simulateOverload(t, seed, rank)
				t.Logf("%s, seed %d: asked %v, served %v", name, seed, s.asked, s.served)
				for kind, list := range map[string]map[string]*asker{"sessions": s.sessions, "subjects": s.subjects} {
					counted, never, chance := s.starved(list)
					t.Logf("%s, seed %d: %d %s counted, %d never served, %.1f by chance", name, seed, counted, kind, never, chance)
					for i, n := range []float64{float64(counted), float64(never), chance} {
						sum[kind][i] += n
					}
				}
			})
		}
		for kind, n := range sum {
			if n[0] < 500 || n[1] > math.Ceil(maxStarvedByChance*n[2]) {
				t.Errorf("%s: %.0f of %.0f %s were never served, chance gives %.1f", name, n[1], n[0], kind, n[2])
			}
		}
	}
}
