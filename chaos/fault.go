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

// Fault is a failure that can be injected. Inject causes it, keeps it up for hold and ends it.
type Fault struct {
	Name   string
	Inject func(ctx context.Context, r *run, hold time.Duration) error
}

// Names of failures that change what may be expected of others at the same time.
const (
	faultPeersCut    = "peers-cut"
	faultPlatformCut = "platform-cut"
)

// Faults returns all failures, in a fixed order.
func Faults() []Fault {
	return []Fault{
		{"store-down", onOff(func(r *run, on bool) { r.dep.Platform.KV.Faults.SetDown(on) })},
		{"store-slow", onOff(func(r *run, on bool) { r.dep.Platform.KV.Faults.SetDelay(choice(on, 150*time.Millisecond, 0)) })},
		{"store-replies-lost", once(func(r *run) { r.dep.Platform.KV.Faults.LoseReplies(8) })},
		{"host-list-down", onOff(func(r *run, on bool) { r.dep.Platform.Hosts.SetDown(on) })},
		{"endpoint-crash", once(func(r *run) { r.engine().Crash() })},
		{"endpoint-down", onOffEngine(func(e *standin.Engine, on bool) { e.SetDown(on) })},
		{"endpoint-silent", onOffEngine(func(e *standin.Engine, on bool) { e.SetStreamsStalled(on) })},
		{"version-fails", onOffEngine(func(e *standin.Engine, on bool) { e.FailEvery(choice(on, 3, 0)) })},
		{"plain-reply-lost", once(func(r *run) { r.plain().DropReplies(2) })},
		{"endpoint-leaving", leaving},
		{"domain-out", domainOut},
		{"version-withdrawn", versionWithdrawn},
		{"publish-race", publishRace},
		{"daemon-killed", daemonKilled},
		{"daemon-restarted", daemonRestarted},
		{faultPeersCut, cut(network.Isolate)},
		{faultPlatformCut, cut(network.CutPlatform)},
		{"connections-silent", once(func(r *run) { r.network.Silence() })},
		{"domain-lost", domainLost},
		{"poison-request", once(func(*run) {})}, // the workload sends it
	}
}

func choice[T any](on bool, yes, no T) T {
	if on {
		return yes
	}
	return no
}

func once(f func(*run)) func(context.Context, *run, time.Duration) error {
	return func(ctx context.Context, r *run, hold time.Duration) error {
		f(r)
		sleep(ctx, hold)
		return nil
	}
}

func onOff(set func(*run, bool)) func(context.Context, *run, time.Duration) error {
	return func(ctx context.Context, r *run, hold time.Duration) error {
		set(r, true)
		sleep(ctx, hold)
		set(r, false)
		return nil
	}
}

func onOffEngine(set func(*standin.Engine, bool)) func(context.Context, *run, time.Duration) error {
	return func(ctx context.Context, r *run, hold time.Duration) error {
		e := r.engine()
		set(e, true)
		sleep(ctx, hold)
		set(e, false)
		return nil
	}
}

func leaving(ctx context.Context, r *run, hold time.Duration) error {
	id := r.engineName()
	from := time.Now()
	r.dep.Platform.Hosts.SetState(id, hostlist.StateLeaving)
	sleep(ctx, hold)
	r.record.addWindow(Window{Endpoint: id, From: from, To: time.Now()})
	r.dep.Platform.Hosts.SetState(id, hostlist.StateLive)
	return nil
}

// edit publishes a change of the configuration, and its reversal after hold.
func edit(ctx context.Context, r *run, hold time.Duration, window Window, change, reversal func(*object.Set)) error {
	if err := r.publish(ctx, change); err != nil {
		return err
	}
	window.From = time.Now()
	sleep(ctx, hold)
	window.To = time.Now()
	r.record.addWindow(window)
	return r.publish(ctx, reversal)
}

func domainOut(ctx context.Context, r *run, hold time.Duration) error {
	set := func(state object.DomainState) func(*object.Set) {
		return func(s *object.Set) {
			i := slices.IndexFunc(s.FailureDomains, func(d object.FailureDomain) bool { return d.Name == local.SampleDomainB })
			s.FailureDomains[i].State = state
		}
	}
	return edit(ctx, r, hold, Window{Domain: local.SampleDomainB}, set(object.DomainOut), set(object.DomainIn))
}

func versionWithdrawn(ctx context.Context, r *run, hold time.Duration) error {
	set := func(state object.VersionState) func(*object.Set) {
		return func(s *object.Set) {
			i := slices.IndexFunc(s.Versions, func(v object.Version) bool { return v.Name == local.SampleSmall })
			s.Versions[i].State = state
		}
	}
	return edit(ctx, r, hold, Window{Version: local.SampleSmall}, set(object.VersionWithdrawn), set(object.VersionActive))
}

// publishRace lets two operators publish at the same time, several times. One of each pair meets a conflict and repeats.
func publishRace(ctx context.Context, r *run, hold time.Duration) error {
	for range 4 {
		other := make(chan error, 1)
		go func() { other <- r.publish(ctx, func(s *object.Set) { s.Teams[0].Share = 2 }) }()
		err := r.publish(ctx, func(s *object.Set) { s.Teams[0].Share = 3 })
		if err := errors.Join(err, <-other); err != nil {
			return err
		}
		sleep(ctx, hold/4)
	}
	return nil
}

func daemonKilled(ctx context.Context, r *run, hold time.Duration) error {
	r.losses <- struct{}{}
	defer func() { <-r.losses }()
	l := r.take()
	r.record.addKilled(l.dm.Addr())
	l.dm.Kill()
	sleep(ctx, hold)
	r.dep.Platform.Hosts.Remove(l.id)
	if err := r.addDaemon(ctx, l.domain); err != nil {
		return err
	}
	return r.recopied(ctx, hold)
}

// recopied waits until bills that lost one of their two places have a second one again, if other daemons may be lost too.
func (r *run) recopied(ctx context.Context, held time.Duration) error {
	if len(r.spec.Faults) > 1 || r.spec.Rounds > 1 {
		sleep(ctx, recopyTime-held)
	}
	return ctx.Err()
}

// domainLost stops all daemons and endpoints of a failure domain at once and brings them back.
func domainLost(ctx context.Context, r *run, hold time.Duration) error {
	r.losses <- struct{}{}
	defer func() { <-r.losses }()
	taken := r.takeDomain(local.SampleDomainA)
	r.setDomainDown(local.SampleDomainA, true)
	for _, l := range taken {
		r.record.addLost(l.dm.Addr())
		l.dm.Kill()
	}
	sleep(ctx, hold)
	r.setDomainDown(local.SampleDomainA, false)
	for _, l := range taken {
		r.dep.Platform.Hosts.Remove(l.id)
		if err := r.addDaemon(ctx, l.domain); err != nil {
			return err
		}
	}
	return r.recopied(ctx, hold)
}

// setDomainDown stops the endpoints of a failure domain, or starts them again.
func (r *run) setDomainDown(domain string, down bool) {
	for name, e := range r.dep.Engines {
		if strings.HasSuffix(name, "-"+domain) {
			e.SetDown(down)
		}
	}
	r.dep.Plains["lots-"+domain].SetDown(down)
}

// cut cuts a failure domain off and connects it again.
func cut(set func(n network, domain string, on bool)) func(context.Context, *run, time.Duration) error {
	return func(ctx context.Context, r *run, hold time.Duration) error {
		w := Window{Domain: local.SampleDomainA, From: time.Now()}
		set(r.network, w.Domain, true)
		sleep(ctx, hold)
		set(r.network, w.Domain, false)
		w.To = time.Now()
		r.record.addCut(w)
		return nil
	}
}

func daemonRestarted(ctx context.Context, r *run, _ time.Duration) error {
	l := r.take()
	if err := r.addDaemon(ctx, l.domain); err != nil {
		return err
	}
	r.dep.Platform.Hosts.SetState(l.id, hostlist.StateLeaving)
	if err := l.dm.Drain(ctx); err != nil && !r.storeFaulty {
		return fmt.Errorf("drain: %w", err)
	}
	r.dep.Platform.Hosts.Remove(l.id)
	return nil
}
