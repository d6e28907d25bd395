package capacity

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/pause"
)

// sample holds the figures of one daemon, or their differences over a window.
type sample struct {
	cpu    time.Duration
	values map[string]float64
}

func (f *fleet) sample(ctx context.Context, members []*member) ([]sample, error) {
	out := make([]sample, len(members))
	for i, m := range members {
		var err error
		if out[i].values, err = metrics(ctx, m.operator); err != nil {
			return nil, err
		}
	}
	for i, m := range members { // after the reads, whose cost does not belong to the window
		var err error
		if out[i].cpu, err = m.processorTime(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// window measures the members over d while during runs.
func (f *fleet) window(ctx context.Context, d time.Duration, during func(context.Context) error) ([]sample, error) {
	before, err := f.sample(ctx, f.members)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if during != nil {
		if err := during(ctx); err != nil {
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
	after, err := f.sample(ctx, f.members)
	if err != nil {
		return nil, err
	}
	for i := range after {
		after[i].cpu = time.Duration(float64(cpu[i]-before[i].cpu) * float64(time.Second) / float64(elapsed))
		for name, v := range after[i].values {
			if strings.HasSuffix(metricBase(name), "_total") {
				after[i].values[name] = (v - before[i].values[name]) / elapsed.Seconds()
			}
		}
	}
	return after, nil
}

func metricBase(name string) string {
	base, _, _ := strings.Cut(name, "{")
	return base
}

// prefixSum adds up the values whose names begin with a prefix.
func prefixSum(values map[string]float64, prefix string) float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if strings.HasPrefix(name, prefix) {
			sum += values[name]
		}
	}
	return sum
}
