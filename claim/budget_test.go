package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// Guards against daemons that together exceed the budget of claim writes, and against a share that does not follow the
// number of live hosts.
func TestDeploymentClaimBudget(t *testing.T) {
	const budget, seconds = 260, 100
	for _, c := range []struct{ members, want int }{{1, budget}, {6, budget}, {370, budget}, {0, 0}} {
		synctest.Test(t, func(t *testing.T) {
			members := 1 // until the host list includes the other daemons
			f := New(Spec{Store: memkv.New(), Owner: "a", Budget: budget, Members: func() int { return members }, Now: time.Now})
			defer f.Close(t.Context())
			f.allow()
			members = c.members
			for f.allow() { // uses up the burst
			}
			writes := 0
			for range seconds * 1000 {
				time.Sleep(time.Millisecond)
				if f.allow() {
					writes += writesPerCall
				}
			}
			total := writes * c.members / seconds
			t.Logf("%d daemons: %d writes a second in all", c.members, total)
			if total > c.want || total < c.want*95/100 {
				t.Errorf("%d daemons: %d writes a second, want %d", c.members, total, c.want)
			}
			if writes == 0 {
				t.Errorf("%d daemons: no claim is admitted", c.members)
			}
		})
	}
}
