package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/standin"
)

const (
	daemons = 4
	settle  = 200 * time.Millisecond
	// recopyTime is the time after the loss of a daemon in which its bills, and those that it held copies of, have only one
	// place: a loss of their holder in this time may lose them, see docs/billing.md.
	recopyTime = 3 * time.Second
	// copyTimeout is so long that it does not pass on a busy machine: an answer ends without a copy of its bill then, and the
	// bill is lost with its daemon.
	copyTimeout  = 20 * time.Second
	settleAfter  = 300 * time.Millisecond // load before and after the failures
	revisionPoll = 5 * time.Millisecond
	runTimeout   = 2 * time.Minute
)

// Spec describes one run.
type Spec struct {
	Seed uint64
	// Faults are injected at the same time, Rounds times one after the other.
	Faults []Fault
	Rounds int
	Hold   time.Duration // how long each failure lasts
	// InMemory makes all connections in memory, so that the run works under a fake clock.
	InMemory bool
}

// Report is the result of a run.
type Report struct {
	Requests   int
	Answered   int
	Violations []string
}

// network is what lies between daemons and before the platform.
type network interface {
	Isolate(domain string, cut bool)
	CutPlatform(domain string, cut bool)
	Silence()
}

// run is the state of one run.
type run struct {
	spec        Spec
	dep         *local.Deployment
	network     network
	record      *Record
	poison      bool
	storeFaulty bool
	cutDomains  bool          // daemons of a failure domain are cut off from others
	cutPlatform bool          // a failure domain is cut off from the platform
	losses      chan struct{} // has room unless bills of lost daemons have one place only; a mutex stops a fake clock
	adding      sync.Mutex

	mu      sync.Mutex
	rng     *rand.Rand
	live    []liveDaemon
	number  int
	engines []string
}

type liveDaemon struct {
	id     string
	domain string
	dm     *daemon.Daemon
}

// Run runs a deployment under load, injects the failures and checks the invariants.
func Run(ctx context.Context, spec Spec) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dep, network, err := deploy(spec.InMemory)
	if err != nil {
		return Report{}, err
	}
	defer dep.Stop()
	r := &run{spec: spec, dep: dep, network: network, losses: make(chan struct{}, 1), record: &Record{killed: map[string]bool{}, lost: map[string]bool{}}, rng: rand.New(rand.NewPCG(spec.Seed, 1))}
	for _, f := range spec.Faults {
		r.cutDomains = r.cutDomains || f.Name == faultPeersCut
		r.cutPlatform = r.cutPlatform || f.Name == faultPlatformCut
		r.poison = r.poison || f.Name == "poison-request"
		r.storeFaulty = r.storeFaulty || f.Name == "store-down" || f.Name == "store-slow" || f.Name == "store-replies-lost" || f.Name == faultPlatformCut
	}
	dep.Settle, dep.CopyTimeout = settle, copyTimeout
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	w := &workload{run: r, record: r.record, stop: make(chan struct{})}
	w.start(ctx, spec.Seed)
	stopWatch := r.watchRevisions()
	err = r.inject(ctx)
	sleep(ctx, settleAfter)
	close(w.stop)
	w.wg.Wait()
	stopWatch()
	if drainErr := r.drain(ctx); err == nil {
		err = drainErr
	}
	if err != nil {
		return Report{}, err
	}
	return r.check(ctx)
}

func deploy(inMemory bool) (*local.Deployment, network, error) {
	if inMemory {
		dep, err := local.NewInMemory(nil)
		if err != nil {
			return nil, nil, err
		}
		return dep, dep.Memory, nil
	}
	dep, err := local.New(nil)
	if err != nil {
		return nil, nil, err
	}
	return dep, dep.UseNetwork(), nil
}

func (r *run) start(ctx context.Context) error {
	spec := standin.EngineSpec{Slots: 64, ColdSlots: 4, WarmAfter: 8, TokenDelay: 4 * time.Millisecond}
	if err := local.Sample(ctx, r.dep, daemons, spec); err != nil {
		return err
	}
	if err := r.limitColdEndpoints(ctx, spec); err != nil {
		return err
	}
	for i, dm := range r.dep.Daemons {
		domain := []string{local.SampleDomainA, local.SampleDomainB}[i%2]
		r.live = append(r.live, liveDaemon{fmt.Sprintf("entry-%d", i+1), domain, dm})
	}
	r.number = daemons
	for _, domain := range []string{local.SampleDomainA, local.SampleDomainB} {
		for _, version := range []string{local.SampleSmall, local.SampleLarge} {
			r.engines = append(r.engines, version+"-"+domain)
		}
	}
	for _, e := range r.dep.Engines {
		e.CrashOn(poisonPrompt)
	}
	return nil
}

// limitColdEndpoints declares the limits that the engines have, so that the load exceeds what a cold one bears.
func (r *run) limitColdEndpoints(ctx context.Context, spec standin.EngineSpec) error {
	err := r.publish(ctx, func(s *object.Set) {
		for i := range s.Services {
			if s.Services[i].Type == object.ServiceModel {
				s.Services[i].Limits.ColdSlots, s.Services[i].Limits.WarmAfter = spec.ColdSlots, spec.WarmAfter
			}
		}
	})
	if err != nil {
		return err
	}
	return r.dep.WaitRevision(ctx, 2)
}

// inject causes all failures of the run at the same time, round after round.
func (r *run) inject(ctx context.Context) error {
	sleep(ctx, settleAfter)
	for range max(1, r.spec.Rounds) {
		errs := make([]error, len(r.spec.Faults))
		var wg sync.WaitGroup
		for i, f := range r.spec.Faults {
			wg.Go(func() {
				if err := f.Inject(ctx, r, r.spec.Hold); err != nil {
					errs[i] = fmt.Errorf("%s: %w", f.Name, err)
				}
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// daemon returns the address of a daemon that the balancer would choose.
func (r *run) daemon(rng *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := rng.IntN(len(r.live))
	for i := range r.live {
		if dm := r.live[(start+i)%len(r.live)].dm; dm.Ready() {
			return dm.Addr()
		}
	}
	return r.live[start].dm.Addr()
}

// take removes a daemon from the balancer.
func (r *run) take() liveDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.rng.IntN(len(r.live))
	l := r.live[i]
	r.live = append(r.live[:i:i], r.live[i+1:]...)
	return l
}

// takeDomain removes the daemons of a failure domain from the balancer.
func (r *run) takeDomain(domain string) (taken []liveDaemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rest []liveDaemon
	for _, l := range r.live {
		if l.domain == domain {
			taken = append(taken, l)
		} else {
			rest = append(rest, l)
		}
	}
	r.live = rest
	return taken
}

// addDaemon starts a daemon and waits until the balancer may use it.
func (r *run) addDaemon(ctx context.Context, domain string) error {
	id, dm, err := r.startDaemon(domain)
	if err != nil {
		return err
	}
	if err := local.Wait(ctx, dm.Ready); err != nil {
		return fmt.Errorf("daemon %s is not ready: %w", id, err)
	}
	r.mu.Lock()
	r.live = append(r.live, liveDaemon{id, domain, dm})
	r.mu.Unlock()
	return nil
}

func (r *run) startDaemon(domain string) (string, *daemon.Daemon, error) {
	r.adding.Lock()
	defer r.adding.Unlock()
	r.number++
	id := fmt.Sprintf("entry-%d", r.number)
	dm, err := r.dep.AddDaemon(r.dep.Settings(id, domain))
	return id, dm, err
}

func (r *run) engineName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[r.rng.IntN(len(r.engines))]
}

func (r *run) engine() *standin.Engine { return r.dep.Engines[r.engineName()] }

func (r *run) plain() *standin.PlainService {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dep.Plains["lots-"+[]string{local.SampleDomainA, local.SampleDomainB}[r.rng.IntN(2)]]
}

// publish changes the configuration in force, as an operator does: it repeats the command while the service is down, and
// merges and repeats it after a conflict.
func (r *run) publish(ctx context.Context, change func(*object.Set)) error {
	for {
		_, err := r.dep.Edit(ctx, change)
		if err == nil || !errors.Is(err, kv.ErrUnavailable) && !errors.Is(err, kv.ErrConflict) {
			return err
		}
		if !sleep(ctx, deliveryPause) {
			return ctx.Err()
		}
	}
}

// watchRevisions records each daemon whose revision goes back.
func (r *run) watchRevisions() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	seen := map[string]config.Revision{}
	go func() {
		defer close(ended)
		for {
			r.mu.Lock()
			live := append([]liveDaemon(nil), r.live...)
			r.mu.Unlock()
			for _, l := range live {
				rev := l.dm.Revision()
				if last := seen[l.id]; last.Newer(rev) {
					r.record.revision = append(r.record.revision, fmt.Sprintf("%s went from revision %d back to %d", l.id, last.Number, rev.Number))
				}
				seen[l.id] = rev
			}
			select {
			case <-done:
				return
			case <-time.After(revisionPoll):
			}
		}
	}()
	return func() { close(done); <-ended }
}

func (r *run) drain(ctx context.Context) error {
	for _, l := range r.live {
		if err := l.dm.Drain(ctx); err != nil {
			return fmt.Errorf("drain %s: %w", l.id, err)
		}
	}
	return nil
}

func (r *run) bills(ctx context.Context) (map[string]ledger.Bill, error) {
	list, err := ledger.Read(ctx, r.dep.Platform.KV)
	if err != nil {
		return nil, err
	}
	bills := map[string]ledger.Bill{}
	for _, b := range list {
		bills[b.ID] = b
	}
	return bills, nil
}
