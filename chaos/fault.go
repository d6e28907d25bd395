package chaos

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Fault is a failure that can be injected. Inject causes it, keeps it for the given duration and ends it. It returns an error
// if it could not cause or end it.
type Fault struct {
	Name   string
	Inject func(ctx context.Context, r *runner, duration time.Duration) error
}

// Names of the failures that relax what the checks expect while other failures are injected.
const (
	faultPeerPartition     = "peers-cut"
	faultPlatformPartition = "platform-cut"
)

// Faults returns all failures, in a fixed order on which the seeds of runs depend.
func Faults() []Fault {
	return []Fault{
		{"store-down", toggle(func(r *runner, on bool) { r.dep.Platform.KV.Faults.SetDown(on) })},
		{"store-slow", toggle(func(r *runner, on bool) { r.dep.Platform.KV.Faults.SetDelay(ifElse(on, 150*time.Millisecond, 0)) })},
		{"store-replies-lost", oneShot(func(r *runner) { r.dep.Platform.KV.Faults.LoseReplies(8) })},
		{"host-list-down", toggle(func(r *runner, on bool) { r.dep.Platform.Hosts.SetDown(on) })},
		{"endpoint-crash", oneShot(func(r *runner) { r.randomEngine().Crash() })},
		{"endpoint-down", toggleEngine(func(e *standin.Engine, on bool) { e.SetDown(on) })},
		{"endpoint-silent", toggleEngine(func(e *standin.Engine, on bool) { e.SetStreamsStalled(on) })},
		{"version-fails", toggleEngine(func(e *standin.Engine, on bool) { e.FailEvery(ifElse(on, 3, 0)) })},
		{"plain-reply-lost", oneShot(func(r *runner) { r.randomPlain().DropReplies(2) })},
		{"endpoint-leaving", endpointLeaving},
		{"domain-out", domainOut},
		{"version-withdrawn", versionWithdrawn},
		{"publish-race", publishRace},
		{"daemon-killed", daemonKilled},
		{"daemon-restarted", daemonRestarted},
		{faultPeerPartition, partition(network.Isolate)},
		{faultPlatformPartition, partition(network.CutPlatform)},
		{"connections-silent", oneShot(func(r *runner) { r.network.Silence() })},
		{"domain-lost", domainLost},
		{"poison-request", oneShot(func(*runner) {})}, // no injection: the workload sends the request
	}
}

// ifElse returns yes if on is true, and no otherwise.
func ifElse[T any](on bool, yes, no T) T {
	if on {
		return yes
	}
	return no
}

// oneShot returns the injection of a failure that needs no end. It returns after the duration of the failure.
func oneShot(inject func(*runner)) func(context.Context, *runner, time.Duration) error {
	return func(ctx context.Context, r *runner, duration time.Duration) error {
		inject(r)
		sleep(ctx, duration)
		return nil
	}
}

// toggle returns the injection of a failure that is switched on and off.
func toggle(set func(*runner, bool)) func(context.Context, *runner, time.Duration) error {
	return func(ctx context.Context, r *runner, duration time.Duration) error {
		set(r, true)
		sleep(ctx, duration)
		set(r, false)
		return nil
	}
}

// toggleEngine returns the injection of a failure that is switched on and off at one random engine.
func toggleEngine(set func(*standin.Engine, bool)) func(context.Context, *runner, time.Duration) error {
	return func(ctx context.Context, r *runner, duration time.Duration) error {
		engine := r.randomEngine()
		set(engine, true)
		sleep(ctx, duration)
		set(engine, false)
		return nil
	}
}

// endpointLeaving marks a random endpoint as leaving in the host list, then as live again.
func endpointLeaving(ctx context.Context, r *runner, duration time.Duration) error {
	id := r.randomEngineName()
	from := time.Now()
	r.dep.Platform.Hosts.SetState(id, hostlist.StateLeaving)
	sleep(ctx, duration)
	r.record.addWindow(Window{Endpoint: id, From: from, To: time.Now()})
	r.dep.Platform.Hosts.SetState(id, hostlist.StateLive)
	return nil
}

// editTemporarily publishes a change of the configuration, and its reversal after duration. It records the time between them
// as a window.
func editTemporarily(ctx context.Context, r *runner, duration time.Duration, window Window, change, reversal func(*object.Set)) error {
	if err := r.publish(ctx, change); err != nil {
		return err
	}
	window.From = time.Now()
	sleep(ctx, duration)
	window.To = time.Now()
	r.record.addWindow(window)
	return r.publish(ctx, reversal)
}

// domainOut takes a failure domain out of service and back in.
func domainOut(ctx context.Context, r *runner, duration time.Duration) error {
	set := func(state object.DomainState) func(*object.Set) {
		return func(s *object.Set) {
			i := slices.IndexFunc(s.FailureDomains, func(d object.FailureDomain) bool { return d.Name == local.SampleDomainB })
			s.FailureDomains[i].State = state
		}
	}
	return editTemporarily(ctx, r, duration, Window{Domain: local.SampleDomainB}, set(object.DomainOut), set(object.DomainIn))
}

// versionWithdrawn withdraws a version and makes it active again.
func versionWithdrawn(ctx context.Context, r *runner, duration time.Duration) error {
	set := func(state object.VersionState) func(*object.Set) {
		return func(s *object.Set) {
			i := slices.IndexFunc(s.Versions, func(v object.Version) bool { return v.Name == local.SampleSmall })
			s.Versions[i].State = state
		}
	}
	return editTemporarily(ctx, r, duration, Window{Version: local.SampleSmall}, set(object.VersionWithdrawn), set(object.VersionActive))
}

// publishRace publishes two changes concurrently, four times. One change of each pair gets a conflict and is retried.
func publishRace(ctx context.Context, r *runner, duration time.Duration) error {
	for range 4 {
		other := make(chan error, 1)
		go func() { other <- r.publish(ctx, func(s *object.Set) { s.Teams[0].Share = 2 }) }()
		err := r.publish(ctx, func(s *object.Set) { s.Teams[0].Share = 3 })
		if err := errors.Join(err, <-other); err != nil {
			return err
		}
		sleep(ctx, duration/4)
	}
	return nil
}

// daemonKilled kills a random daemon and later starts a new one in its failure domain.
func daemonKilled(ctx context.Context, r *runner, duration time.Duration) error {
	r.daemonLoss <- struct{}{}
	defer func() { <-r.daemonLoss }()
	l := r.removeRandomDaemon()
	r.record.addKilled(l.dm.Addr())
	l.dm.Kill()
	sleep(ctx, duration)
	r.dep.Platform.Hosts.Remove(l.id)
	if err := r.addDaemon(ctx, l.domain); err != nil {
		return err
	}
	return r.waitForBillCopies(ctx, duration)
}

// waitForBillCopies waits until billRecopyTime after the loss of a daemon, of which elapsed has passed, so that the affected
// bills have two copies again. It does not wait if the run injects no other failure.
func (r *runner) waitForBillCopies(ctx context.Context, elapsed time.Duration) error {
	if len(r.spec.Faults) > 1 || r.spec.Rounds > 1 {
		sleep(ctx, billRecopyTime-elapsed)
	}
	return ctx.Err()
}

// domainLost kills all daemons and stops all endpoints of a failure domain at once. Later it starts the endpoints again and
// replaces the daemons.
func domainLost(ctx context.Context, r *runner, duration time.Duration) error {
	r.daemonLoss <- struct{}{}
	defer func() { <-r.daemonLoss }()
	removed := r.removeDomain(local.SampleDomainA)
	r.setDomainDown(local.SampleDomainA, true)
	for _, l := range removed {
		r.record.addLost(l.dm.Addr())
		l.dm.Kill()
	}
	sleep(ctx, duration)
	r.setDomainDown(local.SampleDomainA, false)
	for _, l := range removed {
		r.dep.Platform.Hosts.Remove(l.id)
		if err := r.addDaemon(ctx, l.domain); err != nil {
			return err
		}
	}
	return r.waitForBillCopies(ctx, duration)
}

// setDomainDown makes the endpoints of a failure domain unavailable or available.
func (r *runner) setDomainDown(domain string, down bool) {
	for name, e := range r.dep.Engines {
		if strings.HasSuffix(name, "-"+domain) {
			e.SetDown(down)
		}
	}
	r.dep.PlainEndpoints["lots-"+domain].SetDown(down)
}

// partition returns the injection of a network partition that set starts and ends for one failure domain.
func partition(set func(n network, domain string, on bool)) func(context.Context, *runner, time.Duration) error {
	return func(ctx context.Context, r *runner, duration time.Duration) error {
		w := Window{Domain: local.SampleDomainA, From: time.Now()}
		set(r.network, w.Domain, true)
		sleep(ctx, duration)
		set(r.network, w.Domain, false)
		w.To = time.Now()
		r.record.addPartition(w)
		return nil
	}
}

// daemonRestarted starts a new daemon, then drains a random one of the same failure domain, as a rolling restart does.
func daemonRestarted(ctx context.Context, r *runner, _ time.Duration) error {
	l := r.removeRandomDaemon()
	if err := r.addDaemon(ctx, l.domain); err != nil {
		return err
	}
	r.dep.Platform.Hosts.SetState(l.id, hostlist.StateLeaving)
	if err := l.dm.Drain(ctx); err != nil && !r.hasStoreFault {
		return fmt.Errorf("drain the replaced daemon: %w", err)
	}
	r.dep.Platform.Hosts.Remove(l.id)
	return nil
}
