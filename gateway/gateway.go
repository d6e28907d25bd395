// Package gateway is the daemon that serves routes: requests whose bodies are opaque, to services whose endpoints and
// routes the platform's key-value store lists. It keeps nothing on its host; what must last is in the store.
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
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// maxInFlight bounds the requests in flight; each needs two descriptors.
	maxInFlight = 1500
	// bodyShare is the part of the memory that bodies of requests in flight may hold, heapShare the part at which the
	// garbage collector works harder.
	bodyShare, heapShare = 0.25, 0.6
	// stallTimeout bounds the time for which a caller may read nothing.
	stallTimeout = 10 * time.Second
	// queueWait bounds the wait for room at an endpoint.
	queueWait = 3 * time.Second
	// leaveNotice is the time for which a stopping daemon still takes connections: the balancer asks once a second and
	// stops after two refusals.
	leaveNotice = 2200 * time.Millisecond
	// stopReserve is kept of the grace period for the end of the process, at most stopReserveShare of it.
	stopReserve, stopReserveShare = 700 * time.Millisecond, 0.2
	// budgetShare is the part of the operators' retry budget that is used, since requests and retries are counted at
	// different times.
	budgetShare = 0.9
	// memberTTL is the lease of this daemon's entry; it is renewed several times within it.
	memberTTL = 6 * time.Second
	// settle is the time within which every daemon has seen a change of the members.
	settle = 2 * time.Second
)

// Documents decodes what operators and endpoints keep in the store.
type Documents interface {
	// Set decodes the operators' entries. It returns false if there is no configuration among them.
	Set(entries map[string]kv.Entry) (set object.Set, version uint64, found bool, err error)
	// Endpoint decodes an endpoint's entry.
	Endpoint(e kv.Entry, now time.Time) (hostlist.Host, error)
	// Kind returns what a key holds.
	Kind(key string) Kind
	// Status returns the entry that tells operators the state of a release.
	Status(r object.Release) (key string, value []byte, err error)
}

// Kind is what a key of the store holds.
type Kind int

// Kinds of keys.
const (
	KindOther    Kind = iota
	KindOperator      // documents of the operators and the states of releases
	KindEndpoint
)

// Spec configures a Gateway.
type Spec struct {
	Name        string
	Domain      string
	CallerAddr  string
	ReadyAddr   string
	MetricsAddr string
	PeerAddr    string        // for messages between daemons; empty for none
	SessionGap  time.Duration // between requests that belong to one session
	Propagation time.Duration // within which a change has to be in force
	Heartbeat   time.Duration // between two writes of an endpoint's entry
	Grace       time.Duration // from the signal to stop until the process has to end
	MemoryBytes int64
	LinkBytes   int64 // a second that the host's link carries, 0 if it is not known
	// RetryRatio and RetryReserve bound the further attempts of all daemons at a service.
	RetryRatio, RetryReserve float64
	RetryWindow              time.Duration // over which they are counted
	// ExposureShare bounds the requests that a version on trial gets.
	ExposureShare float64
	// Confidence is the confidence below which a small model's answer is dropped for the largest one's.
	Confidence float64

	Store     kv.Store
	Router    engine.Router
	Documents Documents
	Protocol  entry.Protocol
	Log       *logrus.Logger
	Metrics   *observe.Metrics
}

// Gateway is one process.
type Gateway struct {
	spec      Spec
	log       *logrus.Entry
	config    *config.Holder
	pool      *pool.Pool
	dispatch  *dispatch.Filter
	admit     *admit.Filter
	entry     *entry.Server
	poison    *poison.Table
	view      *storeView
	releases  *releases
	ready     *http.Server
	metrics   *http.Server
	readyAddr string
	leaving   atomic.Bool
	notices   atomic.Pointer[notice.Exchange] // nil until Start, or without an address
	born      time.Time                       // when the process began
	ctx       context.Context
	cancel    context.CancelFunc
	announced *rate.Limiter // announcements of prompts
	wg        sync.WaitGroup
}

// New returns a gateway. It opens no port.
func New(s Spec) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		spec: s, log: s.Log.WithFields(logrus.Fields{"daemon": s.Name, "domain": s.Domain}), config: &config.Holder{}, poison: poison.NewTable(), born: time.Now(), ctx: ctx, cancel: cancel,
		admit: admit.New(admit.Spec{MaxInFlight: maxInFlight, MaxBytes: int64(bodyShare * float64(s.MemoryBytes))}),
	}
	g.announced = newAnnounceLimiter()
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryBytes)))
	g.pool = pool.New(pool.Spec{Self: s.Name, Domain: s.Domain, Settle: settle, RestartKnown: s.Heartbeat + s.Propagation, Rand: mathrand.Uint64, OnRoom: g.signalRoom, OnEject: g.ejected, OnWork: g.announce})
	g.dispatch = dispatch.New(dispatch.Spec{
		Pool: g.pool, Poison: g.poison, Router: s.Router, Rand: mathrand.Uint64, QueueWait: queueWait, Now: time.Now,
		RetryRatio: budgetShare * s.RetryRatio, RetryWindow: s.RetryWindow, RetryReserve: func() float64 { return budgetShare * s.RetryReserve / float64(max(1, g.members())) },
	})
	g.releases = newReleases(g)
	g.config.OnChange(func(v *config.View) { g.pool.SetView(v, time.Now()) })
	g.view = newStoreView(g)
	g.entry = entry.New(entry.Spec{
		Addr: s.CallerAddr, MaxConnections: 2 * maxInFlight, StallTimeout: stallTimeout, Config: g.config, Ready: g.Ready, Protocol: s.Protocol,
		Pipeline: &pipeline.Pipeline{
			Config: g.config, Admit: g.admit, Dispatch: g.dispatch, Now: time.Now, Begin: func(*pipeline.Progress) {}, Observe: g.observe,
			Routes: &pipeline.Routes{Releases: g.releases, Ladder: cascade.NewLadder(s.Confidence), Paces: relay.NewPaces(), Attempt: g.attempt, Climbed: g.climbed},
		},
	})
	return g
}

func (g *Gateway) signalRoom(service string, versions []string) {
	if g.dispatch != nil {
		g.dispatch.Signal(service, versions)
	}
}

// members returns the number of daemons.
func (g *Gateway) members() int {
	if g.view == nil {
		return 1
	}
	return g.view.members()
}

// Ready reports whether the balancer may send requests.
func (g *Gateway) Ready() bool {
	return g.config.View() != nil && g.view.listed() && !g.leaving.Load()
}

// Start opens the ports and begins to serve.
func (g *Gateway) Start() error {
	if err := g.serveReady(); err != nil {
		return err
	}
	if err := g.entry.Start(); err != nil {
		return err
	}
	if g.spec.PeerAddr != "" {
		x, err := notice.Listen(g.spec.PeerAddr, g.hear)
		if err != nil {
			return err
		}
		g.notices.Store(x)
	}
	g.wg.Go(g.view.run)
	g.wg.Go(g.join)
	g.wg.Go(g.releases.run)
	g.wg.Go(g.shareEstimates)
	g.log.WithFields(logrus.Fields{"listen": g.spec.CallerAddr, "ready": g.spec.ReadyAddr, "metrics": g.spec.MetricsAddr}).Info("daemon started")
	return nil
}

// hear takes a message of another daemon.
func (g *Gateway) hear(m notice.Message) {
	if m.Relay {
		g.passOn(m)
	}
	switch {
	case m.Revision > 0:
		g.view.hear(m)
	case len(m.Estimates) > 0:
		g.pool.Learn(m.From, m.Estimates, time.Now())
	case m.Endpoint != "":
		g.pool.Announced(m.Endpoint, m.Work, time.Now())
	default:
		g.releases.hear(m)
	}
}

const (
	// announcedShare is the part of the host's link that announcements of prompts may take. They stay within the failure
	// domain. leastAnnounced applies to slow links, in bytes a second.
	announcedShare, leastAnnounced = 0.02, 4000
	// announceSize is the size of an announcement in bytes, with the headers of a datagram.
	announceSize = 120
)

// announceLimit returns the announcements a second that a daemon makes to a number of others, and how many of them at once: at
// least one, so that the number of daemons changes how often it announces but never whether.
func announceLimit(linkBytes int64, others int) (perSecond rate.Limit, burst int) {
	perSecond = rate.Limit(max(leastAnnounced, announcedShare*float64(linkBytes)) / announceSize / float64(max(1, others)))
	return perSecond, max(1, int(perSecond))
}

// newAnnounceLimiter returns a limiter that mayAnnounce sets for the number of daemons.
func newAnnounceLimiter() *rate.Limiter { return rate.NewLimiter(0, 1) }

// announce tells the daemons of this one's failure domain that an endpoint there gets a long prompt. Most of their requests go
// there. What exceeds the limit is left out.
func (g *Gateway) announce(r pool.Reservation, work time.Duration) {
	x := g.notices.Load()
	if x == nil || r.Domain != g.spec.Domain || !g.mayAnnounce(g.view.near(), time.Now()) {
		return
	}
	if err := x.SendIn(r.Domain, notice.Message{Service: r.Service(), Endpoint: r.ID, Work: work}); err != nil {
		g.log.WithField("endpoint", r.ID).WithError(err).Debug("prompt not announced to the other daemons")
	}
}

// mayAnnounce takes one announcement to a number of daemons from the limit.
func (g *Gateway) mayAnnounce(others int, now time.Time) bool {
	perSecond, burst := announceLimit(g.spec.LinkBytes, others)
	if perSecond != g.announced.Limit() {
		g.announced.SetLimitAt(now, perSecond)
		g.announced.SetBurstAt(now, burst)
	}
	return g.announced.AllowN(now, 1)
}

func (g *Gateway) serveReady() error {
	g.ready = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	var err error
	if g.readyAddr, err = serve(g.ready, g.spec.ReadyAddr); err != nil || g.spec.MetricsAddr == "" {
		return err
	}
	g.metrics = &http.Server{Handler: g.operatorHandler()}
	_, err = serve(g.metrics, g.spec.MetricsAddr)
	return err
}

// serve opens a port and returns its address.
func serve(s *http.Server, addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", addr, err)
	}
	go func() { _ = s.Serve(ln) }() // returns http.ErrServerClosed after Close
	return ln.Addr().String(), nil
}

// Addrs returns the addresses for callers and for the balancer's questions, as opened by Start.
func (g *Gateway) Addrs() (callers, ready string) { return g.entry.Addr(), g.readyAddr }

// Run serves until ctx ends, then stops within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return g.Stop()
}

// Stop takes no new requests after the balancer has had time to notice, and waits for those in flight.
func (g *Gateway) Stop() error {
	start := time.Now()
	g.leaving.Store(true)
	g.entry.Leave()
	g.log.Info("daemon is leaving")
	time.Sleep(min(leaveNotice, g.spec.Grace/2))
	reserve := min(stopReserve, time.Duration(stopReserveShare*float64(g.spec.Grace)))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(g.spec.Grace-reserve))
	defer cancel()
	err := g.entry.Finish(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.WithField("requests", g.admit.InFlight()).Warn("streams cut at the end of the grace period")
		err = g.entry.Shutdown(ctx)
	}
	g.cancel()
	g.view.leave()
	if x := g.notices.Load(); x != nil {
		x.Close()
	}
	g.log.WithField("seconds", time.Since(start).Seconds()).Info("daemon stopped")
	return err
}

func (g *Gateway) observe(o pipeline.Outcome) {
	g.spec.Metrics.Request(o)
	f := logrus.Fields{"request": o.RequestID, "team": o.Team, "service": o.Version, "ms": o.Total.Milliseconds()}
	if v := g.config.View(); v != nil {
		f["config"] = v.Revision.Number
	}
	if st := o.Stream; st != nil {
		f["model"], f["endpoint"], f["prompt"], f["limit"], f["events"] = st.Model, st.Endpoint, st.Prompt, st.Limit, st.Events
		f["release"], f["session"] = st.Release, strconv.FormatUint(st.Session, 16)
		f["gap_ms"], f["resumed"], f["first_ms"] = st.LongGap.Milliseconds(), st.Resumed, o.FirstByte.Milliseconds()
	}
	if o.Err == nil {
		g.log.WithFields(f).Info("request answered")
		return
	}
	e := result.From(o.Err)
	f["code"], f["ran"] = int(e.Code), e.Ran.String()
	g.log.WithFields(f).WithError(o.Err).Info("request failed")
}

func (g *Gateway) attempt(a dispatch.RoutedAttempt) {
	f := logrus.Fields{"request": a.Request, "endpoint": a.Endpoint, "addr": a.Addr, "release": a.Release, "status": a.Status, "ms": a.Latency.Milliseconds(), "endpoints_age_ms": g.view.age().Milliseconds()}
	if a.Model != "" {
		f["model"] = a.Model
	}
	if a.After > 0 {
		f["after"] = a.After
	}
	if a.Confidence != nil {
		f["confidence"] = *a.Confidence
	}
	e := g.log.WithFields(f)
	if a.Err != nil {
		e = e.WithError(a.Err)
	}
	g.spec.Metrics.Counter(fmt.Sprintf(`bramley_attempts_total{service=%q,outcome=%q}`, a.Service, attemptOutcome(a))).Inc()
	g.spec.Metrics.Histogram(fmt.Sprintf(`bramley_attempt_seconds{service=%q}`, a.Service)).Update(a.Latency.Seconds())
	e.Info("attempt")
}

// attemptOutcome is the label of an attempt's outcome in the metrics.
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

func (g *Gateway) ejected(id string, failures int, wait time.Duration) {
	g.spec.Metrics.Counter("bramley_ejections_total").Inc()
	g.log.WithFields(logrus.Fields{"endpoint": id, "failures": failures, "for_ms": wait.Milliseconds()}).Info("endpoint ejected")
}

func (g *Gateway) climbed(request, from, to string, confidence float64) {
	g.spec.Metrics.Counter("bramley_climbs_total").Inc()
	g.log.WithFields(logrus.Fields{"request": request, "from": from, "to": to, "confidence": confidence, "threshold": g.spec.Confidence}).Info("doubtful answer dropped")
}

var _ pipeline.Releases = (*releases)(nil)
