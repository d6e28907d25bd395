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
	// The size of a deployment at the scale target.
	targetDaemons      = 370
	targetEndpoints    = 840
	targetVersions     = 18
	sampleTeams        = 20
	settleTime         = 4 * time.Second // after a change, until the shares of limits are stable and the reports are read
	runningListDaemons = 20              // daemon processes if the host list has more daemons: two watchers and two ordinary daemons per domain
	publishesPerFleet  = 5
)

// measureDaemons measures idle daemons, platform calls and the propagation time of a publish as functions of the number of
// daemons.
func (r *runner) measureDaemons(ctx context.Context) error {
	for _, n := range []int{5, 10, 15, 20, 30, 40} { // in the fleets of 5 and 10, all daemons are watchers
		if err := r.measureFleet(ctx, n); err != nil {
			return fmt.Errorf("%d daemons: %w", n, err)
		}
	}
	return nil
}

// measureFleet takes the measurements of measureDaemons for one fleet of n daemons.
func (r *runner) measureFleet(ctx context.Context, n int) error {
	f, err := r.settledFleet(ctx, fleetSpec{Daemons: n, Endpoints: 60, Versions: targetVersions, Teams: sampleTeams})
	if err != nil {
		return err
	}
	defer f.abort()
	var samples []sample
	calls, err := f.countCalls(ctx, func() (err error) {
		samples, err = f.measureWindow(ctx, r.idleWindow, nil)
		return err
	})
	if err != nil {
		return err
	}
	r.addIdlePoints(f, "idle,", "daemons", float64(n), samples)
	r.addCallFacts(fmt.Sprintf("%d daemons idle for %s", n, r.idleWindow), calls)
	if err := r.addMemoryPoints(ctx, f, f.members, "idle,", "daemons", float64(n)); err != nil {
		return err
	}
	if err := r.measurePublish(ctx, f); err != nil {
		return err
	}
	return f.stop()
}

// addCallFacts records the platform calls by role and kind.
func (r *runner) addCallFacts(situation string, calls map[string]map[string]int) {
	for _, role := range slices.Sorted(maps.Keys(calls)) {
		for _, kind := range slices.Sorted(maps.Keys(calls[role])) {
			if n := calls[role][kind]; n > 0 {
				r.addFact(fmt.Sprintf("%s: %s from %s daemons", situation, kind, role), "calls", float64(n))
			}
		}
	}
}

// measurePublish measures the time from a publish until all daemons have the revision, with a resolution of about 20 ms.
func (r *runner) measurePublish(ctx context.Context, f *fleet) error {
	var took []float64
	for i := range publishesPerFleet {
		start := time.Now()
		number, err := f.publish(ctx, newConfiguration(targetVersions, sampleTeams, fmt.Sprint(i+1)))
		if err != nil {
			return err
		}
		wait, cancel := context.WithTimeout(ctx, readyTimeout)
		err = local.Wait(wait, func() bool { return f.checkRevision(ctx, f.members, number) == nil })
		cancel()
		if err != nil {
			return err
		}
		took = append(took, time.Since(start).Seconds())
	}
	n := float64(len(f.members))
	r.addPoint("publish until in force everywhere, median", "daemons", "s", n, median(took))
	r.addPoint("publish until in force everywhere, longest", "daemons", "s", n, slices.Max(took))
	return nil
}

// measureList measures idle daemons as a function of the size of the host list and of its rate of change.
func (r *runner) measureList(ctx context.Context) error {
	f, err := startFleet(ctx, r.binaries, fleetSpec{
		Daemons: runningListDaemons, Endpoints: targetEndpoints, Versions: targetVersions, Teams: sampleTeams, Unlisted: true,
	})
	if err != nil {
		return err
	}
	defer f.abort()
	for _, n := range []int{105, 210, 420, targetEndpoints} {
		if err := r.measureListSize(ctx, f, targetDaemons, n, "list,", "endpoints listed", float64(n)); err != nil {
			return err
		}
	}
	for _, n := range []int{46, 92, 185, targetDaemons} {
		if err := r.measureListSize(ctx, f, n, targetEndpoints, "list,", "daemons listed", float64(n)); err != nil {
			return err
		}
	}
	for _, perSecond := range []float64{0.25, 0.5, 1, 2} {
		samples, err := f.measureWindow(ctx, r.idleWindow/2, func(ctx context.Context) error {
			return f.changeRacksAtRate(ctx, perSecond, r.idleWindow/2)
		})
		if err != nil {
			return err
		}
		r.addIdlePoints(f, "list changes,", "changes/s", perSecond, samples)
	}
	return f.stop()
}

// measureListSize measures the fleet with the given numbers of listed daemons and endpoints; px is the one that varies.
func (r *runner) measureListSize(ctx context.Context, f *fleet, daemons, endpoints int, name, x string, px float64) error {
	if err := f.resizeHostList(ctx, daemons, endpoints); err != nil {
		return err
	}
	if err := f.waitForHostList(ctx); err != nil {
		return err
	}
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	samples, err := f.measureWindow(ctx, r.idleWindow/2, nil)
	if err != nil {
		return err
	}
	r.addIdlePoints(f, name, x, px, samples)
	return r.addMemoryPoints(ctx, f, f.members, name, x, px)
}

// changeRacksAtRate changes the host list perSecond times a second for d.
func (f *fleet) changeRacksAtRate(ctx context.Context, perSecond float64, d time.Duration) error {
	interval := time.Duration(float64(time.Second) / perSecond)
	for n := 0; time.Duration(n)*interval < d; n++ {
		if err := f.changeRack(ctx, n); err != nil {
			return err
		}
		if err := pause.For(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

// measureConfig measures memory as a function of the number of versions and of the size of the configuration.
func (r *runner) measureConfig(ctx context.Context) error {
	f, err := startFleet(ctx, r.binaries, fleetSpec{Daemons: 5, Endpoints: 60, Versions: targetVersions, Teams: sampleTeams})
	if err != nil {
		return err
	}
	defer f.abort()
	for _, n := range []int{4, 18, 36, 72} {
		if err := r.measureConfigSize(ctx, f, n, sampleTeams, "versions", float64(n)); err != nil {
			return err
		}
	}
	for _, n := range []int{20, 500, 1000, 2000} {
		size, err := configurationBytes(targetVersions, n)
		if err != nil {
			return err
		}
		if err := r.measureConfigSize(ctx, f, targetVersions, n, "bytes of the published form", size); err != nil {
			return err
		}
	}
	return f.stop()
}

// measureConfigSize publishes a configuration and measures memory with it; px is the size that varies.
func (r *runner) measureConfigSize(ctx context.Context, f *fleet, versions, teams int, x string, px float64) error {
	if _, err := f.publish(ctx, newConfiguration(versions, teams, fmt.Sprintf("%s-%d-%d", "p", versions, teams))); err != nil {
		return err
	}
	if err := f.waitForRevision(ctx, f.members); err != nil {
		return err
	}
	if err := pause.For(ctx, time.Second); err != nil {
		return err
	}
	return r.addMemoryPoints(ctx, f, f.members, "configuration,", x, px)
}
