package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/pause"
)

// A storm is a load peak: many daemons react to the same event at the same time.
const (
	stormDaemons    = 40
	stormOutageTime = 5 * time.Second
	stormWindow     = 8 * time.Second
	stormPublishes  = 10
)

// measureStorms measures platform calls and control traffic while many daemons react to the same event. The case "quiet" has
// no event, for comparison.
func (r *runner) measureStorms(ctx context.Context) error {
	f, err := startFleet(ctx, r.binaries, fleetSpec{
		Daemons: stormDaemons, Endpoints: targetEndpoints, Versions: targetVersions, Teams: sampleTeams, Unlisted: true,
	})
	if err != nil {
		return err
	}
	defer f.abort()
	if err := f.resizeHostList(ctx, targetDaemons, targetEndpoints); err != nil {
		return err
	}
	if err := f.waitForHostList(ctx); err != nil {
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
		{"outage of the key-value service", f.interruptStore},
		{fmt.Sprintf("%d publishes in a second", stormPublishes), f.publishBurst},
		{"restart of a failure domain", f.restartDomain},
	}
	for _, s := range storms {
		if err := r.measureStorm(ctx, f, s.name, s.run); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return f.stop()
}

// measureStorm takes its measurements from the start of run until run has returned and at least stormWindow has passed.
// Processor time and bytes are means over the daemons outside domain 0, whose daemons restartDomain restarts.
func (r *runner) measureStorm(ctx context.Context, f *fleet, name string, run func(context.Context) error) error {
	remaining := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m.host.Domain == domainName(0) })
	before, err := f.readSamples(ctx, remaining)
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
	after, err := f.readSamples(ctx, remaining)
	if err != nil {
		return err
	}
	r.addCallFacts(name, calls)
	r.addFact(name+": duration", "s", time.Since(start).Seconds())
	var cpu, total float64
	byKind := map[string]float64{}
	for i := range after {
		cpu += (after[i].cpu - before[i].cpu).Seconds() / float64(len(after))
		total += (controlBytes(after[i]) - controlBytes(before[i])) / float64(len(after))
		for _, k := range controlKinds {
			byKind[k] += (controlBytesOfKind(k)(after[i]) - controlBytesOfKind(k)(before[i])) / float64(len(after))
		}
	}
	r.addFact(name+": processor time of a daemon", "s", cpu)
	r.addFact(name+": control bytes of a daemon", "bytes", total)
	for _, k := range controlKinds {
		if byKind[k] > 0 {
			r.addFact(fmt.Sprintf("%s: %s of a daemon", name, k), "bytes", byKind[k])
		}
	}
	return nil
}

// interruptStore makes the key-value store unavailable for stormOutageTime.
func (f *fleet) interruptStore(ctx context.Context) error {
	if err := f.setOutage(ctx, true, false); err != nil {
		return err
	}
	if err := pause.For(ctx, stormOutageTime); err != nil {
		return err
	}
	return f.setOutage(ctx, false, false)
}

// publishBurst publishes stormPublishes configurations within about a second and waits until the members have the last one.
func (f *fleet) publishBurst(ctx context.Context) error {
	for i := range stormPublishes {
		if _, err := f.publish(ctx, newConfiguration(targetVersions, sampleTeams, fmt.Sprintf("storm-%d", i))); err != nil {
			return err
		}
		if err := pause.For(ctx, time.Second/stormPublishes); err != nil {
			return err
		}
	}
	return f.waitForRevision(ctx, f.members)
}

// restartDomain kills the daemons of failure domain 0, removes them from the host list, starts them again, and waits until they
// have the configuration and all members have the host list.
func (f *fleet) restartDomain(ctx context.Context) error {
	var killed []*member
	for _, m := range f.members {
		if m.host.Domain == domainName(0) {
			killed = append(killed, m)
		}
	}
	for _, m := range killed {
		m.kill()
		if err := f.changeHosts(ctx, nil, []string{m.host.ID}); err != nil {
			return err
		}
	}
	for _, m := range killed {
		if err := f.changeHosts(ctx, f.hosts([]*member{m}), nil); err != nil {
			return err
		}
		if err := f.startMember(m); err != nil {
			return err
		}
	}
	if err := f.waitForRevision(ctx, killed); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return local.Wait(wait, func() bool { return f.waitForHostList(wait) == nil })
}
