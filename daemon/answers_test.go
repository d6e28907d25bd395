package daemon

import (
	"errors"
	"testing"

	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against reports that pile up at a daemon without the duty or at a holder that is paused, and against failed
// requests and plain services that count as answers.
func TestReportsOfAnswers(t *testing.T) {
	var a answers
	if err := a.take(quality.Report{}); !errors.Is(err, errNotReader) {
		t.Errorf("taken without the duty: %v", err)
	}
	a.setOpen(true)
	for range 2 * maxWaitingReports {
		if err := a.take(quality.Report{}); err != nil {
			t.Fatal(err)
		}
	}
	a.count(pipeline.Outcome{RequestID: "1", RequestKind: "k", RatedVersion: "v", Confidence: 0.5})
	a.count(pipeline.Outcome{RequestID: "2", RequestKind: "k", RatedVersion: "v", Confidence: 0.5, Code: result.CallerGone})
	a.count(pipeline.Outcome{RequestID: "3"})
	got := a.taken()
	if own := got[len(got)-1]; len(got) != maxWaitingReports+1 || len(own.Samples) != 1 {
		t.Errorf("%d reports, the own one with %d answers", len(got), len(own.Samples))
	}
}
