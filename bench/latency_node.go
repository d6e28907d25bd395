package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
)

// latencyNode is the pool and the dispatch stage of one daemon.
type latencyNode struct {
	pool   *pool.Pool
	filter *dispatch.Filter
	client engine.Client
	input  dispatch.Input
	view   atomic.Pointer[config.View]
}

func replicaName(i int) string { return fmt.Sprint("llm-", i) }

// domainOf returns the failure domain of a replica or daemon; they are spread in turn.
func (r *latencyRunner) domainOf(i int) string { return fmt.Sprint("domain-", i%r.setup.domains) }

// build makes engines, all warm, and daemons that have their reports.
func (r *latencyRunner) build() {
	r.fleet = &fleet{engines: map[string]*batchEngine{}}
	var list hostlist.List
	for i := range r.setup.daemons {
		list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprint("entry-", i), Role: hostlist.RoleEntry, Domain: r.domainOf(i)})
	}
	for i := range latencyReplicas {
		id := replicaName(i)
		r.fleet.engines[id] = &batchEngine{id: id, completed: warmAfter}
		list.Hosts = append(list.Hosts, hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEndpoint, Domain: r.domainOf(i), State: hostlist.StateLive,
			Service: "llm", Versions: []string{"v"}})
	}
	for i := range r.setup.daemons {
		r.nodes = append(r.nodes, r.node(i, list))
	}
}

// view is the configuration. Limits and timeouts are those of examples/nogalera.
// The named failure domain is out of service.
func (r *latencyRunner) view(out string) *config.View {
	domains := map[string]*object.FailureDomain{}
	for i := range r.setup.domains {
		d := &object.FailureDomain{Name: r.domainOf(i), State: object.DomainIn}
		if d.Name == out {
			d.State = object.DomainOut
		}
		domains[d.Name] = d
	}
	svc := &object.Service{Name: "llm", Type: object.ServiceModel, Repeatable: true,
		Limits:   object.EndpointLimits{Slots: slots, ColdSlots: coldSlots, Tokens: tokenLimit, WarmAfter: warmAfter},
		Timeouts: object.Timeouts{FirstByte: 2 * time.Second, Progress: time.Second}}
	return &config.View{
		Services: map[string]*object.Service{"llm": svc},
		Domains:  domains,
		Versions: map[string]*object.Version{"v": {Name: "v", Model: "m", State: object.VersionActive}},
		Teams:    map[string]*object.Team{"t": {Name: "t", Limits: object.TeamLimits{MaxTokens: firstPrompt + sessionTurns*turnTokens + answerMax}}},
	}
}

func (r *latencyRunner) node(i int, list hostlist.List) *latencyNode {
	random := clockRand(r.seed, uint64(2+i), r.start)
	view := r.view("")
	n := &latencyNode{client: r.fleet}
	n.pool = pool.New(pool.Spec{Self: fmt.Sprint("entry-", i), Domain: r.domainOf(i), Rand: random, Policy: r.variant.Policy, Affinity: r.variant.Affinity, OnCapacity: func(s string, v []string) {
		if n.filter != nil {
			n.filter.Signal(s, v)
		}
	}})
	n.filter = dispatch.New(dispatch.Spec{Pool: n.pool, Client: r.fleet, Poison: poison.NewTable(), OnCrash: func(poison.Record) {}, OnClear: func([]poison.Record) {},
		QueueWait: 5 * time.Second, Now: time.Now, Rand: random, HedgeShare: r.variant.HedgeShare, OnHedge: r.hedged})
	n.setView(view)
	n.pool.SetHosts(list, time.Now())
	for id := range r.fleet.engines {
		l, _ := r.fleet.Load(context.Background(), id) // not silent yet
		n.pool.RecordLoad(id, l, time.Now())
	}
	n.input = dispatch.Input{View: view, Team: "t", Candidates: []choose.Candidate{{Version: view.Versions["v"], Service: "llm"}}, Refresh: n.renew}
	return n
}

func (r *latencyRunner) hedged(o dispatch.HedgeOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedges[o]++
}

// clockRand returns random numbers that depend on the time only, so that the number of calls at one time, which differs
// with the order of goroutines, has no influence.
func clockRand(seed, stream uint64, start time.Time) func() uint64 {
	return func() uint64 { return rand.NewPCG(seed+stream<<32, uint64(time.Since(start))).Uint64() }
}

// setView applies a configuration; requests that wait use it, too.
func (n *latencyNode) setView(v *config.View) {
	n.view.Store(v)
	n.pool.SetView(v, time.Now())
}

// renew gives a request the newest configuration.
func (n *latencyNode) renew(*config.View) (*config.View, []choose.Candidate, error) {
	v := n.view.Load()
	return v, []choose.Candidate{{Version: v.Versions["v"], Service: "llm"}}, nil
}

// poll reads load reports as a daemon does.
func (n *latencyNode) poll(ctx context.Context, wg *sync.WaitGroup, polls int) {
	t := time.NewTicker(time.Second / time.Duration(polls))
	defer t.Stop()
	busy := make(chan struct{}, polls)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, target := range n.pool.NextPolls(1, time.Now()) {
			select {
			case busy <- struct{}{}:
				wg.Go(func() {
					defer func() { <-busy }()
					n.pollOne(ctx, target)
				})
			default:
			}
		}
	}
}

func (n *latencyNode) pollOne(ctx context.Context, target pool.PollTarget) {
	call, cancel := context.WithTimeout(ctx, engine.LoadTimeout)
	defer cancel()
	asked := time.Now()
	load, err := n.client.Load(call, target.Addr)
	switch {
	case err == nil:
		n.pool.RecordLoad(target.ID, load, asked)
	case ctx.Err() == nil:
		n.pool.RecordLoadFailure(target.ID, time.Now())
	}
}
