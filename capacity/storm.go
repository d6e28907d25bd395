package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	stormDaemons   = 40
	stormOutage    = 5 * time.Second
	stormWindow    = 8 * time.Second
	stormPublishes = 10
)

// measureStorms measures calls and bytes while many daemons do the same at once.
func (r *runner) measureStorms(ctx context.Context) error {
	f, err := startFleet(ctx, r.binaries, fleetSpec{
		Daemons: stormDaemons, Endpoints: targetEndpoints, Versions: targetVersions, Teams: sampleTeams, Unlisted: true,
	})
	if err != nil {
		return err
	}
	defer f.abort()
	if err := f.resize(ctx, targetDaemons, targetEndpoints); err != nil {
		return err
	}
	if err := f.waitHosts(ctx); err != nil {
		return err
	}
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	storms := []struct {
		name string
		run  func(context.Context) error
	}{
		{"quiet", func(context.Context) error { return nil }},
		{"outage of the key-value service", f.stormOutage},
		{fmt.Sprintf("%d publishes in a second", stormPublishes), f.stormPublishes},
		{"restart of a failure domain", f.stormRestart},
	}
	for _, s := range storms {
		if err := r.measureStorm(ctx, f, s.name, s.run); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return f.stop()
}

func (r *runner) measureStorm(ctx context.Context, f *fleet, name string, run func(context.Context) error) error {
	survivors := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m.host.Domain == domainName(0) })
	before, err := f.sample(ctx, survivors)
	if err != nil {
		return err
	}
	start := time.Now()
	calls, err := f.countCalls(ctx, func() error {
		if err := run(ctx); err != nil {
			return err
		}
		return pause.For(ctx, stormWindow-time.Since(start))
	})
	if err != nil {
		return err
	}
	after, err := f.sample(ctx, survivors)
	if err != nil {
		return err
	}
	r.callFacts(name, calls)
	r.fact(name+": duration", "s", time.Since(start).Seconds())
	var cpu, total float64
	byKind := map[string]float64{}
	for i := range after {
		cpu += (after[i].cpu - before[i].cpu).Seconds() / float64(len(after))
		total += (controlBytes(after[i]) - controlBytes(before[i])) / float64(len(after))
		for _, k := range kinds {
			byKind[k] += (bytesOfKind(k)(after[i]) - bytesOfKind(k)(before[i])) / float64(len(after))
		}
	}
	r.fact(name+": processor time of a daemon", "s", cpu)
	r.fact(name+": control bytes of a daemon", "bytes", total)
	for _, k := range kinds {
		if byKind[k] > 0 {
			r.fact(fmt.Sprintf("%s: %s of a daemon", name, k), "bytes", byKind[k])
		}
	}
	return nil
}

func (f *fleet) stormOutage(ctx context.Context) error {
	if err := f.outage(ctx, true, false); err != nil {
		return err
	}
	if err := pause.For(ctx, stormOutage); err != nil {
		return err
	}
	return f.outage(ctx, false, false)
}

func (f *fleet) stormPublishes(ctx context.Context) error {
	for i := range stormPublishes {
		if _, err := f.publish(ctx, newSet(targetVersions, sampleTeams, fmt.Sprintf("storm-%d", i))); err != nil {
			return err
		}
		if err := pause.For(ctx, time.Second/stormPublishes); err != nil {
			return err
		}
	}
	return f.waitReady(ctx, f.members)
}

// stormRestart kills the daemons of a failure domain, takes them off the list and starts them again.
func (f *fleet) stormRestart(ctx context.Context) error {
	var gone []*member
	for _, m := range f.members {
		if m.host.Domain == domainName(0) {
			gone = append(gone, m)
		}
	}
	for _, m := range gone {
		m.kill()
		if err := f.changeHosts(ctx, nil, []string{m.host.ID}); err != nil {
			return err
		}
	}
	for _, m := range gone {
		if err := f.changeHosts(ctx, f.hosts([]*member{m}), nil); err != nil {
			return err
		}
		if err := f.startMember(m); err != nil {
			return err
		}
	}
	if err := f.waitReady(ctx, gone); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return local.Wait(wait, func() bool { return f.waitHosts(wait) == nil })
}
