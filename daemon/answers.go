package daemon

import (
	"errors"
	"sync"

	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/result"
)

// maxWaitingReports bounds the reports that wait for the holder's next step: two of each of 500 daemons, about 500 KB.
const maxWaitingReports = 1000

// errNotReader answers counts that arrive at a daemon without the duty.
var errNotReader = errors.New("this daemon does not hold the rating duty")

// answers counts this daemon's answers and takes the counts of the others while it holds the rating duty.
type answers struct {
	own quality.Collector

	mu      sync.Mutex
	open    bool
	waiting []quality.Report
}

// count adds a finished request. Only a whole answer of a model is rated.
func (a *answers) count(o pipeline.Outcome) {
	if o.Code == result.OK && o.RatedVersion != "" {
		a.own.Add(o.RequestID, o.RequestKind, o.RatedVersion, o.Confidence)
	}
}

// setOpen begins or ends to take reports.
func (a *answers) setOpen(open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open, a.waiting = open, nil
}

// take keeps a report. It fails without the rating duty. When too many wait, the oldest is dropped: its answers remain
// without confidence.
func (a *answers) take(r quality.Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.open {
		return errNotReader
	}
	a.waiting = append(a.waiting, r)
	a.waiting = a.waiting[max(0, len(a.waiting)-maxWaitingReports):]
	return nil
}

// taken returns the reports since the last call and this daemon's own.
func (a *answers) taken() []quality.Report {
	own := a.own.Take()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := append(a.waiting, own)
	a.waiting = nil
	return out
}

// sendAnswers reports the counts of answers to the holder of the rating duty. Without a holder, or if it can't be reached,
// they are dropped: the estimates then rest on the other answers, and without any on the ratings alone.
func (d *Daemon) sendAnswers() {
	for d.ctx.Err() == nil {
		d.sleep(d.settings.RatingEvery)
		holder := ""
		if s := d.decisions.estimates.Summary(); s != nil {
			holder = s.Holder
		}
		if holder == d.peerAddr {
			continue // the holder takes its own in its next step
		}
		r := d.decisions.answers.own.Take()
		if holder == "" || r.Empty() {
			continue
		}
		if err := d.node.SendAnswers(d.ctx, holder, r); err != nil {
			d.log.WithError(err).Debug("counts of answers not delivered")
		}
	}
}
