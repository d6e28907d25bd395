// Package gateway implements the daemon that serves routes: it forwards requests with opaque bodies to services whose
// endpoints and routes are listed in the platform's key-value store. A daemon keeps no state on its host; durable state is
// in the store.
package gateway

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/admit"
	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/entry"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/release"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/scaling"
	"github.com/bramleytrail/bramleytrail/suspect"
)

const (
	// heapMemoryShare is the fraction of Spec.MemoryBytes that is set as the runtime's soft memory limit, above which the
	// garbage collector runs more often.
	heapMemoryShare = intake.HeapShare
	// stallTimeout is the longest time for which a caller may read nothing of its answer.
	stallTimeout = 10 * time.Second
	// queueWait is the longest time for which a request waits for a free slot at an endpoint.
	queueWait = 3 * time.Second
	// shutdownDelay is the time for which a stopping daemon still accepts connections: the load balancer checks readiness
	// once a second and stops sending requests after two failed checks.
	shutdownDelay = 2200 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process. It is at most
	// exitReserveShare of the grace period.
	exitReserve, exitReserveShare = 700 * time.Millisecond, 0.2
	// answerReserve is the time before the end of the drain at which requests without an answer get an error.
	answerReserve = 100 * time.Millisecond
	// retryBudgetShare is the fraction of the operators' retry budget that is used. The rest is a margin, since requests and
	// their retries are counted at different times.
	retryBudgetShare = 0.9
	// memberTTL is the time to live of the lease on this daemon's membership entry. The lease is renewed several times within
	// it, see leaseRenewInterval.
	memberTTL = 6 * time.Second
	// settleTime is the time within which every daemon has seen a change of the membership.
	settleTime = 2 * time.Second
)

// Documents decodes the entries that operators and endpoints write to the store.
type Documents interface {
	// Set decodes the entries of KindOperator. found is false if none of them is a configuration.
	Set(entries map[string]kv.Entry) (set object.Set, version uint64, found bool, err error)
	// Endpoint decodes an entry of KindEndpoint.
	Endpoint(e kv.Entry, now time.Time) (hostlist.Host, error)
	// Kind returns what the entry of a key holds.
	Kind(key string) Kind
	// Status encodes the entry that shows the state of a release to operators.
	Status(r object.Release) (key string, value []byte, err error)
	// OrderKey returns the key of the operators' order to release a version of a service.
	OrderKey(service string) string
}

// Kind says what an entry of the store holds.
type Kind int

// Kinds of entries.
const (
	KindOther    Kind = iota
	KindOperator      // documents of the operators, states of releases
	KindEndpoint
	kindDuty // entries of duties, which change neither the members nor the endpoints
)

// Spec configures a Gateway.
type Spec struct {
	Name        string        // unique among the daemons
	Domain      string        // failure domain of this daemon
	CallerAddr  string        // listen address for callers
	ReadyAddr   string        // listen address for readiness checks
	MetricsAddr string        // listen address for metrics and state; empty for none
	PeerAddr    string        // listen address for messages between daemons; empty for none
	SessionGap  time.Duration // longest time between two requests of one session
	Propagation time.Duration // within which a change in the store must take effect; 0 if not known
	Heartbeat   time.Duration // between two writes of an endpoint's entry
	Grace       time.Duration // grace period from the stop signal until the process must have exited
	MemoryBytes int64
	LinkBytes   int64 // bandwidth of the host's link in bytes a second; 0 if not known
	Descriptors int   // limit on open file descriptors; 0 if not known
	// RetryRatio is the number of retries that each request adds to the retry budget of its service, RetryReserve the largest
	// budget that accumulates over all daemons.
	RetryRatio, RetryReserve float64
	RetryWindow              time.Duration // over which requests and retries are counted
	// Exposure bounds the requests that a regressed version may get until the deadline of its release.
	Exposure release.Limit
	// EvenConfidence is the confidence at which a model's answer is as likely poor as good.
	EvenConfidence float64
	// AnswerValue is the value of a good answer as a multiple of the largest model's tariff, see cascade.Value.
	AnswerValue float64

	Duties *DutySpec // nil for none

	Store     kv.Store
	Router    engine.Router
	IsDown    func(ctx context.Context, addr string) bool // see dispatch.Spec
	Documents Documents
	Protocol  entry.Protocol
	Log       *logrus.Logger
	Metrics   *observe.Metrics
}

// Gateway is a daemon that serves routes.
type Gateway struct {
	spec          Spec
	log           *logrus.Entry
	config        *config.Holder
	pool          *pool.Pool
	dispatch      *dispatch.Filter
	admit         *admit.Filter
	entry         *entry.Server
	poison        *poison.Table
	view          *storeView
	releases      *releases
	crashes       *crashReports
	suspects      *suspect.Keeper
	demands       *demandCounter
	traffic       *peerTraffic
	duties        *duties       // nil for none
	scaler        scaler        // nil for no scaling
	ports         []*entry.Port // for readiness checks, and for metrics unless there is none
	stopping      atomic.Bool
	closing       *pipeline.Closing
	exchange      atomic.Pointer[notice.Exchange] // nil before Start, or without PeerAddr
	startedAt     time.Time                       // when New was called
	ctx           context.Context
	cancel        context.CancelFunc
	announcements *rate.Limiter // limits announcements of prompts
	refusals      *observe.RefusalLog
	wg            sync.WaitGroup
}

// New returns a gateway that is not yet serving; Start opens its ports.
func New(s Spec) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		spec: s, log: s.Log.WithFields(logrus.Fields{"daemon": s.Name, "domain": s.Domain}), config: &config.Holder{}, poison: poison.NewTable(), startedAt: time.Now(), ctx: ctx, cancel: cancel,
	}
	g.refusals = observe.NewRefusalLog(g.log)
	limits := callerLimitsFor(s.MemoryBytes, s.Descriptors)
	g.admit = admit.New(admit.Spec{MaxInFlight: limits.inFlight}) // the entry counts the bodies
	g.closing = pipeline.NewClosing()
	g.announcements = newAnnounceLimiter()
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(s.MemoryBytes)))
	g.pool = pool.New(pool.Spec{Self: s.Name, Domain: s.Domain, Settle: settleTime, RestartDetection: s.Heartbeat + s.Propagation, Rand: mathrand.Uint64, OnCapacity: g.signalCapacity, OnEject: g.recordEjection, OnPrefill: g.announcePrompt})
	g.crashes = newCrashReports(g)
	g.traffic = newPeerTraffic(g)
	g.suspects = g.newSuspects()
	g.demands = &demandCounter{counts: map[serviceDomain]scaling.Demand{}}
	if s.Duties != nil {
		g.duties = newDuties(g, *s.Duties)
		if s.Duties.Scaling {
			g.scaler = newServiceScaler(g)
		}
	}
	g.dispatch = dispatch.New(dispatch.Spec{
		Pool: g.pool, Poison: g.poison, OnCrash: g.crashes.add, OnClear: g.crashes.clear, IsDown: s.IsDown, GrantTrial: g.suspects.Grant, OnRefused: g.countRefusal, OnNotAdmitted: g.countNotAdmitted, Router: s.Router, Rand: mathrand.Uint64, QueueWait: queueWait, Now: time.Now,
		RetryRatio: retryBudgetShare * s.RetryRatio, RetryWindow: s.RetryWindow, RetryReserve: func() float64 { return retryBudgetShare * s.RetryReserve / float64(max(1, g.members())) },
	})
	g.releases = newReleases(g)
	g.config.OnChange(func(v *config.View) { g.pool.SetView(v, time.Now()) })
	g.view = newStoreView(g)
	g.entry = entry.New(entry.Spec{
		Addr: s.CallerAddr, MaxConnections: limits.connections, StallTimeout: stallTimeout, Config: g.config, Ready: g.Ready, Protocol: s.Protocol,
		Pipeline: g.newPipeline(), Intake: limits.intake, OnEnd: g.recordConnectionEnd, OnRefuse: g.refusals.Request,
	})
	return g
}

// newPipeline returns the stages of a request.
func (g *Gateway) newPipeline() *pipeline.Pipeline {
	return &pipeline.Pipeline{
		Config: g.config, Admit: g.admit, Dispatch: g.dispatch, Closing: g.closing, Now: time.Now, Started: time.Now(), OnStart: func(*pipeline.Progress) {}, OnFinish: g.recordOutcome,
		Routes: &pipeline.Routes{Releases: g.releases, Escalator: cascade.NewEscalator(g.spec.EvenConfidence), AnswerValue: g.spec.AnswerValue, EventIntervals: relay.NewEventIntervals(), MayBeBehind: func() bool { return g.view.mayBeBehind() }, OnSend: g.recordSend, OnAttempt: g.recordAttempt, OnBroken: g.recordBroken, OnEscalate: g.recordEscalation, OnKeep: g.recordKept, OnAnswer: g.countAnswer()},
	}
}

// newSuspects returns the keeper of the refused prompt parts. The view of the store reads the entry, like all others.
func (g *Gateway) newSuspects() *suspect.Keeper {
	g.spec.Metrics.Gauge("bramley_crash_records_pushed_out", func() float64 { return float64(g.poison.PushedOut()) })
	g.spec.Metrics.Gauge("bramley_sessions_pushed_out", func() float64 { return float64(g.releases.pushedOut()) })
	g.spec.Metrics.Gauge("bramley_refused_part_sets", func() float64 { return float64(len(g.poison.Parts.Refused())) })
	return suspect.New(suspect.Spec{
		Parts: g.poison.Parts, Store: g.spec.Store, Key: suspectPartsKey, Log: g.log,
		Entry:   func(context.Context) (kv.Entry, error) { return g.view.suspectParts(), nil },
		OnWrite: func(e kv.Entry) { g.view.putOwn(e) },
		Rank:    func() int { return g.view.rank() },
		OnTrial: g.spec.Metrics.Counter(`bramley_suspect_requests_total{kind="part_trial"}`).Inc,
	})
}

func (g *Gateway) signalCapacity(service string, versions []string) {
	if g.dispatch != nil {
		g.dispatch.Signal(service, versions)
	}
}

// members returns the number of daemons, at least 1.
func (g *Gateway) members() int {
	if g.view == nil {
		return 1
	}
	return g.view.members()
}

// Ready reports whether the load balancer may send requests: the daemon has a configuration, has read the store and is not
// stopping.
func (g *Gateway) Ready() bool {
	return g.config.View() != nil && g.view.loaded() && !g.stopping.Load()
}

// Start opens the ports and starts serving. It returns the error of the first port that can't be opened.
func (g *Gateway) Start() error {
	if err := g.serveReady(); err != nil {
		return err
	}
	if err := g.entry.Start(); err != nil {
		return err
	}
	if g.spec.PeerAddr != "" {
		x, err := notice.Open(g.spec.PeerAddr, g.exchangeSpec())
		if err != nil {
			return err
		}
		g.exchange.Store(x)
	}
	g.wg.Go(g.view.run)
	g.wg.Go(g.maintainMembership)
	g.wg.Go(g.releases.run)
	g.wg.Go(g.shareEstimates)
	g.wg.Go(g.crashes.run)
	g.wg.Go(g.traffic.run)
	g.wg.Go(func() { g.suspects.Run(g.ctx) })
	if g.duties != nil {
		g.duties.start()
	}
	g.log.WithFields(logrus.Fields{"listen": g.spec.CallerAddr, "ready": g.spec.ReadyAddr, "metrics": g.spec.MetricsAddr}).Info("daemon started")
	return nil
}

// receive dispatches a message of another daemon, and relays it within the failure domain if the sender asked for that.
func (g *Gateway) receive(m notice.Message) {
	if m.Relay {
		g.relayMessage(m)
	}
	switch {
	case m.Minimum != nil:
		g.view.minimum.receive(*m.Minimum)
	case m.Duty != nil:
		if g.duties != nil {
			g.duties.receive(*m.Duty)
		}
	case !m.Revision.IsZero():
		g.view.receive(m)
	case len(m.Crashes) > 0:
		g.crashes.receive(m.Crashes)
	case len(m.Estimates) > 0:
		g.receiveEstimates(m)
	case m.Endpoint != "":
		g.pool.RecordPeerPrefill(m.Endpoint, m.Work, time.Now())
	default:
		g.releases.receive(m)
	}
}

func (g *Gateway) serveReady() error {
	err := g.openPort(g.spec.ReadyAddr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	if err != nil || g.spec.MetricsAddr == "" {
		return err
	}
	return g.openPort(g.spec.MetricsAddr, g.operatorHandler())
}

func (g *Gateway) openPort(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	g.ports = append(g.ports, entry.OpenPort(ln, h, callerLimitsFor(g.spec.MemoryBytes, g.spec.Descriptors).port))
	return nil
}

// Addrs returns the listen addresses for callers and for readiness checks. They are known after Start.
func (g *Gateway) Addrs() (callers, ready string) { return g.entry.Addr(), g.ports[0].Addr() }

// Run serves until ctx is done, then stops within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return g.Stop()
}

// Stop fails the readiness check, accepts connections until the load balancer has had time to notice, then drains the requests
// in flight. Shortly before the end of the grace period, those whose answer has not begun get an error, and the others are cut. A request that
// must not run twice is refused if it would perhaps not be answered by then.
func (g *Gateway) Stop() error {
	start := time.Now()
	reserve := min(exitReserve, time.Duration(exitReserveShare*float64(g.spec.Grace)))
	end := start.Add(g.spec.Grace - reserve)
	g.closing.Begin(end.Add(-min(answerReserve, reserve/2)), g.logCut)
	g.stopping.Store(true)
	g.entry.DisableKeepAlives()
	g.log.Info("daemon is leaving")
	if g.duties != nil {
		g.duties.leave()
	}
	time.Sleep(min(shutdownDelay, g.spec.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := g.entry.Drain(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.WithField("requests", g.admit.InFlight()).Warn("connections closed at the end of the grace period")
		err = g.entry.Shutdown(ctx)
	}
	if g.duties != nil {
		g.duties.reportLast(end)
	}
	g.cancel()
	g.view.deregister()
	if x := g.exchange.Load(); x != nil {
		x.Close()
	}
	for _, p := range g.ports {
		p.Close()
	}
	g.log.WithField("seconds", time.Since(start).Seconds()).Info("daemon stopped")
	return err
}

// logCut logs the requests that a planned stop ends.
func (g *Gateway) logCut() {
	if n := g.admit.InFlight(); n > 0 {
		g.log.WithField("requests", n).Warn("streams cut at the end of the grace period")
	}
}

func (g *Gateway) recordOutcome(o pipeline.Outcome) {
	g.spec.Metrics.RecordRequest(o)
	f := logrus.Fields{"request": o.RequestID, "team": o.Team, "service": o.Version, "ms": o.Total.Milliseconds()}
	if v := g.config.View(); v != nil {
		f["config"] = v.Revision.Number
	}
	if r := o.Route; r != nil {
		f["route"], f["target_ms"] = r.Name, r.TargetLatency.Milliseconds()
		if r.TargetGap > 0 {
			f["max_gap_ms"] = r.TargetGap.Milliseconds()
		}
	}
	if st := o.Stream; st != nil {
		f["model"], f["endpoint"], f["prompt"], f["limit"], f["events"] = st.Model, st.Endpoint, st.Prompt, st.MaxTokens, st.Events
		f["release"], f["session"] = st.Release, strconv.FormatUint(st.Session, 16)
		f["gap_ms"], f["resumed"], f["first_ms"] = st.MaxGap.Milliseconds(), st.Resumes, o.FirstByte.Milliseconds()
	}
	addNotRepeated(f, o)
	if o.Err == nil {
		g.log.WithFields(f).Info("request answered")
		return
	}
	e := result.From(o.Err)
	f["code"], f["ran"] = int(e.Code), e.Ran.String()
	g.log.WithFields(f).WithError(o.Err).Info("request failed")
}

func (g *Gateway) recordSend(a dispatch.RoutedAttempt) {
	g.releases.begin(a)
	g.countSend(a)
}

func (g *Gateway) recordAttempt(a dispatch.RoutedAttempt) {
	g.releases.end(a)
	g.countLate(a)
	f := logrus.Fields{"request": a.Request, "service": a.Service, "endpoint": a.Endpoint, "addr": a.Addr, "release": a.Release, "choice": a.Choice, "status": a.Status, "ms": a.Latency.Milliseconds(), "wait_ms": a.Wait.Milliseconds(), "expected_ms": a.Expected.Milliseconds(), "endpoints_age_ms": g.view.age().Milliseconds()}
	if a.Model != "" {
		f["model"], f["prompt"], f["uncached"] = a.Model, a.Prompt, a.Uncached
	}
	if a.Model == pool.OtherModel {
		g.spec.Metrics.Counter("bramley_attempts_other_model_total").Inc()
	}
	if a.LastEventID > 0 {
		f["after"] = a.LastEventID
	}
	if a.Confidence != nil {
		f["confidence"] = *a.Confidence
	}
	e := g.log.WithFields(f)
	if a.Err != nil {
		e = e.WithError(a.Err).WithField("fingerprint", strconv.FormatUint(a.Fingerprint, 16))
	}
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_attempts_total{service=%q,outcome=%q}`, a.Service, attemptOutcome(a))).Inc()
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_endpoint_choices_total{service=%q,choice=%q}`, a.Service, a.Choice)).Inc()
	g.spec.Metrics.Histogram(fmt.Sprintf(`bramley_attempt_seconds{service=%q}`, a.Service)).Update(a.Latency.Seconds())
	e.Info("attempt")
}

// attemptOutcome returns the value of the metrics label "outcome" for an attempt.
func attemptOutcome(a dispatch.RoutedAttempt) string {
	switch {
	case errors.Is(a.Err, engine.ErrUnreachable):
		return "unreachable"
	case errors.Is(a.Err, engine.ErrBusy):
		return "busy"
	case errors.Is(a.Err, engine.ErrMisdirected):
		return "misdirected"
	case errors.Is(a.Err, engine.ErrStalled):
		return "silent"
	case a.Err != nil:
		return "broken"
	case a.Status >= http.StatusInternalServerError:
		return "failed"
	default:
		return "answered"
	}
}

// recordBroken logs an attempt whose connection broke, with what tells the possible causes of a crash apart.
func (g *Gateway) recordBroken(b dispatch.BrokenAttempt) {
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_broken_attempts_total{endpoint_down="%t"}`, b.Down)).Inc()
	g.log.WithFields(logrus.Fields{"request": b.Request, "endpoint": b.Endpoint, "parts": suspect.FormatParts(b.Parts), "endpoint_down": b.Down}).WithError(b.Err).Info("attempt broken off")
}

func (g *Gateway) recordEjection(id string, failures int, wait time.Duration) {
	g.spec.Metrics.Counter("bramley_ejections_total").Inc()
	g.log.WithFields(logrus.Fields{"endpoint": id, "failures": failures, "for_ms": wait.Milliseconds()}).Info("endpoint ejected")
}

func (g *Gateway) recordEscalation(e pipeline.EscalationOutcome) {
	g.spec.Metrics.Counter("bramley_climbs_total").Inc()
	g.log.WithFields(logrus.Fields{"request": e.Request, "from": e.From, "to": e.To, "confidence": e.Confidence, "value": e.Value, "price": e.Price}).
		Info("doubtful answer dropped")
}

func (g *Gateway) recordKept(k pipeline.KeptAnswer) {
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_doubtful_answers_kept_total{reason=%q}`, k.Reason)).Inc()
	g.log.WithFields(logrus.Fields{"request": k.Request, "model": k.Model, "confidence": k.Confidence, "reason": k.Reason}).
		Info("doubtful answer kept")
}

var _ pipeline.Releases = (*releases)(nil)
