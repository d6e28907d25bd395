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

// recordConnectionEnd counts a connection that a limit on callers refused or closed.
func (d *Daemon) recordConnectionEnd(r intake.Reason) {
	d.metrics.Counter(fmt.Sprintf("bramley_caller_connections_ended_total{reason=%q}", string(r))).Inc()
}

// registerCallerGauges registers the gauges of what callers make the daemon hold.
func (d *Daemon) registerCallerGauges() {
	for k := range intake.Kinds {
		d.metrics.Gauge(fmt.Sprintf(`bramley_caller_bytes{kind=%q}`, k), func() float64 { return float64(d.entry.Held().Bytes[k]) })
	}
	d.metrics.Gauge("bramley_caller_connections", func() float64 { return float64(d.entry.Held().Connections) })
	d.metrics.Gauge("bramley_caller_connections_waiting", func() float64 { return float64(d.entry.Held().Waiting) })
}
