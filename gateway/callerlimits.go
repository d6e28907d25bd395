package gateway

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/entry"
	"github.com/bramleytrail/bramleytrail/intake"
)

const (
	// maxInFlight bounds the requests in flight, and maxConnections the connections of callers.
	maxInFlight, maxConnections = 1500, 3000
	// unusedDescriptors is the part of the limit on file descriptors that is left unused. Of the rest, callers' connections and
	// requests in flight, which need one for an endpoint, have these shares; what remains is for the store, peers and listeners.
	unusedDescriptors                         = 200
	connectionDescriptors, requestDescriptors = 0.65, 0.3
	// minConnections is the lower bound for deployments with very few descriptors.
	minConnections = 16
	// portDescriptors is the share of the usable descriptors for the connections of each of the ports for readiness and metrics, which have
	// minPortConnections at least. ownDescriptors are those of the daemon itself: listeners, the store and the runtime.
	portDescriptors, minPortConnections, ownDescriptors = 0.02, 8, 12
)

// callerLimits bound what callers make the daemon hold.
type callerLimits struct {
	connections, inFlight int
	port                  int // connections of each of the ports for readiness and metrics
	intake                intake.Limits
}

// callerLimitsFor derives the limits from the machine's memory in bytes and the limit on file descriptors, 0 if not known.
func callerLimitsFor(memory int64, descriptors int) callerLimits {
	var most int
	l := callerLimits{connections: maxConnections, inFlight: maxInFlight, port: entry.PortConnections}
	if descriptors > 0 {
		usable := float64(max(0, descriptors-unusedDescriptors))
		l.inFlight = min(l.inFlight, int(requestDescriptors*usable))
		l.port = min(l.port, max(minPortConnections, int(portDescriptors*usable)))
		rest := int(usable) - l.inFlight - 2*l.port - ownDescriptors
		l.connections = min(l.connections, int(connectionDescriptors*usable), rest)
	}
	l.intake, most = intake.LimitsFor(memory, intake.ConnectionCost)
	l.connections = max(minConnections, min(l.connections, most))
	l.inFlight = max(minConnections/2, l.inFlight)
	return l
}

// MaxEndpointConnections returns the number of connections to endpoints, in use and idle, that a daemon may have open, given its memory in
// bytes and the limit on file descriptors: one for each request in flight.
func MaxEndpointConnections(memory int64, descriptors int) int {
	return callerLimitsFor(memory, descriptors).inFlight
}

// recordConnectionEnd counts and logs a connection that a limit on callers refused or closed.
func (g *Gateway) recordConnectionEnd(r intake.Reason) {
	g.spec.Metrics.Counter(fmt.Sprintf("bramley_caller_connections_ended_total{reason=%q}", string(r))).Inc()
	if r != intake.ReasonIdleTimeout {
		g.refusals.Connection("caller", string(r))
	}
}

// registerCallerGauges registers the gauges of what callers make the daemon hold.
func (g *Gateway) registerCallerGauges() {
	m := g.spec.Metrics
	for k := range intake.Kinds {
		m.Gauge(fmt.Sprintf(`bramley_caller_bytes{kind=%q}`, k), func() float64 { return float64(g.entry.Held().Bytes[k]) })
	}
	m.Gauge("bramley_caller_connections", func() float64 { return float64(g.entry.Held().Connections) })
	m.Gauge("bramley_caller_connections_waiting", func() float64 { return float64(g.entry.Held().Waiting) })
}
