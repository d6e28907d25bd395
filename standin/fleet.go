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

// OrderFault is a fault that a Fleet injects into an order.
type OrderFault int

// Faults of an order, sent by a daemon to an endpoint.
const (
	OrderSucceeds    OrderFault = iota
	OrderLost                   // the order does not arrive
	OrderReplyLost              // the order is executed, but the reply is lost
	OrderCrash                  // the endpoint restarts after half of the load time
	OrderOutOfMemory            // the endpoint rejects the order for lack of memory
)

// FleetSpec configures the endpoints of a Fleet.
type FleetSpec struct {
	LoadTime      time.Duration // from the order to load a version until the version is ready
	MaxVersions   int           // versions that fit into an endpoint's memory; loading one more restarts the endpoint without any version
	ChecksFencing bool          // rejects orders with a stale fencing token
}

// FleetEvent is an executed order, the end of a load or a restart of an endpoint. An order to load a version makes an event
// without a change when it arrives, and another event when the load ends.
type FleetEvent struct {
	At                  time.Time
	Endpoint            string
	Domain              string
	Order               engine.Order        // zero for a restart, which no order asked for
	Changed             bool                // the endpoint's versions or role differ afterwards
	InterruptedRequests int                 // requests that the order interrupted
	Versions            map[string][]string // versions by endpoint after the event; nil without a change
}

// Fleet is a set of fake model endpoints in one process that execute orders and report their load, but run no requests. It
// works under the fake clock of testing/synctest. It is safe for concurrent use.
type Fleet struct {
	spec FleetSpec

	mu         sync.Mutex
	endpoints  map[string]*fleetEndpoint
	fault      func(addr string, o engine.Order) OrderFault
	events     []FleetEvent
	onChange   func(FleetEvent)
	ordersSent int
}

type fleetEndpoint struct {
	domain   string
	boot     int    // number of starts
	fence    uint64 // highest fencing token of an executed order
	versions []string
	loading  []string
	running  map[string]int // requests by version
	role     string
	down     bool
}

// NewFleet returns a fleet without endpoints.
func NewFleet(spec FleetSpec) *Fleet {
	return &Fleet{spec: spec, endpoints: map[string]*fleetEndpoint{}, fault: func(string, engine.Order) OrderFault { return OrderSucceeds }}
}

// Add adds an endpoint with its loaded versions. Its name is also its address.
func (f *Fleet) Add(name, domain, role string, versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[name] = &fleetEndpoint{domain: domain, boot: 1, role: role, versions: slices.Clone(versions), running: map[string]int{}}
}

// SetFault registers a function that chooses the fault of each order. It is called with the fleet locked and must not call
// the fleet.
func (f *Fleet) SetFault(fault func(addr string, o engine.Order) OrderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// OnChange registers a function that is called with each event, in order. It is called with the fleet locked and must not
// call the fleet.
func (f *Fleet) OnChange(fn func(FleetEvent)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange = fn
}

// SetRunning sets the number of requests of a version that an endpoint reports as running.
func (f *Fleet) SetRunning(name, version string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[name].running[version] = n
}

// SetDown makes an endpoint unreachable or reachable again. Its versions and loads in progress stay.
func (f *Fleet) SetDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[name].down = down
}

// Versions returns the loaded versions by endpoint.
func (f *Fleet) Versions() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versionsLocked()
}

// versionsLocked is Versions for a caller that holds the lock.
func (f *Fleet) versionsLocked() map[string][]string {
	out := make(map[string][]string, len(f.endpoints))
	for name, n := range f.endpoints {
		out[name] = slices.Clone(n.versions)
	}
	return out
}

// Roles returns the roles by endpoint.
func (f *Fleet) Roles() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]string{}
	for name, n := range f.endpoints {
		out[name] = n.role
	}
	return out
}

// Events returns a copy of all events so far, in order.
func (f *Fleet) Events() []FleetEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

// OrdersSent returns the number of orders that were sent, including lost ones.
func (f *Fleet) OrdersSent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ordersSent
}

// ExcessLoads returns the size and the duration of the first series of load orders that exceeds a token bucket with the given
// rate in loads per second and burst. It returns 0 if all load orders conform.
func (f *Fleet) ExcessLoads(rate float64, burst int) (n int, within time.Duration) {
	var at []time.Time
	for _, e := range f.Events() {
		if (e.Order.Action == "load" || e.Order.Action == "adapter") && !e.Changed {
			at = append(at, e.At)
		}
	}
	const rounding = 1e-6 // loads, for floating-point errors
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

// Load returns the load report of an endpoint, or engine.ErrUnreachable if the endpoint is unknown or down or the context has
// ended.
func (f *Fleet) Load(ctx context.Context, addr string) (engine.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.endpoints[addr]
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

// Order executes an order at an endpoint, unless a fault prevents it. It returns the same errors as a real engine client:
// engine.ErrUnreachable, ErrBroken for a lost order or reply, ErrStaleFence and ErrFailed.
func (f *Fleet) Order(_ context.Context, addr string, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ordersSent++
	n := f.endpoints[addr]
	if n == nil || n.down {
		return engine.ErrUnreachable
	}
	fault := f.fault(addr, o)
	switch {
	case fault == OrderLost:
		return engine.ErrBroken
	case f.spec.ChecksFencing && o.Fence < n.fence:
		return engine.ErrStaleFence
	case fault == OrderOutOfMemory:
		return engine.ErrFailed
	}
	n.fence = max(n.fence, o.Fence)
	f.execute(addr, n, o, fault)
	if fault == OrderReplyLost {
		return engine.ErrBroken
	}
	return nil
}

// execute applies an order to an endpoint and records the events. The caller holds the lock.
func (f *Fleet) execute(addr string, n *fleetEndpoint, o engine.Order, fault OrderFault) {
	holds := slices.Contains(n.versions, o.Target)
	switch o.Action {
	case "load", "adapter":
		if !holds && !slices.Contains(n.loading, o.Target) {
			n.loading = append(n.loading, o.Target)
			f.scheduleLoadResult(addr, n, o, fault)
		}
		f.recordEvent(addr, n, o, false, 0) // the change is recorded when the load ends
	case "unload":
		interrupted := n.running[o.Target]
		delete(n.running, o.Target)
		n.versions = slices.DeleteFunc(n.versions, func(v string) bool { return v == o.Target })
		f.recordEvent(addr, n, o, holds, interrupted)
	case "role":
		interrupted := 0
		for _, count := range n.running {
			interrupted += count
		}
		changed := n.role != o.Target
		n.role = o.Target
		f.recordEvent(addr, n, o, changed, interrupted)
	}
}

// scheduleLoadResult ends a load after LoadTime, with a ready version or a restart. A restart in the meantime discards the load.
// The caller holds the lock.
func (f *Fleet) scheduleLoadResult(addr string, n *fleetEndpoint, o engine.Order, fault OrderFault) {
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
			f.recordEvent(addr, n, engine.Order{}, false, 0)
		case len(n.versions) >= f.spec.MaxVersions:
			n.boot++
			n.versions, n.loading = nil, nil
			f.recordEvent(addr, n, engine.Order{}, true, 0)
		default:
			n.versions = append(n.versions, o.Target)
			f.recordEvent(addr, n, o, true, 0)
		}
	})
}

// recordEvent appends an event and passes it to the registered function. The caller holds the lock.
func (f *Fleet) recordEvent(addr string, n *fleetEndpoint, o engine.Order, changed bool, interrupted int) {
	e := FleetEvent{At: time.Now(), Endpoint: addr, Domain: n.domain, Order: o, Changed: changed, InterruptedRequests: interrupted}
	if changed {
		e.Versions = f.versionsLocked()
	}
	f.events = append(f.events, e)
	if f.onChange != nil {
		f.onChange(e)
	}
}
