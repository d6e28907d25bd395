package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/scaling"
	"github.com/bramleytrail/bramleytrail/usage"
)

// Cloud makes the calls of the platform for which one daemon at a time is responsible. The errors are those of package duty. A call is
// made at most once and takes no longer than Limits.Call.
type Cloud interface {
	// ReportUsage reports the requests of each team in a window. The platform ignores an exact repetition.
	ReportUsage(ctx context.Context, call duty.Call, window int64, counts map[string]int) error
	// Scale orders a number of endpoints of a service in a failure domain.
	Scale(ctx context.Context, call duty.Call, service, domain string, count int) error
}

// DutySpec configures the duties of a deployment.
type DutySpec struct {
	Cloud          Cloud
	Usage, Scaling bool // duties that the deployment has
	Limits         duty.Limits
	Window, Late   time.Duration // see usage.Spec
	RetryDelay     time.Duration // after a failed call
	// TimeOfDay returns the time of day, which is read at the start of the daemon; nil for time.Now.
	TimeOfDay func() time.Time
}

// scaler decides how many endpoints are needed. Its methods are called once a second; demand on each daemon, step on the holder of the
// duty, with the newest report of each daemon.
type scaler interface {
	demand(now time.Time) []scaling.Demand
	step(now time.Time, reports []scaling.Report, order func(service, domain string, count int) error)
}

const (
	// dutyReportInterval is the time between two reports to the holder. What a daemon counted since its last report is lost if it is killed.
	dutyReportInterval = time.Second
	// reportDelay and reportSpread determine when the daemons report after the end of a window: spread, so that the holder's link is not
	// loaded by all of them at once.
	reportDelay, reportSpread = 30 * time.Millisecond, 400 * time.Millisecond
	// finalReports is the smallest number of reports to one holder with the final counts of a window; at a loss of 1 in 10 datagrams, 1 of
	// 1,000 windows lacks the last of them. They are repeated for as long as the holder keeps the window open.
	finalReports = 3
	// lastReportWait is the longest time for which a stopping daemon waits for a holder, to which it reports: that of a takeover. Each of its
	// lastReports is a datagram that may be lost.
	lastReportWait, lastReports = 2 * time.Second, 2
	// maxReportBytes bounds the counts in one datagram.
	maxReportBytes = notice.MaxMessageBytes * 3 / 4
	// maxDemands bounds the demands in one datagram.
	maxDemands = 100
	// usageWait is the time after the end of a window, or after a takeover, for which the holder waits at least for daemons that have not
	// reported: two reports may be lost.
	usageWait = 2 * time.Second
	// takeoverTime is the time from the end of a lease to the wait of the next holder: two looks at the view, the delay of the second rank,
	// and the calls of the store.
	takeoverTime = 600 * time.Millisecond
	// maxReporters bounds the daemons whose demand the holder keeps.
	maxReporters = 2000
)

// duties counts requests, reports the counts to the holder of the deployment's duties, and is the holder when its turn comes.
type duties struct {
	g           *Gateway
	spec        DutySpec
	usage       usage.Spec
	incarnation int64 // start of the daemon in Unix nanoseconds

	calling    sync.RWMutex // held for reading during calls of the platform
	leasing    sync.Mutex   // held while the lease is acquired, renewed or released
	lastWindow atomic.Int64 // that the platform has accepted from this daemon

	mu       sync.Mutex
	job      *duty.Duty
	clock    *usage.Clock
	started  time.Time     // by clock
	offsets  usage.Offsets // of the daemons that report to this holder
	counter  *usage.Counter
	ledger   *usage.Ledger
	recorded uint64 // token of the term that the stored record names as the last one
	sameHost bool   // the record named this host before
	leaving  bool
	demands  map[string]scaling.Report
	finals   map[int64]int // number of reports with final counts to the holder, by window
	holder   holderEntry   // to which they were sent

	// Used by act only:
	state         *duty.State
	stateToken    uint64
	unsaved       bool
	reopen        bool // the state must be opened again before it can be saved
	clocksChecked time.Time
}

// holderEntry is the holder of the duties as the store shows it.
type holderEntry struct {
	name     string
	revision kv.Revision
}

func newDuties(g *Gateway, s DutySpec) *duties {
	if s.TimeOfDay == nil {
		s.TimeOfDay = time.Now
	}
	d := &duties{g: g, spec: s, clock: usage.NewClock(s.TimeOfDay(), duty.BootTime()), demands: map[string]scaling.Report{}, finals: map[int64]int{}}
	d.started = d.now()
	d.incarnation = d.started.UnixNano()
	if s.Usage {
		d.counter = usage.NewCounter(s.Window, int(s.Late/s.Window)+3)
		d.usage = usage.Spec{
			Window: s.Window, Late: s.Late, Wait: min(usageWait, s.Late/4), Reserve: min(2*s.Limits.Call, s.Late/4),
			Handover: 2*s.Limits.Lease + s.Limits.Call + takeoverTime, // the lease may have been renewed just before, and the successor waits a whole one
		}
		d.ledger = usage.NewLedger(d.usage, d.started)
		g.spec.Metrics.Gauge("bramley_usage_awaited", func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.heldToken() == 0 {
				return 0
			}
			return float64(d.ledger.Awaited())
		})
	}
	d.job = duty.New(duty.Spec{Store: g.spec.Store, Name: "duties", Key: dutiesKey, Owner: g.spec.Name, TTL: s.Limits.Lease, Now: duty.BootTime})
	g.spec.Metrics.Gauge("bramley_duty_held", func() float64 {
		if d.heldToken() != 0 {
			return 1
		}
		return 0
	})
	g.spec.Metrics.Gauge("bramley_usage_last_window", func() float64 { return float64(d.lastWindow.Load()) })
	return d
}

// start runs the duties until the daemon stops.
func (d *duties) start() {
	d.g.wg.Go(d.runLease)
	d.g.wg.Go(d.runReports)
	d.g.wg.Go(d.runHolder)
	if d.spec.Scaling {
		d.g.wg.Go(d.runScaling)
	}
}

// now returns the estimate of true time.
func (d *duties) now() time.Time { return d.clock.At(duty.BootTime()) }

// countAnswer returns the function that counts a request whose answer began, nil if usage is not reported.
func (g *Gateway) countAnswer() func(team string) {
	if g.duties == nil || g.duties.counter == nil {
		return nil
	}
	uncounted := g.spec.Metrics.Counter("bramley_usage_uncounted_total")
	return func(team string) {
		if team == "" {
			return
		}
		d := g.duties
		d.mu.Lock()
		counted, first := d.counter.Add(team, d.now())
		d.mu.Unlock()
		if !counted {
			uncounted.Inc()
		}
		if first { // one line for each window
			g.log.WithField("team", team).WithField("limit", usage.MaxTeams).Warn("request not counted for usage: too many teams")
		}
	}
}

// runReports reports to the holder once a second, after the end of each window and when there is a new holder, until the daemon stops.
func (d *duties) runReports() {
	offset := reportDelay + time.Duration(float64(reportSpread)*d.g.nameShare())
	var known holderEntry
	for {
		d.mu.Lock()
		now := d.now()
		d.mu.Unlock()
		wait := dutyReportInterval
		if d.counter != nil {
			next := usage.WindowEnd(usage.WindowOf(now.Add(-offset), d.spec.Window), d.spec.Window).Add(offset)
			wait = min(wait, next.Sub(now)+time.Millisecond)
		}
		// A new holder knows no counts, and may have to close windows before the next regular report.
		for end := time.Now().Add(wait); time.Now().Before(end); {
			if pause.For(d.g.ctx, min(time.Until(end), candidateInterval)) != nil {
				return
			}
			if holder, ok := d.currentHolder(); ok && holder != known {
				known = holder
				if soon := time.Now().Add(offset); soon.Before(end) {
					end = soon
				}
			}
		}
		d.report()
	}
}

// report sends the counts that the holder may still need, and the demand.
func (d *duties) report() {
	holder, ok := d.currentHolder()
	if !ok {
		return
	}
	d.mu.Lock()
	now := d.now()
	base := notice.Duty{From: d.g.spec.Name, Incarnation: d.incarnation, At: now.UnixNano(), Adjusted: d.clock.Adjusted()}
	var windows []usage.Window
	if d.counter != nil {
		windows = d.pending(holder, now)
	}
	d.mu.Unlock()
	var list []notice.Message
	for _, group := range usage.Split(windows, maxReportBytes) {
		m := base
		m.Usage = group
		list = append(list, notice.Message{Duty: &m})
	}
	if s := d.g.scaler; s != nil {
		m := base
		m.Demands, m.HasDemands = s.demand(time.Now()), true
		if n := len(m.Demands) - maxDemands; n > 0 {
			m.Demands = m.Demands[:maxDemands]
			d.g.spec.Metrics.Counter("bramley_demands_dropped_total").Add(n)
		}
		list = append(list, notice.Message{Duty: &m})
	}
	if holder.name == d.g.spec.Name {
		for _, m := range list {
			d.receive(*m.Duty)
		}
		return
	}
	if x := d.g.exchange.Load(); x != nil {
		if err := x.SendToPeer(holder.name, list...); err != nil {
			d.g.log.WithField("holder", holder.name).WithError(err).Debug("sending report to the holder of the duties failed")
		}
	}
}

// reportLast reports before the daemon ends, when its requests are finished. If it was the holder, no other daemon has its counts.
func (d *duties) reportLast(end time.Time) {
	if limit := time.Now().Add(lastReportWait); d.counter != nil && limit.Before(end) {
		end = limit
	}
	for sent := 0; ; {
		if holder, ok := d.currentHolder(); ok && holder.name != d.g.spec.Name || d.counter == nil {
			d.report()
			sent++
		}
		if alone := len(d.g.view.memberNames()) < 2; sent == lastReports || alone || time.Now().After(end) || pause.For(d.g.ctx, candidateInterval) != nil {
			return
		}
	}
}

// pending returns the counts of the windows that the holder may not have closed, unless their final counts were sent to it often enough.
// The caller holds mu.
func (d *duties) pending(holder holderEntry, now time.Time) []usage.Window {
	if holder != d.holder {
		d.holder = holder
		clear(d.finals)
	}
	var out []usage.Window
	for _, w := range d.counter.Snapshot(d.oldest(now), now) {
		if end := usage.WindowEnd(w.Number, d.spec.Window); !end.After(now) {
			if d.finals[w.Number]++; d.finals[w.Number] > finalReports && now.After(end.Add(d.usage.Open())) {
				continue
			}
		}
		out = append(out, w)
	}
	for k := range d.finals {
		if k < usage.WindowOf(d.oldest(now), d.spec.Window) {
			delete(d.finals, k)
		}
	}
	return out
}

// oldest returns a time in the oldest window that may still be reported and in which this daemon ran. The caller holds mu.
func (d *duties) oldest(now time.Time) time.Time {
	if t := now.Add(-d.spec.Late); t.After(d.started) {
		return t
	}
	return d.started
}

// receiveOwn applies the counts of this daemon, the holder, so that no window is closed without them. The caller holds mu.
func (d *duties) receiveOwn(now time.Time) {
	d.ledger.Receive(usage.Report{Daemon: d.g.spec.Name, Incarnation: d.incarnation, At: now, Adjusted: d.clock.Adjusted(), Windows: d.counter.Snapshot(d.oldest(now), now)})
}

// receive applies a report of a daemon, if this daemon is the holder, or a correction by the holder.
func (d *duties) receive(r notice.Duty) {
	if r.Correction != 0 {
		d.receiveCorrection(r)
		return
	}
	if d.heldToken() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger != nil && len(r.Usage) > 0 {
		d.receiveUsage(r)
	}
	if r.HasDemands && (len(d.demands) < maxReporters || d.demands[r.From].Daemon != "") {
		d.demands[r.From] = scaling.Report{Daemon: r.From, Domain: d.g.view.domainOf(r.From), At: time.Now(), Demands: r.Demands}
	}
}

// receiveUsage applies counts of a daemon and the time that its clock shows. The caller holds mu.
func (d *duties) receiveUsage(r notice.Duty) {
	at := time.Unix(0, r.At)
	offset := at.Add(r.Waited).Sub(d.now())
	d.offsets.Receive(r.From, r.Incarnation, r.Adjusted, offset)
	if offset.Abs() > d.spec.Late { // no window of it is open here
		d.g.spec.Metrics.Counter("bramley_usage_reports_ignored_total").Inc()
		return
	}
	d.ledger.Receive(usage.Report{Daemon: r.From, Incarnation: r.Incarnation, At: at, Adjusted: r.Adjusted, Windows: r.Usage})
}

// correctClocks sends a correction to each daemon whose estimate of true time differs too much from the median of the others. One that is
// lost is sent again after the daemon's next report.
func (d *duties) correctClocks() {
	members := d.g.view.memberNames()
	d.mu.Lock()
	list := d.offsets.Corrections(members)
	d.mu.Unlock()
	for _, c := range list {
		m := notice.Duty{From: d.g.spec.Name, Incarnation: c.Incarnation, Adjusted: c.Adjusted, Correction: c.By}
		if c.Daemon == d.g.spec.Name {
			d.receiveCorrection(m)
		} else if x := d.g.exchange.Load(); x != nil {
			if err := x.SendToPeer(c.Daemon, notice.Message{Duty: &m}); err != nil {
				d.g.log.WithField("daemon", c.Daemon).WithError(err).Debug("sending correction of a clock failed")
			}
		}
	}
}

// receiveCorrection corrects the estimate of true time, unless the correction is not by the holder or was applied before.
func (d *duties) receiveCorrection(r notice.Duty) {
	holder, ok := d.currentHolder()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !ok || holder.name != r.From || r.Incarnation != d.incarnation || r.Adjusted != d.clock.Adjusted() || d.counter == nil {
		return
	}
	d.clock.Adjust(r.Correction)
	d.started = d.started.Add(r.Correction)
	d.counter.SetBack(d.now())
	d.ledger.Shift(r.Correction)
	d.offsets.Shift(r.Correction)
	clear(d.finals)
	d.g.spec.Metrics.Counter("bramley_clock_corrections_total").Inc()
	d.g.log.WithField("holder", r.From).WithField("by_ms", r.Correction.Milliseconds()).Warn("estimate of true time corrected")
}

// currentHolder returns the holder that the store shows.
func (d *duties) currentHolder() (holderEntry, bool) {
	e, ok := d.g.view.entry(dutiesKey)
	return holderEntry{string(e.Value), e.Revision}, ok
}

// countCall counts a call of the platform.
func (d *duties) countCall(name string, outcome string) {
	d.g.spec.Metrics.Counter(fmt.Sprintf(`bramley_duty_calls_total{duty=%q,outcome=%q}`, name, outcome)).Inc()
}

// log returns a log entry about a window.
func (d *duties) log(w usage.Window) *logrus.Entry {
	sum := 0
	for _, n := range w.Counts {
		sum += n
	}
	return d.g.log.WithFields(logrus.Fields{"window": w.Number, "end": usage.WindowEnd(w.Number, d.spec.Window).UTC().Format(time.RFC3339Nano), "teams": len(w.Counts), "requests": sum})
}
