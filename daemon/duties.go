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
	ratingPage = 1000
	// maxRatingPages bounds the ratings that are read between two writes of the summary.
	maxRatingPages = 20
)

// term is a holder's work during one term of a duty.
type term interface {
	// tick does what is due. After duty.ErrSuperseded, the term ends.
	tick(ctx context.Context) error
	end()
}

// holdDuty takes a duty when it is free, if this daemon is a watcher, and works for it as long as the lease lasts.
func (d *Daemon) holdDuty(name string, start func(ctx context.Context, fence uint64) (term, error)) {
	d.holdJob(d.newJob(name), name, func() bool { return true }, start)
}

func (d *Daemon) newJob(name string) *duty.Duty {
	return duty.New(duty.Spec{Store: d.platform.Store, Name: name, Owner: d.incarnation, TTL: d.settings.DutyTTL, Now: time.Now})
}

// dutyPause is the time between two steps of a duty.
func (d *Daemon) dutyPause(job *duty.Duty) time.Duration {
	return min(job.RenewInterval(), d.settings.EvidenceEvery, d.settings.RatingEvery)
}

// holdJob is holdDuty for a duty that is given up while it is not wanted.
func (d *Daemon) holdJob(job *duty.Duty, name string, wanted func() bool, start func(ctx context.Context, fence uint64) (term, error)) {
	var current term
	log := d.log.WithField("duty", name)
	leave := func() {
		if current != nil {
			current.end()
			current = nil
			d.decisions.setHeld(name, 0)
		}
	}
	pause := d.dutyPause(job)
	for ; d.ctx.Err() == nil; d.sleep(pause) {
		fence, held := job.Fence()
		if !wanted() {
			leave()
			if held {
				job.Release(d.ctx)
			}
			continue
		}
		if !held && (!d.node.Watching() || d.leaving.Load()) {
			leave()
			continue
		}
		ctx, cancel := context.WithTimeout(d.ctx, job.RenewInterval())
		ok, err := job.AcquireOrRenew(ctx)
		now, _ := job.Fence()
		if !ok || now != fence {
			leave()
		}
		if ok && current == nil {
			if current, err = start(ctx, now); err == nil {
				d.decisions.setHeld(name, now)
				log.WithField("fence", now).Info("duty taken")
			}
		}
		if ok && current != nil {
			err = current.tick(ctx)
		}
		cancel()
		if errors.Is(err, duty.ErrSuperseded) {
			leave()
			job.Release(d.ctx)
		}
		if err != nil && d.ctx.Err() == nil {
			log.WithError(err).Warn("duty not done")
		}
	}
	leave()
	if d.leaving.Load() { // a killed daemon can't give its duty up
		ctx, cancel := context.WithTimeout(context.Background(), job.RenewInterval())
		defer cancel()
		job.Release(ctx)
	}
}

// openState opens the state of a duty. If a peer spread a newer one than the key-value service has, because that lost
// writes, it goes on from there.
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

// ratingTerm reads ratings and spreads the estimates.
type ratingTerm struct {
	daemon  *Daemon
	state   *duty.State
	summary *quality.Summary
	recent  *quality.RecentConfidences // starts empty at each holder; ratings of earlier answers count without confidence
	last    time.Time
	dirty   bool
}

func (d *Daemon) startRating(ctx context.Context, fence uint64) (term, error) {
	state, body, err := d.openState(ctx, keyQuality, docQuality, fence)
	if err != nil {
		return nil, err
	}
	t := &ratingTerm{daemon: d, state: state, summary: quality.NewSummary(), recent: quality.NewRecentConfidences(), dirty: true}
	if len(body) > 0 {
		if t.summary, err = quality.Decode(body); err != nil {
			return nil, err
		}
	}
	t.summary.Holder = d.peerAddr
	d.decisions.answers.setOpen(true)
	return t, nil
}

func (t *ratingTerm) end() { t.daemon.decisions.answers.setOpen(false) }

func (t *ratingTerm) tick(ctx context.Context) error {
	now := time.Now()
	if now.Sub(t.last) < t.daemon.settings.RatingEvery {
		return nil
	}
	t.last = now
	t.summary.DiscountTo(now.UTC())
	for _, r := range t.daemon.decisions.answers.taken() {
		t.recent.Add(r)
		t.summary.AddReport(r)
	}
	readErr := t.read(ctx)
	if !t.dirty {
		return readErr
	}
	if view := t.daemon.config.View(); view != nil {
		t.summary.Prune(func(label string) bool { return declaredLabel(view, label) })
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

// read adds the ratings after the cursor to the summary.
func (t *ratingTerm) read(ctx context.Context) error {
	for range maxRatingPages {
		page, err := t.daemon.platform.Ratings.After(ctx, t.summary.Cursor, ratingPage)
		if err != nil {
			return fmt.Errorf("read ratings: %w", err)
		}
		if len(page.Ratings) == 0 {
			return nil
		}
		for _, r := range page.Ratings {
			t.summary.Add(r)
			if x, ok := t.recent.Confidence(r.RequestID); ok {
				t.summary.AddPair(r, x)
			}
		}
		t.summary.Cursor, t.dirty = page.Next, true
	}
	return nil
}

// declaredLabel reports whether ratings of a version or cascade are still of use.
func declaredLabel(view *config.View, label string) bool {
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

// rolloutTerm evaluates the evidence on roll-outs.
type rolloutTerm struct {
	daemon     *Daemon
	state      *duty.State
	controller *rollout.Controller
	reported   int64 // last second that the controller has of this daemon
	dirty      bool
}

func (d *Daemon) startRollout(ctx context.Context, fence uint64) (term, error) {
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
	own := d.evidence(t.reported)
	t.reported = own.Through
	for _, e := range append(d.decisions.takeInbox(), own) {
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
		// A halt does not wait for the key-value service: daemons keep it whatever a later document says.
		t.state.RaiseNumber(t.state.Number() + 1)
	default:
		return saveErr
	}
	if halted {
		d.log.WithField("state", string(body)).Warn("roll-out halted")
	}
	return errors.Join(saveErr, d.offerState(docRollout, t.state.Number(), body))
}

// ratingsOf returns the ratings of a version since the estimates began.
func (d *Daemon) ratingsOf(version string) rollout.Ratings {
	s := d.decisions.estimates.Summary()
	if s == nil {
		return rollout.Ratings{}
	}
	return rollout.Ratings(s.Totals[version])
}
