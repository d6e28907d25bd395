package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/scaling"
	"github.com/bramleytrail/bramleytrail/usage"
)

const (
	// candidateInterval is the time between two looks at the view for a holder.
	candidateInterval = 100 * time.Millisecond
	// candidateDelay is the time for which a daemon waits for each daemon of a higher rank, up to maxCandidateRank, before it tries to acquire
	// duties without a holder: within it, the others learn of a new holder.
	candidateDelay, maxCandidateRank = 250 * time.Millisecond, 12
	// candidateRetry is added to that delay after an attempt: the view may not show the holder yet.
	candidateRetry = 500 * time.Millisecond
	// holderInterval is the time between two rounds of a holder.
	holderInterval = 100 * time.Millisecond
	// scaleInterval is the time between two decisions on the number of endpoints.
	scaleInterval = time.Second
	// dutyStoreTimeout bounds a call of the store for the duties.
	dutyStoreTimeout = 800 * time.Millisecond
)

// storeEra returns the highest era of the store that this daemon has seen.
func (d *duties) storeEra() uint64 {
	if s, ok := d.g.spec.Store.(kv.EraReporter); ok {
		return s.Era()
	}
	return 0
}

// heldToken returns the token of this daemon's term, 0 if it does not hold the duties.
func (d *duties) heldToken() uint64 {
	if t := d.job.Term(); t.Token != 0 && duty.BootTime().Before(t.Expires) && duty.Era(t.Token) == d.storeEra() {
		return t.Token
	}
	return 0
}

// check decides whether this daemon may call the platform now in the term with a token.
func (d *duties) check(token uint64) duty.Reason {
	t := d.job.Term()
	if t.Token != token {
		return duty.NotHeld
	}
	d.mu.Lock()
	t.Recorded, t.Continues = d.recorded == token, d.sameHost
	d.mu.Unlock()
	return t.Check(duty.BootTime(), d.storeEra(), d.spec.Limits)
}

// runLease acquires the duties when it is this daemon's turn, and renews their lease, until the daemon stops.
func (d *duties) runLease() {
	interval := d.job.RenewInterval()
	var vacantSince time.Time
	wait := candidateInterval
	for pause.For(d.g.ctx, wait) == nil {
		before := d.job.Term().Token
		held := d.heldToken() != 0
		d.noteLost(before, held)
		if !held {
			wait = candidateInterval
			if vacantSince = d.vacantSince(vacantSince); vacantSince.IsZero() || time.Since(vacantSince) < d.candidateDelay() {
				continue
			}
			vacantSince = time.Now().Add(candidateRetry)
		}
		timeout := min(interval, dutyStoreTimeout)
		if !held { // three calls, after which a renewal still arrives in time
			timeout = 2 * interval
		}
		begun := time.Now()
		ok, err := d.acquireOrRenew(timeout)
		if err != nil && errors.Is(err, kv.ErrUnavailable) {
			d.g.view.reportFailure()
		}
		switch {
		case err != nil:
			d.g.log.WithError(err).Info("acquiring or renewing the duties failed")
			wait = candidateInterval
		case ok && !held:
			d.g.log.WithField("token", d.job.Term().Token).Info("duty acquired")
			wait = max(0, interval-time.Since(begun)) // the lease counts from before the calls
		case ok:
			wait = max(0, interval-time.Since(begun))
		default:
			d.noteLost(before, false)
		}
	}
}

func (d *duties) acquireOrRenew(timeout time.Duration) (bool, error) {
	d.leasing.Lock()
	defer d.leasing.Unlock()
	if d.heldToken() == 0 && d.isLeaving() {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(d.g.ctx, timeout)
	defer cancel()
	return d.job.AcquireOrRenew(ctx)
}

func (d *duties) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// noteLost gives up a term that is over, and logs it. before is its token, 0 for none.
func (d *duties) noteLost(before uint64, held bool) {
	if before == 0 || held {
		return
	}
	d.job.Drop()
	d.g.log.WithField("token", before).WithField("era", d.storeEra()).Warn("duty lost")
}

// vacantSince returns since when the store shows no holder, zero if it shows one or this daemon can't become the holder.
func (d *duties) vacantSince(before time.Time) time.Time {
	if _, registered := d.g.view.entry(memberPrefix + d.g.spec.Name); !registered || d.isLeaving() || d.g.view.unavailable.Load() {
		return time.Time{}
	}
	if _, ok := d.currentHolder(); ok {
		return time.Time{}
	}
	if before.IsZero() {
		return time.Now()
	}
	return before
}

// candidateDelay returns the time without a holder after which this daemon tries to become it.
func (d *duties) candidateDelay() time.Duration {
	return candidateDelay * time.Duration(min(d.g.view.rank(), maxCandidateRank))
}

// leave gives up the duties because the daemon stops. Its requests are still counted.
func (d *duties) leave() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.calling.Lock() // no call is on its way
	defer d.calling.Unlock()
	d.leasing.Lock()
	defer d.leasing.Unlock()
	if d.heldToken() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dutyStoreTimeout)
	defer cancel()
	d.job.Release(ctx)
	d.g.log.Info("duty released")
}

// runHolder closes and sends windows of usage while this daemon holds the duties, until it stops.
func (d *duties) runHolder() {
	for pause.For(d.g.ctx, holderInterval) == nil {
		token := d.heldToken()
		if token == 0 {
			continue
		}
		err := d.act(token)
		if errors.Is(err, duty.ErrSuperseded) {
			d.job.Drop()
		}
		if err != nil {
			d.g.log.WithField("token", token).WithError(err).Warn("carrying out the duties failed")
			_ = pause.For(d.g.ctx, d.spec.RetryDelay)
		}
	}
}

// act makes one round of the holder: it records its term, then closes, records and sends windows when it may.
func (d *duties) act(token uint64) error {
	if d.stateToken != token || d.reopen {
		if err := d.begin(token); err != nil {
			return err
		}
	}
	if d.ledger != nil && time.Since(d.clocksChecked) >= dutyReportInterval {
		d.clocksChecked = time.Now()
		d.correctClocks()
	}
	if d.ledger == nil || d.check(token) != "" {
		return d.save(token)
	}
	d.mu.Lock()
	now := d.now()
	d.receiveOwn(now)
	closings := d.ledger.Close(now, d.g.view.memberNames())
	d.mu.Unlock()
	for _, c := range closings {
		d.logClosing(c)
		d.unsaved = d.unsaved || c.Outcome == ""
	}
	if err := d.save(token); err != nil {
		return err
	}
	for {
		d.mu.Lock()
		w, repeated, ok := d.ledger.Due(d.now())
		d.mu.Unlock()
		if !ok || !d.sendUsage(token, w, repeated) {
			return nil
		}
	}
}

// begin opens the stored record for a new term and writes this daemon into it.
func (d *duties) begin(token uint64) error {
	ctx, cancel := context.WithTimeout(d.g.ctx, 2*dutyStoreTimeout)
	defer cancel()
	state, record, unreadable, err := d.openRecord(ctx, token)
	if err != nil {
		return err
	}
	if d.stateToken == token { // opened again, since the stored record became unreadable: this holder knows what it contained
		d.state, d.unsaved, d.reopen = state, true, false
		return nil
	}
	d.mu.Lock()
	d.sameHost = record != nil && record.Holder == d.g.spec.Name && record.Era == duty.Era(token)
	var abandoned []usage.Closing
	switch {
	case d.ledger == nil:
	case unreadable:
		abandoned = d.ledger.BeginUnreadable(d.now())
	default:
		abandoned = d.ledger.Begin(d.now(), duty.Era(token), record)
	}
	clear(d.demands)
	d.offsets = usage.Offsets{}
	d.mu.Unlock()
	for _, c := range abandoned {
		d.logClosing(c)
	}
	d.state, d.stateToken, d.unsaved, d.reopen = state, token, true, false
	return nil
}

// openRecord opens the stored record for a term. If it is unreadable, it is replaced by the next save: otherwise it would block the duties
// until someone deletes it.
func (d *duties) openRecord(ctx context.Context, token uint64) (state *duty.State, record *usage.Record, unreadable bool, err error) {
	state, body, err := duty.OpenState(ctx, d.g.spec.Store, usageKey, token)
	switch {
	case errors.Is(err, duty.ErrUndecodable):
		unreadable = true
	case err != nil:
		return nil, nil, false, err
	case len(body) > 0:
		record, err = usage.DecodeRecord(body)
		unreadable = err != nil
	}
	if unreadable {
		d.g.spec.Metrics.Counter("bramley_usage_records_unreadable_total").Inc()
		d.g.log.WithField("key", usageKey).WithError(err).Error("stored record of usage is unreadable and is replaced")
	}
	return state, record, unreadable, nil
}

// save stores the record if it has changed.
func (d *duties) save(token uint64) error {
	if !d.unsaved {
		return nil
	}
	record := usage.Record{Holder: d.g.spec.Name, Era: duty.Era(token)}
	d.mu.Lock()
	if d.ledger != nil {
		record = d.ledger.Record(record.Holder, record.Era)
	}
	d.mu.Unlock()
	body, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode record of usage: %w", err)
	}
	ctx, cancel := context.WithTimeout(d.g.ctx, dutyStoreTimeout)
	defer cancel()
	if err := d.state.Save(ctx, body); err != nil {
		d.reopen = errors.Is(err, duty.ErrUndecodable)
		return err
	}
	d.unsaved = false
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recorded = token
	if d.ledger != nil {
		d.ledger.Stored()
	}
	return nil
}

// sendUsage sends a window, and reports whether another one may be sent at once.
func (d *duties) sendUsage(token uint64, w usage.Window, repeated bool) bool {
	outcome, err := d.call("usage", token, func(c duty.Call) error { return d.spec.Cloud.ReportUsage(d.g.ctx, c, w.Number, w.Counts) })
	d.mu.Lock()
	defer d.mu.Unlock()
	log := d.log(w).WithField("token", token)
	if err != nil {
		d.ledger.Retry(w.Number, d.now().Add(d.spec.RetryDelay), outcome == "slow" || outcome == "refused")
		log.WithError(err).Warn("window of usage not sent")
		return false
	}
	d.ledger.Done(w.Number)
	result := usage.Sent
	if repeated {
		result = usage.Repeated
	}
	d.countWindow(result)
	d.lastWindow.Store(max(d.lastWindow.Load(), w.Number))
	log.WithField("after_ms", d.now().Sub(usage.WindowEnd(w.Number, d.spec.Window)).Milliseconds()).Info("window of usage " + string(result))
	return true
}

// call makes a call of the platform if this daemon may, and returns its outcome.
func (d *duties) call(name string, token uint64, f func(duty.Call) error) (outcome string, err error) {
	d.calling.RLock()
	defer d.calling.RUnlock()
	check := func() duty.Reason { return d.check(token) }
	if reason := check(); reason != "" {
		err = fmt.Errorf("%w: %s", duty.ErrNotAllowed, reason)
	} else {
		err = f(duty.Call{Holder: d.g.spec.Name, Token: token, Check: check})
	}
	outcome = callOutcome(err)
	d.countCall(name, outcome)
	return outcome, err
}

// callOutcome returns the value of the metrics label "outcome" for a call of the platform.
func callOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, duty.ErrNotAllowed):
		return "not_allowed"
	case errors.Is(err, duty.ErrThrottled):
		return "throttled"
	case errors.Is(err, duty.ErrUnreachable):
		return "unreachable"
	case errors.Is(err, duty.ErrSlow):
		return "slow"
	default:
		return "refused"
	}
}

// logClosing logs and counts a window that was closed.
func (d *duties) logClosing(c usage.Closing) {
	if c.Outcome != "" {
		d.countWindow(c.Outcome)
		d.log(c.Window).Warn("window of usage " + string(c.Outcome))
		return
	}
	if len(c.Missing) > 0 {
		const maxNames = 10
		d.log(c.Window).WithField("missing", len(c.Missing)).WithField("daemons", strings.Join(c.Missing[:min(maxNames, len(c.Missing))], " ")).Info("window of usage closed without some daemons")
	}
}

// countWindow counts the outcome of a window.
func (d *duties) countWindow(o usage.Outcome) {
	d.g.spec.Metrics.Counter(fmt.Sprintf(`bramley_usage_windows_total{outcome=%q}`, o)).Inc()
}

// runScaling lets the scaler decide once a second while this daemon holds the duties and may call the platform.
func (d *duties) runScaling() {
	for pause.For(d.g.ctx, scaleInterval) == nil {
		token := d.heldToken()
		if d.g.scaler == nil || token == 0 || d.check(token) != "" {
			continue
		}
		d.mu.Lock()
		reports := make([]scaling.Report, 0, len(d.demands))
		for _, r := range d.demands {
			reports = append(reports, r)
		}
		d.mu.Unlock()
		slices.SortFunc(reports, func(a, b scaling.Report) int { return strings.Compare(a.Daemon, b.Daemon) })
		d.g.scaler.step(time.Now(), reports, func(service, domain string, count int) error {
			_, err := d.call("scaling", token, func(c duty.Call) error { return d.spec.Cloud.Scale(d.g.ctx, c, service, domain, count) })
			return err
		})
	}
}

// nameShare returns a number in [0, 1) that differs between daemons, to spread what all of them do at the same time.
func (g *Gateway) nameShare() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(g.spec.Name)) // never fails
	return float64(h.Sum32()) / (math.MaxUint32 + 1)
}
