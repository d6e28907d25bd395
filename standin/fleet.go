package standin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// OrderFault is what happens to an order.
type OrderFault int

// Faults of orders.
const (
	OrderWorks      OrderFault = iota
	OrderLost                  // it does not arrive
	OrderAnswerLost            // it is carried out, but its answer is lost
	OrderCrash                 // the endpoint restarts in the middle of the load
	OrderNoMemory              // the endpoint refuses it for lack of memory
)

// FleetSpec describes the endpoints of a Fleet.
type FleetSpec struct {
	LoadTime      time.Duration
	Room          int  // versions that fit; one more makes the endpoint restart without any
	ChecksFencing bool // refuses orders with a stale fencing number
}

// FleetEvent is a change at an endpoint, or an order that was carried out without one.
type FleetEvent struct {
	At       time.Time
	Endpoint string
	Domain   string
	Order    engine.Order // zero for a change that no order made
	Changed  bool
	Running  int                 // requests that the order interrupted
	Held     map[string][]string // versions by endpoint afterwards
}

// Fleet is a set of fake model endpoints in one process that take orders and report load, but run no requests. It is
// for tests under a fake clock.
type Fleet struct {
	spec FleetSpec

	mu       sync.Mutex
	nodes    map[string]*fleetNode
	fault    func(addr string, o engine.Order) OrderFault
	events   []FleetEvent
	onChange func(FleetEvent)
	sent     int
}

type fleetNode struct {
	domain   string
	boot     int
	fence    uint64
	versions []string
	loading  []string
	running  map[string]int
	role     string
	down     bool
}

// NewFleet returns a fleet without endpoints.
func NewFleet(spec FleetSpec) *Fleet {
	return &Fleet{spec: spec, nodes: map[string]*fleetNode{}, fault: func(string, engine.Order) OrderFault { return OrderWorks }}
}

// Add adds an endpoint, whose address is its name.
func (f *Fleet) Add(name, domain, role string, versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = &fleetNode{domain: domain, boot: 1, role: role, versions: slices.Clone(versions), running: map[string]int{}}
}

// SetFault registers a function that says what happens to each order.
func (f *Fleet) SetFault(fault func(addr string, o engine.Order) OrderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// OnChange registers a function that is called with each event, in order. It must not call the fleet.
func (f *Fleet) OnChange(fn func(FleetEvent)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange = fn
}

// SetRunning sets the number of running requests of a version at an endpoint.
func (f *Fleet) SetRunning(name, version string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].running[version] = n
}

// SetDown makes an endpoint unreachable, or reachable again.
func (f *Fleet) SetDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].down = down
}

// Held returns the versions by endpoint.
func (f *Fleet) Held() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held()
}

func (f *Fleet) held() map[string][]string {
	out := make(map[string][]string, len(f.nodes))
	for name, n := range f.nodes {
		out[name] = slices.Clone(n.versions)
	}
	return out
}

// Roles returns the roles by endpoint.
func (f *Fleet) Roles() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]string{}
	for name, n := range f.nodes {
		out[name] = n.role
	}
	return out
}

// Events returns the record of the fleet.
func (f *Fleet) Events() []FleetEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

// Sent returns the number of orders that were sent, lost ones included.
func (f *Fleet) Sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

// LoadsAbove returns a number of orders to load that arrived within a time in which a rate a second and burst permit fewer.
// It returns 0 if there is none.
func (f *Fleet) LoadsAbove(rate float64, burst int) (n int, within time.Duration) {
	var at []time.Time
	for _, e := range f.Events() {
		if (e.Order.Action == "load" || e.Order.Action == "adapter") && !e.Changed {
			at = append(at, e.At)
		}
	}
	const rounding = 1e-6
	for i := range at {
		for j := i; j < len(at); j++ {
			within := at[j].Sub(at[i])
			if float64(j-i+1) > float64(burst)+rate*within.Seconds()+rounding {
				return j - i + 1, within
			}
		}
	}
	return 0, 0
}

// Load returns a load report.
func (f *Fleet) Load(ctx context.Context, addr string) (engine.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[addr]
	if n == nil || n.down || ctx.Err() != nil {
		return engine.Load{}, engine.ErrUnreachable
	}
	l := engine.Load{
		Boot: fmt.Sprintf("%s-%d", addr, n.boot), Versions: slices.Clone(n.versions), Loading: slices.Clone(n.loading), Role: n.role,
		RunningByVersion: maps.Clone(n.running),
	}
	for _, count := range n.running {
		l.Running += count
	}
	return l, nil
}

// Order carries out an order, unless a fault keeps it from that.
func (f *Fleet) Order(_ context.Context, addr string, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	n := f.nodes[addr]
	if n == nil || n.down {
		return engine.ErrUnreachable
	}
	fault := f.fault(addr, o)
	switch {
	case fault == OrderLost:
		return engine.ErrBroken
	case f.spec.ChecksFencing && o.Fence < n.fence:
		return engine.ErrStaleFence
	case fault == OrderNoMemory:
		return engine.ErrFailed
	}
	n.fence = max(n.fence, o.Fence)
	f.carryOut(addr, n, o, fault)
	if fault == OrderAnswerLost {
		return engine.ErrBroken
	}
	return nil
}

func (f *Fleet) carryOut(addr string, n *fleetNode, o engine.Order, fault OrderFault) {
	holds := slices.Contains(n.versions, o.Target)
	switch o.Action {
	case "load", "adapter":
		if !holds && !slices.Contains(n.loading, o.Target) {
			n.loading = append(n.loading, o.Target)
			f.finishLater(addr, n, o, fault)
		}
		f.record(addr, n, o, false, 0) // the version counts when it is loaded
	case "unload":
		interrupted := n.running[o.Target]
		delete(n.running, o.Target)
		n.versions = slices.DeleteFunc(n.versions, func(v string) bool { return v == o.Target })
		f.record(addr, n, o, holds, interrupted)
	case "role":
		interrupted := 0
		for _, count := range n.running {
			interrupted += count
		}
		changed := n.role != o.Target
		n.role = o.Target
		f.record(addr, n, o, changed, interrupted)
	}
}

// finishLater ends a load after its time. The caller holds the lock.
func (f *Fleet) finishLater(addr string, n *fleetNode, o engine.Order, fault OrderFault) {
	boot := n.boot
	wait := f.spec.LoadTime
	if fault == OrderCrash {
		wait /= 2
	}
	time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if n.boot != boot {
			return
		}
		n.loading = slices.DeleteFunc(n.loading, func(v string) bool { return v == o.Target })
		switch {
		case fault == OrderCrash:
			n.boot++
			n.loading = nil
			f.record(addr, n, engine.Order{}, false, 0)
		case len(n.versions) >= f.spec.Room:
			n.boot++
			n.versions, n.loading = nil, nil
			f.record(addr, n, engine.Order{}, true, 0)
		default:
			n.versions = append(n.versions, o.Target)
			f.record(addr, n, o, true, 0)
		}
	})
}

func (f *Fleet) record(addr string, n *fleetNode, o engine.Order, changed bool, interrupted int) {
	e := FleetEvent{At: time.Now(), Endpoint: addr, Domain: n.domain, Order: o, Changed: changed, Running: interrupted}
	if changed {
		e.Held = f.held()
	}
	f.events = append(f.events, e)
	if f.onChange != nil {
		f.onChange(e)
	}
}
