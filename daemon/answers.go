package daemon

import (
	"errors"
	"sync"

	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/result"
)

// maxPendingReports bounds the reports that wait for the next run of the rating duty. It allows two reports from each of 500
// daemons, which take about 500 KB.
const maxPendingReports = 1000

// errNotRatingHolder is returned to a peer that reports answers to a daemon without the rating duty.
var errNotRatingHolder = errors.New("this daemon does not hold the rating duty")

// answerReports collects statistics on this daemon's answers and, while this daemon holds the rating duty, the reports of its
// peers. It is safe for concurrent use.
type answerReports struct {
	local quality.Collector

	mu        sync.Mutex
	accepting bool
	pending   []quality.Report
}

// countAnswer counts the answer of a finished request. Failed requests and plain services are ignored, as only complete
// answers of models are rated.
func (a *answerReports) countAnswer(o pipeline.Outcome) {
	if o.Code == result.OK && o.RatedVersion != "" {
		a.local.Add(o.RequestID, o.RequestKind, o.RatedVersion, o.Confidence)
	}
}

// setAccepting sets whether reports of peers are accepted, and discards those that are pending.
func (a *answerReports) setAccepting(accepting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepting, a.pending = accepting, nil
}

// receive stores a peer's report until the next drain. It returns errNotRatingHolder if this daemon does not hold the rating
// duty. Beyond maxPendingReports the oldest report is dropped: its answers then count without confidence.
func (a *answerReports) receive(r quality.Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.accepting {
		return errNotRatingHolder
	}
	a.pending = append(a.pending, r)
	a.pending = a.pending[max(0, len(a.pending)-maxPendingReports):]
	return nil
}

// drain returns the peers' reports since the last call, followed by this daemon's own.
func (a *answerReports) drain() []quality.Report {
	local := a.local.Take()
	a.mu.Lock()
	defer a.mu.Unlock()
	reports := append(a.pending, local)
	a.pending = nil
	return reports
}

// sendAnswerReports periodically reports this daemon's answer counts to the holder of the rating duty. If there is no holder
// or it can't be reached, the report is dropped. The estimates are then based on the remaining answers, or on the ratings
// alone if no report arrives.
func (d *Daemon) sendAnswerReports() {
	for d.ctx.Err() == nil {
		d.sleep(d.settings.RatingInterval)
		holder := ""
		if s := d.decisions.estimates.Summary(); s != nil {
			holder = s.Holder
		}
		if holder == d.peerAddr {
			continue // the rating duty of this daemon drains its own counts
		}
		report := d.decisions.answers.local.Take()
		if holder == "" || report.Empty() {
			continue
		}
		if err := d.node.SendAnswers(d.ctx, holder, report); err != nil {
			d.log.WithError(err).Debug("could not send answer report to the holder of the rating duty")
		}
	}
}
