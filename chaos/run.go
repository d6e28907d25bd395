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
	daemons    = 4
	settleTime = 200 * time.Millisecond
	// billRecopyTime is the time after the loss of a daemon until its bills, and those whose copies it held, have two copies
	// again. Until then they have only one, and the loss of the daemon that holds it may lose them, see docs/billing.md.
	billRecopyTime = 3 * time.Second
	// copyTimeout is long enough not to expire on a busy machine. When it expires, an answer ends although its bill has no
	// copy, and the bill is lost if its daemon is killed.
	copyTimeout       = 20 * time.Second
	faultFreeLoadTime = 300 * time.Millisecond // load without failures, before the first and after the last
	revisionPoll      = 5 * time.Millisecond
	runTimeout        = 2 * time.Minute
)

// Spec describes one run.
type Spec struct {
	Seed uint64
	// Faults are injected concurrently, in Rounds consecutive rounds; 0 means one round.
	Faults        []Fault
	Rounds        int
	FaultDuration time.Duration // how long each failure lasts
	// InMemory replaces network connections by in-memory ones, so that the run can use synctest's fake clock.
	InMemory bool
}

// Report is the result of a run. Violations describes each violated invariant; it is empty if all held.
type Report struct {
	Requests   int
	Answered   int // requests with a complete answer
	Violations []string
}

// network injects failures into the connections between daemons and to the platform.
type network interface {
	// Isolate partitions the daemons of a failure domain from those of other domains, or ends the partition.
	Isolate(domain string, on bool)
	// CutPlatform partitions the daemons of a failure domain from the platform, or ends the partition.
	CutPlatform(domain string, on bool)
	// Silence makes the open connections stop delivering data without closing them; new connections work.
	Silence()
}

// runner runs a deployment with load and failures and holds the state of the run.
type runner struct {
	spec                 Spec
	dep                  *local.Deployment
	network              network
	record               *Record
	hasPoisonRequest     bool
	hasStoreFault        bool
	hasPeerPartition     bool // a fault partitions a failure domain from the others
	hasPlatformPartition bool // a fault partitions a failure domain from the platform
	// daemonLoss has capacity 1 and is full while bills of lost daemons have only one copy, so that no further daemon is killed
	// then. It is not a mutex, because a goroutine that waits for a mutex stops synctest's fake clock.
	daemonLoss chan struct{}
	addMu      sync.Mutex // serializes the addition of daemons to dep, and guards lastDaemon

	mu          sync.Mutex
	rng         *rand.Rand
	liveDaemons []liveDaemon
	lastDaemon  int
	engineNames []string
}

// liveDaemon is a daemon to which the simulated load balancer may send requests.
type liveDaemon struct {
	id     string
	domain string
	dm     *daemon.Daemon
}

// Run runs a deployment under load, injects the failures of spec and checks the invariants. Violations are in the report; an
// error means that the run could not be completed within runTimeout or at all.
func Run(ctx context.Context, spec Spec) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dep, network, err := newDeployment(spec.InMemory)
	if err != nil {
		return Report{}, err
	}
	defer dep.Stop()
	r := &runner{spec: spec, dep: dep, network: network, daemonLoss: make(chan struct{}, 1), record: &Record{killed: map[string]bool{}, lostWithDomain: map[string]bool{}}, rng: rand.New(rand.NewPCG(spec.Seed, 1))}
	for _, f := range spec.Faults {
		r.hasPeerPartition = r.hasPeerPartition || f.Name == faultPeerPartition
		r.hasPlatformPartition = r.hasPlatformPartition || f.Name == faultPlatformPartition
		r.hasPoisonRequest = r.hasPoisonRequest || f.Name == "poison-request"
		r.hasStoreFault = r.hasStoreFault || f.Name == "store-down" || f.Name == "store-slow" || f.Name == "store-replies-lost" || f.Name == faultPlatformPartition
	}
	dep.Settle, dep.CopyTimeout = settleTime, copyTimeout
	if err := r.start(ctx); err != nil {
		return Report{}, err
	}
	w := &workload{runner: r, record: r.record, stop: make(chan struct{})}
	w.start(ctx, spec.Seed)
	stopWatch := r.watchRevisions()
	err = r.inject(ctx)
	sleep(ctx, faultFreeLoadTime)
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

// newDeployment returns an empty deployment and the network that injects failures into its connections.
func newDeployment(inMemory bool) (*local.Deployment, network, error) {
	if inMemory {
		dep, err := local.NewInMemory(nil)
		if err != nil {
			return nil, nil, err
		}
		return dep, dep.MemoryNetwork, nil
	}
	dep, err := local.New(nil)
	if err != nil {
		return nil, nil, err
	}
	return dep, dep.UseRelayNetwork(), nil
}

// start starts the endpoints and the daemons with the sample configuration.
func (r *runner) start(ctx context.Context) error {
	spec := standin.EngineSpec{Slots: 64, ColdSlots: 4, WarmAfter: 8, TokenDelay: 4 * time.Millisecond}
	if err := local.DeploySample(ctx, r.dep, daemons, spec); err != nil {
		return err
	}
	if err := r.limitColdEndpoints(ctx, spec); err != nil {
		return err
	}
	for i, dm := range r.dep.Daemons {
		domain := []string{local.SampleDomainA, local.SampleDomainB}[i%2]
		r.liveDaemons = append(r.liveDaemons, liveDaemon{fmt.Sprintf("entry-%d", i+1), domain, dm})
	}
	r.lastDaemon = daemons
	for _, domain := range []string{local.SampleDomainA, local.SampleDomainB} {
		for _, version := range []string{local.SampleSmall, local.SampleLarge} {
			r.engineNames = append(r.engineNames, version+"-"+domain)
		}
	}
	for _, e := range r.dep.Engines {
		e.CrashOn(poisonPrompt)
	}
	return nil
}

// limitColdEndpoints publishes the engines' limits for cold endpoints. They are so low that the load would crash a cold engine
// if daemons did not respect them.
func (r *runner) limitColdEndpoints(ctx context.Context, spec standin.EngineSpec) error {
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

// inject injects all failures of the run concurrently, in consecutive rounds, after a time of load without failures.
func (r *runner) inject(ctx context.Context) error {
	sleep(ctx, faultFreeLoadTime)
	for range max(1, r.spec.Rounds) {
		errs := make([]error, len(r.spec.Faults))
		var wg sync.WaitGroup
		for i, f := range r.spec.Faults {
			wg.Go(func() {
				if err := f.Inject(ctx, r, r.spec.FaultDuration); err != nil {
					errs[i] = fmt.Errorf("inject failure %s: %w", f.Name, err)
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

// pickDaemon returns the address of a daemon as the load balancer would choose it: a random one that is ready, or any one if
// none is.
func (r *runner) pickDaemon(rng *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := rng.IntN(len(r.liveDaemons))
	for i := range r.liveDaemons {
		if dm := r.liveDaemons[(start+i)%len(r.liveDaemons)].dm; dm.Ready() {
			return dm.Addr()
		}
	}
	return r.liveDaemons[start].dm.Addr()
}

// removeRandomDaemon removes a random daemon from the load balancer and returns it. The daemon keeps running.
func (r *runner) removeRandomDaemon() liveDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.rng.IntN(len(r.liveDaemons))
	l := r.liveDaemons[i]
	r.liveDaemons = append(r.liveDaemons[:i:i], r.liveDaemons[i+1:]...)
	return l
}

// removeDomain removes the daemons of a failure domain from the load balancer and returns them. They keep running.
func (r *runner) removeDomain(domain string) (removed []liveDaemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remaining []liveDaemon
	for _, l := range r.liveDaemons {
		if l.domain == domain {
			removed = append(removed, l)
		} else {
			remaining = append(remaining, l)
		}
	}
	r.liveDaemons = remaining
	return removed
}

// addDaemon starts a daemon, waits until it is ready and adds it to the load balancer.
func (r *runner) addDaemon(ctx context.Context, domain string) error {
	id, dm, err := r.startDaemon(domain)
	if err != nil {
		return err
	}
	if err := local.Wait(ctx, dm.Ready); err != nil {
		return fmt.Errorf("wait until daemon %s is ready: %w", id, err)
	}
	r.mu.Lock()
	r.liveDaemons = append(r.liveDaemons, liveDaemon{id, domain, dm})
	r.mu.Unlock()
	return nil
}

// startDaemon starts a daemon with a new ID in a failure domain. It does not wait until the daemon is ready.
func (r *runner) startDaemon(domain string) (string, *daemon.Daemon, error) {
	r.addMu.Lock()
	defer r.addMu.Unlock()
	r.lastDaemon++
	id := fmt.Sprintf("entry-%d", r.lastDaemon)
	dm, err := r.dep.AddDaemon(r.dep.Settings(id, domain))
	return id, dm, err
}

func (r *runner) randomEngineName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engineNames[r.rng.IntN(len(r.engineNames))]
}

func (r *runner) randomEngine() *standin.Engine { return r.dep.Engines[r.randomEngineName()] }

func (r *runner) randomPlain() *standin.PlainService {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dep.PlainEndpoints["lots-"+[]string{local.SampleDomainA, local.SampleDomainB}[r.rng.IntN(2)]]
}

// publish changes the current configuration as an operator would: it retries while the key-value store is unavailable, and
// after a conflict it applies the change to the newer configuration.
func (r *runner) publish(ctx context.Context, change func(*object.Set)) error {
	for {
		_, err := r.dep.Edit(ctx, change)
		if err == nil || !errors.Is(err, kv.ErrUnavailable) && !errors.Is(err, kv.ErrConflict) {
			return err
		}
		if !sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
}

// watchRevisions polls the daemons until stop is called and records each one whose configuration revision decreases.
func (r *runner) watchRevisions() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	seen := map[string]config.Revision{}
	go func() {
		defer close(ended)
		for {
			r.mu.Lock()
			live := append([]liveDaemon(nil), r.liveDaemons...)
			r.mu.Unlock()
			for _, l := range live {
				rev := l.dm.Revision()
				if last := seen[l.id]; last.Newer(rev) {
					r.record.revisionRegressions = append(r.record.revisionRegressions, fmt.Sprintf("%s went from revision %d back to %d", l.id, last.Number, rev.Number))
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

// drain stops all live daemons in order; each writes its bills before it stops.
func (r *runner) drain(ctx context.Context) error {
	for _, l := range r.liveDaemons {
		if err := l.dm.Drain(ctx); err != nil {
			return fmt.Errorf("drain %s: %w", l.id, err)
		}
	}
	return nil
}

// readBills returns the merged bills from the key-value store by ID.
func (r *runner) readBills(ctx context.Context) (map[string]ledger.Bill, error) {
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
