package capacity

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	targetDaemons   = 370
	targetEndpoints = 840
	targetVersions  = 18
	sampleTeams     = 20
	settleTime      = 4 * time.Second // after a change, until shares have settled and reports are read
	listDaemons     = 20              // started daemons where the list is larger: two watchers and two others a domain
	publishes       = 5
)

// measureDaemons measures idle daemons, calls to the platform and the time of a publish over the number of daemons.
func (r *runner) measureDaemons(ctx context.Context) error {
	for _, n := range []int{5, 10, 15, 20, 30, 40} { // all daemons of the first two are watchers
		if err := r.measureFleet(ctx, n); err != nil {
			return fmt.Errorf("%d daemons: %w", n, err)
		}
	}
	return nil
}

func (r *runner) measureFleet(ctx context.Context, n int) error {
	f, err := r.settledFleet(ctx, fleetSpec{Daemons: n, Endpoints: 60, Versions: targetVersions, Teams: sampleTeams})
	if err != nil {
		return err
	}
	defer f.abort()
	var samples []sample
	calls, err := f.countCalls(ctx, func() (err error) {
		samples, err = f.window(ctx, r.window, nil)
		return err
	})
	if err != nil {
		return err
	}
	r.idlePoints(f, "idle,", "daemons", float64(n), samples)
	r.callFacts(fmt.Sprintf("%d daemons idle for %s", n, r.window), calls)
	if err := r.memoryPoints(ctx, f, f.members, "idle,", "daemons", float64(n)); err != nil {
		return err
	}
	if err := r.measurePublish(ctx, f); err != nil {
		return err
	}
	return f.stop()
}

func (r *runner) callFacts(when string, calls map[string]map[string]int) {
	for _, role := range slices.Sorted(maps.Keys(calls)) {
		for _, kind := range slices.Sorted(maps.Keys(calls[role])) {
			if n := calls[role][kind]; n > 0 {
				r.fact(fmt.Sprintf("%s: %s from %s daemons", when, kind, role), "calls", float64(n))
			}
		}
	}
}

// measurePublish measures the time from a publish until all daemons have the revision, to about 20 ms.
func (r *runner) measurePublish(ctx context.Context, f *fleet) error {
	var took []float64
	for i := range publishes {
		start := time.Now()
		number, err := f.publish(ctx, newSet(targetVersions, sampleTeams, fmt.Sprint(i+1)))
		if err != nil {
			return err
		}
		wait, cancel := context.WithTimeout(ctx, readyTimeout)
		err = local.Wait(wait, func() bool { return f.lacksRevision(ctx, f.members, number) == nil })
		cancel()
		if err != nil {
			return err
		}
		took = append(took, time.Since(start).Seconds())
	}
	n := float64(len(f.members))
	r.point("publish until in force everywhere, median", "daemons", "s", n, median(took))
	r.point("publish until in force everywhere, longest", "daemons", "s", n, slices.Max(took))
	return nil
}

// measureList measures idle daemons over the size of the host list and over its changes.
func (r *runner) measureList(ctx context.Context) error {
	f, err := startFleet(ctx, r.binaries, fleetSpec{
		Daemons: listDaemons, Endpoints: targetEndpoints, Versions: targetVersions, Teams: sampleTeams, Unlisted: true,
	})
	if err != nil {
		return err
	}
	defer f.abort()
	for _, n := range []int{105, 210, 420, targetEndpoints} {
		if err := r.measureListed(ctx, f, targetDaemons, n, "list,", "endpoints listed", float64(n)); err != nil {
			return err
		}
	}
	for _, n := range []int{46, 92, 185, targetDaemons} {
		if err := r.measureListed(ctx, f, n, targetEndpoints, "list,", "daemons listed", float64(n)); err != nil {
			return err
		}
	}
	for _, perSecond := range []float64{0.25, 0.5, 1, 2} {
		samples, err := f.window(ctx, r.window/2, func(ctx context.Context) error {
			return f.touchAtRate(ctx, perSecond, r.window/2)
		})
		if err != nil {
			return err
		}
		r.idlePoints(f, "list changes,", "changes/s", perSecond, samples)
	}
	return f.stop()
}

func (r *runner) measureListed(ctx context.Context, f *fleet, daemons, endpoints int, name, x string, px float64) error {
	if err := f.resize(ctx, daemons, endpoints); err != nil {
		return err
	}
	if err := f.waitHosts(ctx); err != nil {
		return err
	}
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	samples, err := f.window(ctx, r.window/2, nil)
	if err != nil {
		return err
	}
	r.idlePoints(f, name, x, px, samples)
	return r.memoryPoints(ctx, f, f.members, name, x, px)
}

// touchAtRate changes the list perSecond times a second for d.
func (f *fleet) touchAtRate(ctx context.Context, perSecond float64, d time.Duration) error {
	step := time.Duration(float64(time.Second) / perSecond)
	for n := 0; time.Duration(n)*step < d; n++ {
		if err := f.touch(ctx, n); err != nil {
			return err
		}
		if err := pause.For(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// measureConfig measures memory over the number of versions and over the size of the configuration.
func (r *runner) measureConfig(ctx context.Context) error {
	f, err := startFleet(ctx, r.binaries, fleetSpec{Daemons: 5, Endpoints: 60, Versions: targetVersions, Teams: sampleTeams})
	if err != nil {
		return err
	}
	defer f.abort()
	for _, n := range []int{4, 18, 36, 72} {
		if err := r.measureSet(ctx, f, n, sampleTeams, "versions", float64(n)); err != nil {
			return err
		}
	}
	for _, n := range []int{20, 500, 1000, 2000} {
		size, err := setBytes(targetVersions, n)
		if err != nil {
			return err
		}
		if err := r.measureSet(ctx, f, targetVersions, n, "bytes of the published form", size); err != nil {
			return err
		}
	}
	return f.stop()
}

func (r *runner) measureSet(ctx context.Context, f *fleet, versions, teams int, x string, px float64) error {
	if _, err := f.publish(ctx, newSet(versions, teams, fmt.Sprintf("%s-%d-%d", "p", versions, teams))); err != nil {
		return err
	}
	if err := f.waitReady(ctx, f.members); err != nil {
		return err
	}
	if err := pause.For(ctx, time.Second); err != nil {
		return err
	}
	return r.memoryPoints(ctx, f, f.members, "configuration,", x, px)
}
