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

// Fact is one measured value that is not a point of a fitted line.
type Fact struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Report holds the results of a run. It is written as JSON to the file of --output.
type Report struct {
	Fits  []Fit  `json:"fits"`
	Facts []Fact `json:"facts"`
}

// runner runs the measurements and collects their results. It is not safe for concurrent use.
type runner struct {
	binaries    Binaries
	idleWindow  time.Duration
	progress    io.Writer
	report      *Report
	points      map[series][]Point
	seriesOrder []series
}

// series identifies the points of one line.
type series struct{ name, x, y string }

// addPoint adds a point to the line that name, x and y identify.
func (r *runner) addPoint(name, x, y string, px, py float64) {
	s := series{name, x, y}
	if r.points[s] == nil {
		r.seriesOrder = append(r.seriesOrder, s)
	}
	r.points[s] = append(r.points[s], Point{px, py})
}

// addFact adds a value to the report and writes it to the progress output.
func (r *runner) addFact(name, unit string, v float64) {
	r.report.Facts = append(r.report.Facts, Fact{name, unit, v})
	fmt.Fprintf(r.progress, "%s: %.4g %s\n", name, v, unit)
}

// fitAll fits a line to each series of points, adds the fits to the report and discards the points.
func (r *runner) fitAll() error {
	for _, s := range r.seriesOrder {
		fit, err := NewFit(s.name, s.x, s.y, r.points[s])
		if err != nil {
			return err
		}
		r.report.Fits = append(r.report.Fits, fit)
	}
	r.seriesOrder, r.points = nil, map[series][]Point{}
	return nil
}

// role is a group of daemons whose measurements are averaged.
type role struct {
	name     string
	contains func(id string) bool // id is a host ID
}

func rolesOf(f *fleet) []role {
	watchers := f.watchers()
	return []role{
		{"watcher", func(id string) bool { return watchers[id] }},
		{"ordinary", func(id string) bool { return !watchers[id] }},
	}
}

// roleMean returns the mean of a value over the members of f that contains accepts. samples has one entry for each member, in
// the same order. ok is false if no member was accepted.
func roleMean(f *fleet, samples []sample, contains func(string) bool, value func(sample) float64) (v float64, ok bool) {
	n := 0
	for i, m := range f.members {
		if contains(m.host.ID) {
			v += value(samples[i])
			n++
		}
	}
	return v / float64(max(1, n)), n > 0
}

// cpuPercent returns the processor time of a sample of measureWindow as a percentage of one core.
func cpuPercent(s sample) float64 { return 100 * s.cpu.Seconds() }

// controlBytes returns the bytes of all control traffic in a sample.
func controlBytes(s sample) float64 { return sumByPrefix(s.metrics, "bramley_control_bytes_total") }

// controlBytesOfKind returns a function that returns the bytes of one kind of control traffic in a sample.
func controlBytesOfKind(kind string) func(sample) float64 {
	return func(s sample) float64 {
		return sumByPrefix(s.metrics, fmt.Sprintf("bramley_control_bytes_total{kind=%q", kind))
	}
}

// controlKinds lists the values of the label kind of bramley_control_bytes_total.
var controlKinds = []string{"peer/digest", "peer/fetch", "peer/copybills", "peer/crash", "store", "hosts", "load"}

// addIdlePoints adds the mean processor time and control traffic of each role at px.
func (r *runner) addIdlePoints(f *fleet, name, x string, px float64, samples []sample) {
	for _, ro := range rolesOf(f) {
		if v, ok := roleMean(f, samples, ro.contains, cpuPercent); ok {
			r.addPoint(name+" processor time, "+ro.name, x, "% of a core", px, v)
		}
		if v, ok := roleMean(f, samples, ro.contains, controlBytes); ok {
			r.addPoint(name+" control bytes, "+ro.name, x, "bytes/s in and out", px, v)
		}
		for _, kind := range controlKinds {
			if v, ok := roleMean(f, samples, ro.contains, controlBytesOfKind(kind)); ok && v > 0 {
				r.addFact(fmt.Sprintf("%s=%g %s %s", x, px, ro.name, kind), "bytes/s", v)
			}
		}
	}
}

const bytesPerMiB = 1 << 20

// addMemoryPoints adds the mean resident memory and live heap of the members at px, after a garbage collection.
func (r *runner) addMemoryPoints(ctx context.Context, f *fleet, members []*member, name, x string, px float64) error {
	var resident, heap float64
	for _, m := range members {
		if _, err := httpGet(ctx, "http://"+m.operatorAddr+"/debug/pprof/heap?gc=1"); err != nil {
			return err
		}
		values, err := readMetrics(ctx, m.operatorAddr)
		if err != nil {
			return err
		}
		rss, err := m.residentBytes()
		if err != nil {
			return err
		}
		heap += values["go_memstats_heap_alloc_bytes"] / float64(len(members)) / bytesPerMiB
		resident += rss / float64(len(members)) / bytesPerMiB
	}
	r.addPoint(name+" resident memory", x, "MiB", px, resident)
	r.addPoint(name+" live heap", x, "MiB", px, heap)
	return nil
}

// waitForHostList waits until all members have the platform's current host list or a newer one.
func (f *fleet) waitForHostList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	list, err := f.hostRevision(ctx)
	if err != nil {
		return err
	}
	outdated := ""
	err = local.Wait(ctx, func() bool {
		for _, m := range f.members {
			values, err := readMetrics(ctx, m.operatorAddr)
			if have := values["bramley_host_list_revision"]; err != nil || have < float64(list) {
				outdated = fmt.Sprintf("daemon %s has revision %g", m.host.ID, have)
				return false
			}
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("wait for host list revision %d: %s: %w", list, outdated, err)
	}
	return nil
}

// callsByRole sums the platform calls of the daemons by role and kind. Calls of other clients are not counted.
func callsByRole(f *fleet, calls map[string]map[string]int) map[string]map[string]int {
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

// subtractCalls subtracts the counts of before from after, in place, and returns after.
func subtractCalls(after, before map[string]map[string]int) map[string]map[string]int {
	for name, byKind := range after {
		for kind := range byKind {
			byKind[kind] -= before[name][kind]
		}
	}
	return after
}

// countCalls returns the platform calls by role and kind while run runs.
func (f *fleet) countCalls(ctx context.Context, run func() error) (map[string]map[string]int, error) {
	before, err := f.platformCalls(ctx)
	if err != nil {
		return nil, err
	}
	if err := run(); err != nil {
		return nil, err
	}
	after, err := f.platformCalls(ctx)
	if err != nil {
		return nil, err
	}
	return subtractCalls(callsByRole(f, after), callsByRole(f, before)), nil
}

// median returns the middle value of list, the upper one for an even length. list must not be empty.
func median(list []float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[len(list)/2]
}
