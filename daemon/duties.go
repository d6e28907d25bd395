package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

const (
	ratingPageSize = 1000 // ratings per read
	// maxRatingPages bounds the pages of ratings that are read between two writes of the summary.
	maxRatingPages = 20
)

// dutyTerm is the work of a duty's holder during one term. It is used by one goroutine.
type dutyTerm interface {
	// tick does the work that is due. It is called every dutyInterval while the duty is held, with a ctx that ends after
	// the renewal interval of the lease. An error that wraps duty.ErrSuperseded ends the term.
	tick(ctx context.Context) error
	// end releases the resources of the term. It is called once, when the duty is lost or given up or the daemon stops.
	end()
}

// runDuty acquires a duty when it is free and this daemon is a watcher, and runs a term for as long as the lease lasts. It
// returns when the daemon stops.
func (d *Daemon) runDuty(name string, start func(ctx context.Context, fence uint64) (dutyTerm, error)) {
	d.runDutyWhile(d.newDuty(name), name, func() bool { return true }, start)
}

// newDuty returns this daemon's candidacy for a duty.
func (d *Daemon) newDuty(name string) *duty.Duty {
	return duty.New(duty.Spec{Store: d.platform.Store, Name: name, Owner: d.incarnation, TTL: d.settings.DutyTTL, Now: time.Now})
}

// dutyInterval returns the time between two ticks of a duty.
func (d *Daemon) dutyInterval(job *duty.Duty) time.Duration {
	return min(job.RenewInterval(), d.settings.EvidenceInterval, d.settings.RatingInterval)
}

// runDutyWhile is like runDuty, but neither acquires nor keeps the duty while wanted returns false.
func (d *Daemon) runDutyWhile(job *duty.Duty, name string, wanted func() bool, start func(ctx context.Context, fence uint64) (dutyTerm, error)) {
	var current dutyTerm
	log := d.log.WithField("duty", name)
	endTerm := func() {
		if current != nil {
			current.end()
			current = nil
			d.decisions.setHeldDuty(name, 0)
		}
	}
	interval := d.dutyInterval(job)
	for ; d.ctx.Err() == nil; d.sleep(interval) {
		fence, held := job.Fence()
		if !wanted() {
			endTerm()
			if held {
				job.Release(d.ctx)
			}
			continue
		}
		if !held && (!d.node.Watching() || d.leaving.Load()) {
			endTerm()
			continue
		}
		ctx, cancel := context.WithTimeout(d.ctx, job.RenewInterval())
		ok, err := job.AcquireOrRenew(ctx)
		newFence, _ := job.Fence()
		if !ok || newFence != fence {
			endTerm()
		}
		if ok && current == nil {
			if current, err = start(ctx, newFence); err == nil {
				d.decisions.setHeldDuty(name, newFence)
				log.WithField("fence", newFence).Info("duty acquired")
			}
		}
		if ok && current != nil {
			err = current.tick(ctx)
		}
		cancel()
		if errors.Is(err, duty.ErrSuperseded) {
			endTerm()
			job.Release(d.ctx)
		}
		if err != nil && d.ctx.Err() == nil {
			log.WithError(err).Warn("could not acquire, renew or carry out duty")
		}
	}
	endTerm()
	if d.leaving.Load() { // a killed daemon does not release its duty
		ctx, cancel := context.WithTimeout(context.Background(), job.RenewInterval())
		defer cancel()
		job.Release(ctx)
	}
}

// openState opens the stored state of a duty for a new term and returns it with its body. If a peer distributed a newer
// version than the key-value store has, because the store lost writes, the term continues from the peer's version.
func (d *Daemon) openState(ctx context.Context, key, document string, fence uint64) (*duty.State, []byte, error) {
	state, body, err := duty.OpenState(ctx, d.platform.Store, key, fence)
	if err != nil {
		return nil, nil, err
	}
	if doc, ok := d.node.Document(document); ok && doc.Number > state.Number() {
		state.RaiseNumber(doc.Number)
		body = doc.Body
	}
	return state, body, nil
}

// ratingTerm reads ratings and answer reports, and distributes the quality estimates, during one term of the rating duty.
type ratingTerm struct {
	daemon        *Daemon
	state         *duty.State
	summary       *quality.Summary
	recentAnswers *quality.RecentConfidences // empty at the start of a term; ratings of earlier answers count without confidence
	lastRun       time.Time
	dirty         bool
}

// startRatingTerm loads the estimates, makes this daemon their holder and accepts answer reports.
func (d *Daemon) startRatingTerm(ctx context.Context, fence uint64) (dutyTerm, error) {
	state, body, err := d.openState(ctx, keyQuality, docQuality, fence)
	if err != nil {
		return nil, err
	}
	t := &ratingTerm{daemon: d, state: state, summary: quality.NewSummary(), recentAnswers: quality.NewRecentConfidences(), dirty: true}
	if len(body) > 0 {
		if t.summary, err = quality.Decode(body); err != nil {
			return nil, err
		}
	}
	t.summary.Holder = d.peerAddr
	d.decisions.answers.setAccepting(true)
	return t, nil
}

func (t *ratingTerm) end() { t.daemon.decisions.answers.setAccepting(false) }

func (t *ratingTerm) tick(ctx context.Context) error {
	now := time.Now()
	if now.Sub(t.lastRun) < t.daemon.settings.RatingInterval {
		return nil
	}
	t.lastRun = now
	t.summary.DiscountTo(now.UTC())
	for _, r := range t.daemon.decisions.answers.drain() {
		t.recentAnswers.Add(r)
		t.summary.AddReport(r)
	}
	readErr := t.readRatings(ctx)
	if !t.dirty {
		return readErr
	}
	if view := t.daemon.config.View(); view != nil {
		t.summary.Prune(func(label string) bool { return ratingsInUse(view, label) })
	}
	body, err := t.summary.Encode()
	if err != nil {
		return err
	}
	if err := t.state.Save(ctx, body); err != nil {
		return err
	}
	t.dirty = false
	return errors.Join(readErr, t.daemon.offerState(docQuality, t.state.Number(), body))
}

// readRatings adds the ratings after the cursor to the summary, at most maxRatingPages pages.
func (t *ratingTerm) readRatings(ctx context.Context) error {
	for range maxRatingPages {
		page, err := t.daemon.platform.Ratings.After(ctx, t.summary.Cursor, ratingPageSize)
		if err != nil {
			return fmt.Errorf("read ratings: %w", err)
		}
		if len(page.Ratings) == 0 {
			return nil
		}
		for _, r := range page.Ratings {
			t.summary.Add(r)
			if x, ok := t.recentAnswers.Confidence(r.RequestID); ok {
				t.summary.AddPair(r, x)
			}
		}
		t.summary.Cursor, t.dirty = page.Next, true
	}
	return nil
}

// ratingsInUse reports whether the ratings under a label are still needed: it names a version that is not retired, or a
// cascade.
func ratingsInUse(view *config.View, label string) bool {
	if v := view.Versions[label]; v != nil {
		return v.State != object.VersionRetired
	}
	for _, c := range view.Cascades {
		if c.Label() == label {
			return true
		}
	}
	return false
}

// rolloutTerm evaluates the evidence on rollouts, and advances or halts them, during one term of the rollout duty.
type rolloutTerm struct {
	daemon          *Daemon
	state           *duty.State
	controller      *rollout.Controller
	reportedThrough int64 // last second, in Unix time, of this daemon's own counts that the controller has
	dirty           bool
}

// startRolloutTerm loads the rollout state and accepts evidence. Halts that this daemon knows of are kept even if the stored
// state lacks them.
func (d *Daemon) startRolloutTerm(ctx context.Context, fence uint64) (dutyTerm, error) {
	state, body, err := d.openState(ctx, keyRollout, docRollout, fence)
	if err != nil {
		return nil, err
	}
	previous, err := rollout.DecodeState(body)
	if err != nil {
		return nil, err
	}
	for name, r := range d.decisions.rollouts.State().Records {
		if r.Halted {
			previous.Records[name] = r
		}
	}
	d.decisions.openInbox()
	return &rolloutTerm{daemon: d, state: state, controller: rollout.NewController(previous, d.peerAddr), dirty: true}, nil
}

func (t *rolloutTerm) end() { t.daemon.decisions.closeInbox() }

func (t *rolloutTerm) tick(ctx context.Context) error {
	d := t.daemon
	view := d.config.View()
	if view == nil {
		return nil
	}
	now := time.Now().UTC()
	own := d.collectEvidence(t.reportedThrough)
	t.reportedThrough = own.Through
	for _, e := range append(d.decisions.drainInbox(), own) {
		t.controller.Report(e, now)
	}
	changed, halted := t.controller.Tick(view.Set.Rollouts, d.ratingsOf, now)
	t.dirty = t.dirty || changed
	if !t.dirty {
		return nil
	}
	body, err := t.controller.State().Encode()
	if err != nil {
		return err
	}
	saveErr := t.state.Save(ctx, body)
	switch {
	case saveErr == nil:
		t.dirty = false
	case halted && !errors.Is(saveErr, duty.ErrSuperseded):
		// A halt is distributed even if the key-value store is unavailable: daemons keep it regardless of later documents.
		t.state.RaiseNumber(t.state.Number() + 1)
	default:
		return saveErr
	}
	if halted {
		d.log.WithField("state", string(body)).Warn("rollout halted")
	}
	return errors.Join(saveErr, d.offerState(docRollout, t.state.Number(), body))
}

// ratingsOf returns the total ratings of a version since the estimates were first started.
func (d *Daemon) ratingsOf(version string) rollout.Ratings {
	s := d.decisions.estimates.Summary()
	if s == nil {
		return rollout.Ratings{}
	}
	return rollout.Ratings(s.Totals[version])
}
