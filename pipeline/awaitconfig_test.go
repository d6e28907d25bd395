package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
)

// Guards against requests that are rejected in the moment in which all daemons start again and load their configuration, against requests
// that wait for a store that is unavailable, and against a deadline that is extended by the wait.
func TestRequestsAwaitFirstConfiguration(t *testing.T) {
	for _, c := range []struct {
		name           string
		age            time.Duration // of the daemon
		remaining      time.Duration
		wait           time.Duration // expected
		hasView        bool
		remainingAfter time.Duration
	}{
		{"just started", 0, 20 * time.Second, 400 * time.Millisecond, true, 20*time.Second - 400*time.Millisecond},
		{"no deadline", 0, 0, 400 * time.Millisecond, true, 0},
		{"short deadline", 0, 1600 * time.Millisecond, 200 * time.Millisecond, false, 1400 * time.Millisecond},
		{"store unavailable", 5 * time.Second, 20 * time.Second, 0, false, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &Pipeline{Config: &config.Holder{}, Now: time.Now, Started: time.Now()}
				time.Sleep(c.age)
				time.AfterFunc(400*time.Millisecond, func() { p.Config.ApplyView(config.Index(config.Revision{Number: 1}, object.Set{})) })
				r, start := &Request{Meta: &Metadata{Remaining: c.remaining}}, time.Now()
				p.AwaitConfiguration(t.Context(), r)
				if waited := time.Since(start); waited != c.wait || (p.Config.View() != nil) != c.hasView || r.Meta.Remaining != c.remainingAfter {
					t.Errorf("waited %v, configuration in force: %v, remaining %v", waited, p.Config.View() != nil, r.Meta.Remaining)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
