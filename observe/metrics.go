package observe

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bramleytrail/bramleytrail/pipeline"
)

// Metrics is the set of metrics of one daemon. It is safe for concurrent use. The label values are result codes and
// declared names of teams, versions and services, so that the configuration bounds their cardinality.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Gauge registers a gauge whose value is read from f whenever the metrics are written. Registering a name twice panics.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

// Counter returns the counter with a name, which may include labels. It is created on first use.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Histogram returns the histogram with a name, which may include labels. It is created on first use.
func (m *Metrics) Histogram(name string) *metrics.Histogram { return m.set.GetOrCreateHistogram(name) }

// RecordRequest records the result, the latencies and the retries of a finished request.
func (m *Metrics) RecordRequest(o pipeline.Outcome) {
	m.Counter(fmt.Sprintf(`bramley_requests_total{kind=%q,team=%q,code="%d"}`, o.Kind, o.Team, int(o.Code))).Inc()
	if o.FirstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_first_byte_seconds{target=%q}`, o.Version)).Update(o.FirstByte.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_request_duration_seconds{kind=%q}`, o.Kind)).Update(o.Total.Seconds())
	if n := len(o.Attempts); n > 1 {
		m.Counter("bramley_retries_total").Add(n - 1)
	}
}

// RecordStoreCall records the outcome and the latency d of a call to the key-value store.
func (m *Metrics) RecordStoreCall(call string, d time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "error"
	}
	m.Counter(fmt.Sprintf(`bramley_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bramley_store_call_seconds{call=%q}`, call)).Update(d.Seconds())
}

// Write writes all metrics, including those of the process, in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
