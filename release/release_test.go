package release

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

func counts(answers, failures int64, mean time.Duration) Counts {
	return Counts{Answers: answers, Failures: failures, Latency: time.Duration(answers-failures) * mean}
}

// Guards against a regressed version that stays in use, and against a healthy one that is rolled back or never completed.
func TestNext(t *testing.T) {
	rel := &object.Release{Service: "s", TargetVersion: "v2", Duration: 20 * time.Second}
	const ms = time.Millisecond
	old := counts(100, 1, 100*ms)
	for name, tc := range map[string]struct {
		phase   Phase
		ev      Evidence
		elapsed time.Duration
		want    Phase
	}{
		"too early":              {Canary, Evidence{counts(20, 0, 100*ms), old}, 5 * time.Second, Canary},
		"sound":                  {Canary, Evidence{counts(20, 0, 100*ms), old}, 12 * time.Second, Promoted},
		"not enough seen":        {Canary, Evidence{counts(3, 0, 100*ms), old}, 12 * time.Second, Canary},
		"failing":                {Canary, Evidence{counts(8, 3, 100*ms), old}, 2 * time.Second, Reverted},
		"failing as the old":     {Canary, Evidence{counts(30, 5, 100*ms), counts(100, 15, 100*ms)}, 12 * time.Second, Promoted},
		"slow":                   {Canary, Evidence{counts(20, 0, 500*ms), old}, 5 * time.Second, Reverted},
		"slower at its start":    {Canary, Evidence{counts(20, 0, 200*ms), old}, 5 * time.Second, Canary},
		"moved, not yet done":    {Promoted, Evidence{counts(200, 1, 100*ms), old}, 14 * time.Second, Promoted},
		"moved and done":         {Promoted, Evidence{counts(200, 1, 100*ms), old}, 17 * time.Second, Completed},
		"bad after it was moved": {Promoted, Evidence{counts(200, 90, 100*ms), old}, 17 * time.Second, Reverted},
		"completed stays":        {Completed, Evidence{counts(200, 190, 100*ms), old}, 30 * time.Second, Completed},
		"reverted stays":         {Reverted, Evidence{counts(20, 0, 100*ms), old}, 30 * time.Second, Reverted},
	} {
		if got := NextPhase(tc.phase, tc.ev, rel, tc.elapsed); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}

// Guards against a canary that gets more sessions than operators allow, or almost none.
func TestTrialShare(t *testing.T) {
	const sessions, exposure = 20000, 0.15
	n := 0
	for s := range uint64(sessions) {
		if InCanary(s, exposure) {
			n++
		}
	}
	if share := float64(n) / sessions; share > exposure || share < exposure/3 {
		t.Errorf("the canary has %.3f of the sessions, the limit is %.2f", share, exposure)
	}
}
