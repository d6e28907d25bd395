package daemon

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/settings"
)

// defaultMemoryMB is the memory from which the limits on callers are derived if the settings state none. With it, none of the other limits
// in the settings' defaults is reached later than before: 8,000 connections, and 64 MiB of bodies in flight.
const defaultMemoryMB = 1024

// memoryBytes returns the memory that the daemon may use.
func memoryBytes(s *settings.Settings) int64 {
	if s.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return int64(s.MemoryMB) << 20
}

// recordConnectionEnd counts and logs a connection that a limit on callers refused or closed.
func (d *Daemon) recordConnectionEnd(r intake.Reason) {
	d.metrics.Counter(fmt.Sprintf("bramley_caller_connections_ended_total{reason=%q}", string(r))).Inc()
	if r != intake.ReasonIdleTimeout {
		d.refusals.Connection("caller", string(r))
	}
}

// recordPeerEnd counts and logs a connection from the port for other daemons that a limit refused or closed.
func (d *Daemon) recordPeerEnd(reason string) {
	d.metrics.Counter(fmt.Sprintf("bramley_peer_connections_ended_total{reason=%q}", reason)).Inc()
	d.refusals.Connection("daemon", reason)
}

// registerCallerGauges registers the gauges of what callers make the daemon hold.
func (d *Daemon) registerCallerGauges() {
	for k := range intake.Kinds {
		d.metrics.Gauge(fmt.Sprintf(`bramley_caller_bytes{kind=%q}`, k), func() float64 { return float64(d.entry.Held().Bytes[k]) })
	}
	d.metrics.Gauge("bramley_answers_without_memory", func() float64 { return float64(d.entry.Held().RefusedAnswers) })
	d.metrics.Gauge("bramley_crash_records_pushed_out", func() float64 { return float64(d.poison.PushedOut()) })
	d.metrics.Gauge("bramley_caller_connections", func() float64 { return float64(d.entry.Held().Connections) })
	d.metrics.Gauge("bramley_caller_connections_waiting", func() float64 { return float64(d.entry.Held().Waiting) })
}
