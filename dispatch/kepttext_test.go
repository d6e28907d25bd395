package dispatch

import (
	"math/rand/v2"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// noMemory refuses all memory.
type noMemory struct{}

func (noMemory) Extend(int64) bool { return false }
func (noMemory) Return(int64)      {}

// Guards against an answer that ends because its text can't be kept, and against one that another endpoint continues without what was sent.
func TestAnswerWithoutMemoryForItsText(t *testing.T) {
	for _, broken := range []bool{false, true} {
		client := &scriptedClient{rnd: rand.New(rand.NewPCG(1, 2)), fail: func(*rand.Rand) error { return nil }, buffered: true}
		read := 0
		client.cut = func(*rand.Rand) error {
			if broken && read == 3 {
				return engine.ErrFailed
			}
			return nil
		}
		f, _, in := newFixture(client, 2, object.EndpointLimits{Slots: 4, ColdSlots: 4})
		in.Answer = intake.NewAllowance(noMemory{})
		in.Answer.Use(4 << 10) // what a request may hold at least
		a, err := f.Do(t.Context(), in)
		for ; err == nil; read++ {
			_, err = a.Next()
		}
		switch {
		case !broken && read != scriptedTokens+1:
			t.Errorf("the answer ended after %d events with %v", read-1, err)
		case broken && (result.From(err).Code != result.StreamBroken || result.From(err).Ran != result.DidRun):
			t.Errorf("error %v of a broken answer, want code %d and that it ran", err, result.StreamBroken)
		}
		a.Close()
	}
}
