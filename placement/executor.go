package placement

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/weight"
)

const (
	// maxLoads bounds the loads of one service and domain that are under way, so that a fault that shows only after a
	// load reaches few endpoints.
	maxLoads = 8
	// quarantine is the time for which an order without an answer is expected to arrive. It is above the time for which
	// TCP sends a segment again (15 min by default on Linux).
	quarantine = 20 * time.Minute
	// retryAfter is the time for which a version is not loaded again where its load failed for certain.
	retryAfter = 2 * time.Minute
	// loadTimeout is the time after which a load that an endpoint accepted is given up.
	loadTimeout = 10 * time.Minute
	// demandEvery is the time between publications when only the numbers of running requests have changed.
	demandEvery = 30 * time.Second
	// peakDecay is the time in which a peak of demand is forgotten, so that a short lull causes no order.
	peakDecay = 10 * time.Minute
)

// Engines is the part of engine.Client that the executor uses.
type Engines interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
	Order(ctx context.Context, addr string, o engine.Order) error
}

// Journal saves the published form of the table and then spreads it. An order is sent only after Save has recorded it.
// It returns duty.ErrSuperseded if a newer holder has written.
type Journal interface {
	Save(ctx context.Context, body []byte) error
}

// Spec configures an Executor.
type Spec struct {
	Domain  string
	Engines Engines
	Weights weight.Store
	Journal Journal
	Fence   uint64 // of the term
	// Lease returns the fencing number and end of the lease that is held now.
	Lease func() (fence uint64, expires time.Time)
	// Margin is the time before the end of the lease in which no order is sent.
	Margin time.Duration
	// Settle is the time within which each daemon applies a table that is spread.
	Settle time.Duration
	// PollsPerTick bounds the load reports that are read in one tick.
	PollsPerTick int
	Now          func() time.Time
	// OnOrder, if set, is called after each attempt to send an order.
	OnOrder func(s Step, err error)
}

// Target is an endpoint of the host list.
type Target struct{ ID, Addr string }

// Fleet is one service in the executor's failure domain.
type Fleet struct {
	Service   string
	Endpoints []Target // live ones of this domain
	// Demands of the service's versions; Running counts the requests of all other domains.
	Demands             []Demand
	Domains             int
	Slots               int
	VersionsPerEndpoint int
	Spare               int
	Role                string // that the endpoints should have; empty to leave roles alone
	// OneAtATime sends an order only after the one before it was answered. It is for engines that ignore the fencing
	// number: a holder that is paused and wakes up can then still send one order.
	OneAtATime bool
	Token      string // for endpoints that authenticate the sender of an order
}

// Executor has the plan carried out during one term of the domain's duty. Tick is called by one goroutine.
type Executor struct {
	spec  Spec
	seen  map[string]*observed
	steps []*Step
	// earlier are the served versions that were published last, for endpoints without a report since they were listed.
	earlier map[string][]string
	peaks   map[string]peak
	status  map[string]Status
	fleets  map[string]Fleet // by service
	planned map[string]bool  // services whose endpoints were all asked in this term
	savedAt time.Time
	saved   string // key of the saved table
	problem string

	mu    sync.Mutex
	shown Table // for the state dump
}

type peak struct {
	running float64
	at      time.Time
}

// New returns an executor that goes on from the table of the previous holder. Orders of that holder may still arrive;
// they are completed, never revoked.
func New(spec Spec, previous Table) *Executor {
	x := &Executor{spec: spec, seen: map[string]*observed{}, earlier: map[string][]string{}, peaks: map[string]peak{}, planned: map[string]bool{}}
	now := spec.Now()
	maps.Copy(x.earlier, previous.Serve)
	for v, s := range previous.Versions {
		x.peaks[v] = peak{float64(s.Running), now}
	}
	for _, s := range previous.Steps {
		s.Inherited, s.Unsure = true, true
		s.Attempts = max(1, s.Attempts)
		s.since, s.sentAt, s.recorded = now, now, true
		x.steps = append(x.steps, &s)
	}
	return x
}

// Tick reads reports, plans, records and sends. It returns duty.ErrSuperseded if a newer holder was noticed; after other
// errors it can be called again.
func (x *Executor) Tick(ctx context.Context, fleets []Fleet) error {
	x.problem = ""
	x.status = map[string]Status{}
	x.fleets = map[string]Fleet{}
	x.poll(ctx, fleets)
	x.reconcile()
	all := true
	for _, f := range fleets {
		x.fleets[f.Service] = f
		if x.complete(f) {
			x.plan(ctx, f)
		} else {
			all = false
		}
	}
	var err error
	if all || x.saved != "" {
		err = x.save(ctx)
	}
	if err == nil {
		err = x.send(ctx)
	}
	x.show()
	return err
}

// Table returns the table as of the last tick. It may be called at any time.
func (x *Executor) Table() Table {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.shown
}

func (x *Executor) show() {
	t := x.table()
	t.Problem = x.problem
	x.mu.Lock()
	x.shown = t
	x.mu.Unlock()
}

func (x *Executor) table() Table {
	t := Table{Domain: x.spec.Domain, Fence: x.spec.Fence, Serve: map[string][]string{}, Versions: x.status}
	for id, e := range x.seen {
		if served, ok := x.served(id, e); ok {
			t.Serve[id] = served
		}
	}
	for _, s := range x.steps {
		t.Steps = append(t.Steps, *s)
	}
	return t
}

// served returns the versions that daemons may send to an endpoint. While it gives no report, the last ones stay.
func (x *Executor) served(id string, e *observed) ([]string, bool) {
	held, known := e.load.Versions, true
	if e.at.IsZero() {
		held, known = x.earlier[id]
	}
	served := []string{}
	for _, v := range held {
		if !x.leaving(id, v) {
			served = append(served, v)
		}
	}
	slices.Sort(served)
	return served, known
}

// leaving reports whether a version is being unloaded from an endpoint.
func (x *Executor) leaving(id, version string) bool {
	return slices.ContainsFunc(x.steps, func(s *Step) bool {
		return s.Endpoint == id && s.stops(version)
	})
}

// save records the table if it has changed. Numbers of running requests alone are published at a slower pace.
func (x *Executor) save(ctx context.Context) error {
	t := x.table()
	key, err := t.key()
	if err != nil {
		return fmt.Errorf("encode placement table: %w", err)
	}
	now := x.spec.Now()
	if key == x.saved && now.Sub(x.savedAt) < demandEvery {
		return nil
	}
	body, err := t.Encode()
	if err != nil {
		return fmt.Errorf("encode placement table: %w", err)
	}
	if err := x.spec.Journal.Save(ctx, body); err != nil {
		x.problem = "the table can't be saved"
		return fmt.Errorf("save placement table: %w", err)
	}
	x.saved, x.savedAt = key, now
	maps.Copy(x.earlier, t.Serve)
	for _, s := range x.steps {
		if !s.recorded {
			s.recorded = true
			s.since = x.spec.Now() // daemons learn of a drain from now on
		}
	}
	return nil
}

// reconcile compares the steps with the reports.
func (x *Executor) reconcile() {
	now := x.spec.Now()
	x.steps = slices.DeleteFunc(x.steps, func(s *Step) bool {
		e := x.seen[s.Endpoint]
		switch {
		case s.Stage == StageSettled:
			return now.Sub(s.since) > retryAfter && (!s.Unsure || now.Sub(s.since) > quarantine)
		case e == nil && s.Action == Load:
			x.giveUp(s, "the endpoint is not listed")
			return false
		case e == nil: // an attempt may still arrive if it comes back
			return now.Sub(s.since) > quarantine && now.Sub(s.sentAt) > quarantine
		case e.target.Addr != s.Addr:
			return true // a new process, which no attempt can reach
		case !s.recorded || !e.fresh(now) || !e.at.After(s.since):
			return false
		}
		if s.done(&e.load) {
			s.enter(StageSettled, now)
			return !s.Unsure
		}
		x.advance(s, e)
		return false
	})
}

// advance moves a step on by a report that does not show the order's effect yet.
func (x *Executor) advance(s *Step, e *observed) {
	now := x.spec.Now()
	if s.boot == "" {
		s.boot = e.load.Boot
	}
	switch {
	case s.Stage == StageDrain:
		if e.at.Sub(s.since) >= x.spec.Settle && s.idle(&e.load) {
			s.boot = e.load.Boot
			s.enter(StageSend, now)
		}
	case s.boot != e.load.Boot && s.Action == Load && s.Attempts > 0:
		x.giveUp(s, "the endpoint started anew during the load")
	case s.boot != e.load.Boot:
		s.boot = e.load.Boot
	case s.Action == Load && now.Sub(s.since) > loadTimeout:
		x.giveUp(s, "the load took too long")
	}
}

func (x *Executor) giveUp(s *Step, why string) {
	s.Failure = why
	s.enter(StageSettled, x.spec.Now())
}

var errNotHeld = errors.New("placement: the lease is not held for long enough to send orders")
