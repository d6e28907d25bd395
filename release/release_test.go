package release

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

func counts(answers, failures int64, mean time.Duration) Counts {
	return Counts{Answers: answers, Failures: failures, Latency: time.Duration(answers-failures) * mean}
}

// Guards against a bad version that stays in use, and a sound one that is taken back or never completed.
func TestNext(t *testing.T) {
	rel := &object.Release{Service: "s", Target: "v2", Duration: 20 * time.Second}
	const ms = time.Millisecond
	old := counts(100, 1, 100*ms)
	for name, tc := range map[string]struct {
		phase   Phase
		ev      Evidence
		elapsed time.Duration
		want    Phase
	}{
		"too early":              {Trial, Evidence{counts(20, 0, 100*ms), old}, 5 * time.Second, Trial},
		"sound":                  {Trial, Evidence{counts(20, 0, 100*ms), old}, 12 * time.Second, Moved},
		"not enough seen":        {Trial, Evidence{counts(3, 0, 100*ms), old}, 12 * time.Second, Trial},
		"failing":                {Trial, Evidence{counts(8, 3, 100*ms), old}, 2 * time.Second, Reverted},
		"failing as the old":     {Trial, Evidence{counts(30, 5, 100*ms), counts(100, 15, 100*ms)}, 12 * time.Second, Moved},
		"slow":                   {Trial, Evidence{counts(20, 0, 500*ms), old}, 5 * time.Second, Reverted},
		"slower at its start":    {Trial, Evidence{counts(20, 0, 200*ms), old}, 5 * time.Second, Trial},
		"moved, not yet done":    {Moved, Evidence{counts(200, 1, 100*ms), old}, 14 * time.Second, Moved},
		"moved and done":         {Moved, Evidence{counts(200, 1, 100*ms), old}, 17 * time.Second, Completed},
		"bad after it was moved": {Moved, Evidence{counts(200, 90, 100*ms), old}, 17 * time.Second, Reverted},
		"completed stays":        {Completed, Evidence{counts(200, 190, 100*ms), old}, 30 * time.Second, Completed},
		"reverted stays":         {Reverted, Evidence{counts(20, 0, 100*ms), old}, 30 * time.Second, Reverted},
	} {
		if got := Next(tc.phase, tc.ev, rel, tc.elapsed); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}

// Guards against a trial that gets more sessions than operators allow.
func TestTrialShare(t *testing.T) {
	const sessions, exposure = 20000, 0.15
	n := 0
	for s := range uint64(sessions) {
		if OnTrial(s, exposure) {
			n++
		}
	}
	if share := float64(n) / sessions; share > exposure || share < exposure/3 {
		t.Errorf("%.3f of the sessions, the limit is %.2f", share, exposure)
	}
}
