package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// Guards against claims of many daemons that together take the writes of the key-value service, and against a share that
// does not follow the host list.
func TestWritesOfADeployment(t *testing.T) {
	const budget, seconds = 260, 100
	for _, c := range []struct{ members, want int }{{1, budget}, {6, budget}, {370, budget}, {0, 0}} {
		synctest.Test(t, func(t *testing.T) {
			members := 1 // until the list names the others
			f := New(Spec{Store: memkv.New(), Owner: "a", Budget: budget, Members: func() int { return members }, Now: time.Now})
			defer f.Close(t.Context())
			f.allow()
			members = c.members
			for f.allow() { // empties the burst
			}
			writes := 0
			for range seconds * 1000 {
				time.Sleep(time.Millisecond)
				if f.allow() {
					writes += writesPerCall
				}
			}
			sum := writes * c.members / seconds
			t.Logf("%d daemons: %d writes a second in all", c.members, sum)
			if sum > c.want || sum < c.want*95/100 {
				t.Errorf("%d daemons: %d writes a second, want %d", c.members, sum, c.want)
			}
			if writes == 0 {
				t.Errorf("%d daemons: no claim is admitted", c.members)
			}
		})
	}
}
