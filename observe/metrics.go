package observe

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleytrail/bramleytrail/pipeline"
)

// Metrics are the metrics of one daemon. The label values are result codes and declared names of teams, versions and
// services, so that the cardinality is bounded by the configuration.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Gauge registers a gauge that is read when the metrics are written.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Counter returns the counter of that name.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Histogram returns the histogram of that name.
func (m *Metrics) Histogram(name string) *metrics.Histogram { return m.set.GetOrCreateHistogram(name) }

// Request counts a finished request.
func (m *Metrics) Request(o pipeline.Outcome) {
	m.Counter(fmt.Sprintf(`bramley_requests_total{kind=%q,team=%q,code="%d"}`, o.Kind, o.Team, int(o.Code))).Inc()
	if o.FirstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_first_byte_seconds{target=%q}`, o.Version)).Update(o.FirstByte.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_request_duration_seconds{kind=%q}`, o.Kind)).Update(o.Total.Seconds())
	if n := len(o.Attempts); n > 1 {
		m.Counter("bramley_retries_total").Add(n - 1)
	}
}

// Store counts a call to the key-value service.
func (m *Metrics) Store(call string, d time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "error"
	}
	m.Counter(fmt.Sprintf(`bramley_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_store_call_seconds{call=%q}`, call)).Update(d.Seconds())
}

// Write writes all metrics, those of the process included, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
