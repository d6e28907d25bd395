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
	// maxConcurrentLoads bounds the loads in progress of one service in one failure domain, so that a fault that shows only
	// after a load affects few endpoints.
	maxConcurrentLoads = 8
	// maxOrderDelay is the time within which an unanswered order may still arrive. It is longer than TCP retransmits a
	// segment (15 min by default on Linux).
	maxOrderDelay = 20 * time.Minute
	// loadRetryDelay is the time before a version is loaded again at an endpoint where its load has certainly failed.
	loadRetryDelay = 2 * time.Minute
	// loadTimeout is the time after which a load that has not finished is given up.
	loadTimeout = 10 * time.Minute
	// demandInterval is the time between publications when only counts of running requests have changed.
	demandInterval = 30 * time.Second
	// peakDecay is the time in which a peak of demand decays to 0, so that a short drop of demand causes no orders.
	peakDecay = 10 * time.Minute
)

// Engines is the part of engine.Client that the executor uses.
type Engines interface {
	Load(ctx context.Context, addr string) (engine.Load, error)
	Order(ctx context.Context, addr string, o engine.Order) error
}

// Journal stores the encoded table and then distributes it to the daemons. An order is sent only after Save has stored
// the table that contains it. The error wraps duty.ErrSuperseded if a newer holder of the duty has written.
type Journal interface {
	Save(ctx context.Context, body []byte) error
}

// Spec configures an Executor.
type Spec struct {
	Domain  string
	Engines Engines
	Weights weight.Store
	Journal Journal
	Fence   uint64 // fencing token of the executor's term
	// Lease returns the fencing token and the end of the lease that is held now.
	Lease func() (fence uint64, expires time.Time)
	// LeaseMargin is the time before the end of the lease during which no order is sent.
	LeaseMargin time.Duration
	// SettleTime is the time within which every daemon applies a distributed table.
	SettleTime time.Duration
	// PollsPerTick bounds the load reports that one tick polls.
	PollsPerTick int
	Now          func() time.Time
	// OnOrder, if set, is called after each order that was sent, with the error of the call.
	OnOrder func(op Operation, err error)
}

// Target identifies an endpoint of the host list and the address of its engine.
type Target struct{ ID, Addr string }

// Fleet describes one service in the executor's failure domain: its endpoints and the demand for its versions.
type Fleet struct {
	Service   string
	Endpoints []Target // live ones of this domain
	// Demands are those of the service's versions; Running counts the requests of the other domains only.
	Demands             []Demand
	Domains             int // see Input, also for the following fields
	Slots               int
	VersionsPerEndpoint int
	SpareReplicas       int
	Role                string // role that the endpoints should have; empty to leave roles unchanged
	// OneAtATime sends an order only after the previous one was answered. It is for engines that ignore the fencing
	// token: it limits a former holder that resumes after a pause to one order.
	OneAtATime bool
	OrderToken string // authenticates the sender at endpoints that require it
}

// Executor plans and carries out orders during one term of a failure domain's placement duty. Only one goroutine may call
// Tick; Table is safe for concurrent use.
type Executor struct {
	spec       Spec
	endpoints  map[string]*endpointState // by ID
	operations []*Operation
	// lastServed holds the versions that were last published for each endpoint, used until its first report.
	lastServed    map[string][]string
	peaks         map[string]peak
	versionStatus map[string]Status
	fleets        map[string]Fleet // by service
	allPolled     map[string]bool  // services whose endpoints were all polled in this term
	savedAt       time.Time
	savedKey      string // changeKey of the saved table
	problem       string

	mu       sync.Mutex
	snapshot Table // table of the last tick, for state dumps
}

// peak is a number of running requests and the time at which it was seen.
type peak struct {
	running float64
	at      time.Time
}

// New returns an executor that continues from the table of the previous holder. Orders of that holder may still arrive, so
// they are completed and never revoked.
func New(spec Spec, previous Table) *Executor {
	x := &Executor{spec: spec, endpoints: map[string]*endpointState{}, lastServed: map[string][]string{}, peaks: map[string]peak{}, allPolled: map[string]bool{}}
	now := spec.Now()
	maps.Copy(x.lastServed, previous.Serve)
	for v, s := range previous.Versions {
		x.peaks[v] = peak{float64(s.Running), now}
	}
	for _, op := range previous.Operations {
		op.Inherited, op.OutcomeUnknown = true, true
		op.Attempts = max(1, op.Attempts)
		op.stageStart, op.sentAt, op.recorded = now, now, true
		x.operations = append(x.operations, &op)
	}
	return x
}

// Tick polls load reports, plans, saves the table and sends the orders that are due. The error wraps duty.ErrSuperseded if
// a newer holder has taken over. After any other error, Tick can be called again.
func (x *Executor) Tick(ctx context.Context, fleets []Fleet) error {
	x.problem = ""
	x.versionStatus = map[string]Status{}
	x.fleets = map[string]Fleet{}
	x.poll(ctx, fleets)
	x.reconcile()
	allPlanned := true
	for _, f := range fleets {
		x.fleets[f.Service] = f
		if x.pollComplete(f) {
			x.planService(ctx, f)
		} else {
			allPlanned = false
		}
	}
	var err error
	if allPlanned || x.savedKey != "" {
		err = x.save(ctx)
	}
	if err == nil {
		err = x.send(ctx)
	}
	x.updateSnapshot()
	return err
}

// Table returns the table as of the last tick. It is safe for concurrent use.
func (x *Executor) Table() Table {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.snapshot
}

// updateSnapshot makes the current table available to Table.
func (x *Executor) updateSnapshot() {
	t := x.buildTable()
	t.Problem = x.problem
	x.mu.Lock()
	x.snapshot = t
	x.mu.Unlock()
}

// buildTable returns the current table, without the problem.
func (x *Executor) buildTable() Table {
	t := Table{Domain: x.spec.Domain, Fence: x.spec.Fence, Serve: map[string][]string{}, Versions: x.versionStatus}
	for id, e := range x.endpoints {
		if served, ok := x.servedVersions(id, e); ok {
			t.Serve[id] = served
		}
	}
	for _, op := range x.operations {
		t.Operations = append(t.Operations, *op)
	}
	return t
}

// servedVersions returns the versions whose requests daemons may send to an endpoint, sorted, and false if they are not
// known. While its reports fail, the last ones stay.
func (x *Executor) servedVersions(id string, e *endpointState) ([]string, bool) {
	held, known := e.load.Versions, true
	if e.reportAt.IsZero() {
		held, known = x.lastServed[id]
	}
	served := []string{}
	for _, v := range held {
		if !x.draining(id, v) {
			served = append(served, v)
		}
	}
	slices.Sort(served)
	return served, known
}

// draining reports whether an operation keeps requests of a version away from an endpoint.
func (x *Executor) draining(id, version string) bool {
	return slices.ContainsFunc(x.operations, func(op *Operation) bool {
		return op.Endpoint == id && op.drains(version)
	})
}

// save stores and distributes the table if it has changed, changes of running requests at most once in demandInterval.
func (x *Executor) save(ctx context.Context) error {
	t := x.buildTable()
	key, err := t.changeKey()
	if err != nil {
		return fmt.Errorf("encode placement table: %w", err)
	}
	now := x.spec.Now()
	if key == x.savedKey && now.Sub(x.savedAt) < demandInterval {
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
	x.savedKey, x.savedAt = key, now
	maps.Copy(x.lastServed, t.Serve)
	for _, op := range x.operations {
		if !op.recorded {
			op.recorded = true
			op.stageStart = x.spec.Now() // daemons receive the drain from now on
		}
	}
	return nil
}

// reconcile updates the operations from the newest reports and removes those that have ended and can no longer take effect.
func (x *Executor) reconcile() {
	now := x.spec.Now()
	x.operations = slices.DeleteFunc(x.operations, func(op *Operation) bool {
		e := x.endpoints[op.Endpoint]
		switch {
		case op.Stage == StageSettled:
			return now.Sub(op.stageStart) > loadRetryDelay && (!op.OutcomeUnknown || now.Sub(op.stageStart) > maxOrderDelay)
		case e == nil && op.Action == Load:
			x.giveUp(op, "the endpoint is not listed")
			return false
		case e == nil: // an attempt may still arrive if the endpoint returns
			return now.Sub(op.stageStart) > maxOrderDelay && now.Sub(op.sentAt) > maxOrderDelay
		case e.target.Addr != op.Addr:
			return true // a new process, at which no earlier attempt can arrive
		case !op.recorded || !e.fresh(now) || !e.reportAt.After(op.stageStart):
			return false
		}
		if op.applied(&e.load) {
			op.enter(StageSettled, now)
			return !op.OutcomeUnknown
		}
		x.advance(op, e)
		return false
	})
}

// advance updates an operation from a report that does not show the order's effect yet.
func (x *Executor) advance(op *Operation, e *endpointState) {
	now := x.spec.Now()
	if op.boot == "" {
		op.boot = e.load.Boot
	}
	switch {
	case op.Stage == StageDrain:
		if e.reportAt.Sub(op.stageStart) >= x.spec.SettleTime && op.drained(&e.load) {
			op.boot = e.load.Boot
			op.enter(StageSend, now)
		}
	case op.boot != e.load.Boot && op.Action == Load && op.Attempts > 0:
		x.giveUp(op, "the endpoint started anew during the load")
	case op.boot != e.load.Boot:
		op.boot = e.load.Boot
	case op.Action == Load && now.Sub(op.stageStart) > loadTimeout:
		x.giveUp(op, "the load took too long")
	}
}

// giveUp ends an operation and records why.
func (x *Executor) giveUp(op *Operation, why string) {
	op.Failure = why
	op.enter(StageSettled, x.spec.Now())
}

// errLeaseTooShort means that orders must not be sent now: the lease is lost, or ends within LeaseMargin. Its text is also
// shown as the table's problem.
var errLeaseTooShort = errors.New("placement: the lease is not held for long enough to send orders")
