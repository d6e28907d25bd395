package daemon

import (
	"errors"
	"testing"

	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against reports that accumulate without bound at a daemon without the rating duty or at a paused holder, and
// against counting failed requests and requests to plain services as answers.
func TestAnswerReports(t *testing.T) {
	var a answerReports
	if err := a.receive(quality.Report{}); !errors.Is(err, errNotRatingHolder) {
		t.Errorf("receive without the rating duty: error %v, want %v", err, errNotRatingHolder)
	}
	a.setAccepting(true)
	for range 2 * maxPendingReports {
		if err := a.receive(quality.Report{}); err != nil {
			t.Fatal(err)
		}
	}
	a.countAnswer(pipeline.Outcome{RequestID: "1", RequestKind: "k", RatedVersion: "v", Confidence: 0.5})
	a.countAnswer(pipeline.Outcome{RequestID: "2", RequestKind: "k", RatedVersion: "v", Confidence: 0.5, Code: result.CallerGone})
	a.countAnswer(pipeline.Outcome{RequestID: "3"})
	got := a.drain()
	if local := got[len(got)-1]; len(got) != maxPendingReports+1 || len(local.Samples) != 1 {
		t.Errorf("drained %d reports, the local one with %d answers; want %d and 1", len(got), len(local.Samples), maxPendingReports+1)
	}
}
