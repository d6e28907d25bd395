package capacity

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/pause"
)

// sample holds the processor time and the metrics of one daemon: totals from readSamples, rates per second of elapsed time from
// measureWindow.
type sample struct {
	cpu     time.Duration
	metrics map[string]float64
}

// readSamples reads the metrics, then the processor times, of the members, in the order of members.
func (f *fleet) readSamples(ctx context.Context, members []*member) ([]sample, error) {
	out := make([]sample, len(members))
	for i, m := range members {
		var err error
		if out[i].metrics, err = readMetrics(ctx, m.operatorAddr); err != nil {
			return nil, err
		}
	}
	for i, m := range members { // after reading the metrics, which costs processor time that must not count in the window
		var err error
		if out[i].cpu, err = m.processorTime(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// measureWindow calls run, unless it is nil, and measures all members until d has passed or run has returned, whichever is
// later. In the samples, the processor time and the metrics that end in _total are rates per second; the other metrics are
// the values at the end.
func (f *fleet) measureWindow(ctx context.Context, d time.Duration, run func(context.Context) error) ([]sample, error) {
	before, err := f.readSamples(ctx, f.members)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if run != nil {
		if err := run(ctx); err != nil {
			return nil, err
		}
	}
	if err := pause.For(ctx, d-time.Since(start)); err != nil {
		return nil, err
	}
	cpu := make([]time.Duration, len(f.members))
	for i, m := range f.members {
		if cpu[i], err = m.processorTime(); err != nil {
			return nil, err
		}
	}
	elapsed := time.Since(start)
	after, err := f.readSamples(ctx, f.members)
	if err != nil {
		return nil, err
	}
	for i := range after {
		after[i].cpu = time.Duration(float64(cpu[i]-before[i].cpu) * float64(time.Second) / float64(elapsed))
		for name, v := range after[i].metrics {
			if strings.HasSuffix(metricName(name), "_total") {
				after[i].metrics[name] = (v - before[i].metrics[name]) / elapsed.Seconds()
			}
		}
	}
	return after, nil
}

// metricName returns the name of a metric without its labels.
func metricName(name string) string {
	base, _, _ := strings.Cut(name, "{")
	return base
}

// sumByPrefix returns the sum of the values whose keys begin with prefix. It adds in sorted order, so that rounding is
// reproducible.
func sumByPrefix(values map[string]float64, prefix string) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if strings.HasPrefix(name, prefix) {
			sum += values[name]
		}
	}
	return sum
}
