package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
)

// Fact is one measured figure that does not belong to a line.
type Fact struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Report holds all figures of a run.
type Report struct {
	Fits  []Fit  `json:"fits"`
	Facts []Fact `json:"facts"`
}

// runner measures and collects the figures.
type runner struct {
	binaries Binaries
	window   time.Duration
	progress io.Writer
	report   *Report
	points   map[series][]Point
	order    []series
}

// series identifies the points of one line.
type series struct{ name, x, y string }

func (r *runner) point(name, x, y string, px, py float64) {
	s := series{name, x, y}
	if r.points[s] == nil {
		r.order = append(r.order, s)
	}
	r.points[s] = append(r.points[s], Point{px, py})
}

func (r *runner) fact(name, unit string, v float64) {
	r.report.Facts = append(r.report.Facts, Fact{name, unit, v})
	fmt.Fprintf(r.progress, "%s: %.4g %s\n", name, v, unit)
}

// fitAll fits the collected points.
func (r *runner) fitAll() error {
	for _, s := range r.order {
		fit, err := NewFit(s.name, s.x, s.y, r.points[s])
		if err != nil {
			return err
		}
		r.report.Fits = append(r.report.Fits, fit)
	}
	r.order, r.points = nil, map[series][]Point{}
	return nil
}

// role is a group of daemons that are measured together.
type role struct {
	name string
	in   func(id string) bool
}

func rolesOf(f *fleet) []role {
	watchers := f.watchers()
	return []role{
		{"watcher", func(id string) bool { return watchers[id] }},
		{"ordinary", func(id string) bool { return !watchers[id] }},
	}
}

// mean averages a figure over the daemons of a role; ok is false if there are none.
func mean(f *fleet, samples []sample, in func(string) bool, figure func(sample) float64) (v float64, ok bool) {
	n := 0
	for i, m := range f.members {
		if in(m.host.ID) {
			v += figure(samples[i])
			n++
		}
	}
	return v / float64(max(1, n)), n > 0
}

func corePercent(s sample) float64 { return 100 * s.cpu.Seconds() }

func controlBytes(s sample) float64 { return prefixSum(s.values, "bramley_control_bytes_total") }

func bytesOfKind(kind string) func(sample) float64 {
	return func(s sample) float64 {
		return prefixSum(s.values, fmt.Sprintf("bramley_control_bytes_total{kind=%q", kind))
	}
}

// kinds of control traffic.
var kinds = []string{"peer/digest", "peer/fetch", "peer/copybills", "peer/crash", "store", "hosts", "load"}

// idlePoints records processor time and bytes of each role at px.
func (r *runner) idlePoints(f *fleet, name, x string, px float64, samples []sample) {
	for _, ro := range rolesOf(f) {
		if v, ok := mean(f, samples, ro.in, corePercent); ok {
			r.point(name+" processor time, "+ro.name, x, "% of a core", px, v)
		}
		if v, ok := mean(f, samples, ro.in, controlBytes); ok {
			r.point(name+" control bytes, "+ro.name, x, "bytes/s in and out", px, v)
		}
		for _, kind := range kinds {
			if v, ok := mean(f, samples, ro.in, bytesOfKind(kind)); ok && v > 0 {
				r.fact(fmt.Sprintf("%s=%g %s %s", x, px, ro.name, kind), "bytes/s", v)
			}
		}
	}
}

const mb = 1 << 20

// memoryPoints records resident memory and live heap of the daemons at px, after a collection.
func (r *runner) memoryPoints(ctx context.Context, f *fleet, members []*member, name, x string, px float64) error {
	var resident, heap float64
	for _, m := range members {
		if _, err := get(ctx, "http://"+m.operator+"/debug/pprof/heap?gc=1"); err != nil {
			return err
		}
		values, err := metrics(ctx, m.operator)
		if err != nil {
			return err
		}
		rss, err := m.resident()
		if err != nil {
			return err
		}
		heap += values["go_memstats_heap_alloc_bytes"] / float64(len(members)) / mb
		resident += rss / float64(len(members)) / mb
	}
	r.point(name+" resident memory", x, "MiB", px, resident)
	r.point(name+" live heap", x, "MiB", px, heap)
	return nil
}

// waitHosts waits until all members have the platform's host list.
func (f *fleet) waitHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	list, err := f.hostRevision(ctx)
	if err != nil {
		return err
	}
	late := ""
	err = local.Wait(ctx, func() bool {
		for _, m := range f.members {
			values, err := metrics(ctx, m.operator)
			if have := values["bramley_host_list_revision"]; err != nil || have < float64(list) {
				late = fmt.Sprintf("%s has revision %g", m.host.ID, have)
				return false
			}
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("host list %d: %s: %w", list, late, err)
	}
	return nil
}

// callCounts adds up platform calls by role and kind.
func callCounts(f *fleet, calls map[string]map[string]int) map[string]map[string]int {
	watchers := f.watchers()
	out := map[string]map[string]int{"watcher": {}, "ordinary": {}}
	for caller, byKind := range calls {
		id, ok := strings.CutPrefix(caller, "bramleyd/")
		if !ok {
			continue
		}
		name := "ordinary"
		if watchers[id] {
			name = "watcher"
		}
		for kind, n := range byKind {
			out[name][kind] += n
		}
	}
	return out
}

// callDiff returns the calls by role and kind since an earlier count.
func callDiff(now, before map[string]map[string]int) map[string]map[string]int {
	for name, byKind := range now {
		for kind := range byKind {
			byKind[kind] -= before[name][kind]
		}
	}
	return now
}

// countCalls returns the calls by role and kind during f.
func (f *fleet) countCalls(ctx context.Context, during func() error) (map[string]map[string]int, error) {
	before, err := f.calls(ctx)
	if err != nil {
		return nil, err
	}
	if err := during(); err != nil {
		return nil, err
	}
	after, err := f.calls(ctx)
	if err != nil {
		return nil, err
	}
	return callDiff(callCounts(f, after), callCounts(f, before)), nil
}

func median(list []float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[len(list)/2]
}
