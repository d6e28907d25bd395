package pool

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Guards against callers with prompts larger than an endpoint's memory, each refusal of which kept all other requests from the endpoint.
func TestRefusedPromptKeepsOnlyLargeOnesAway(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 1, 18, now, nil)
	refuse := func(prompt int64, load *engine.SlotLoad) {
		for range 2 { // both endpoints
			r, _, ok := p.Pick(routedQuery("", prompt), now)
			if !ok {
				t.Fatal("no endpoint for the first requests")
			}
			r.RecordRoutedHeader(time.Millisecond, false, load, 0, now)
			r.Release(Busy, now)
		}
	}
	refuse(1_000_000, &engine.SlotLoad{Running: 2, Slots: 8})
	if _, _, ok := p.Pick(routedQuery("", 1_000_000), now); ok {
		t.Error("a prompt of the size that was refused is sent again at once")
	}
	r, _, ok := p.Pick(routedQuery("", 500), now)
	if !ok {
		t.Fatal("a small prompt is kept away")
	}
	r.Release(Succeeded, now)
	if _, _, ok := p.Pick(routedQuery("", 1_000_000), now.Add(2*busyBackoff)); !ok {
		t.Error("a large prompt is kept away for longer than the pause")
	}
	now = now.Add(time.Second)
	refuse(500, &engine.SlotLoad{Running: 8, Slots: 8})
	if _, _, ok := p.Pick(routedQuery("", 10), now); ok {
		t.Error("a request is sent to endpoints that have no free slots")
	}
}
