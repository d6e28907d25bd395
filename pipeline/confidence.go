package pipeline

import (
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/relay"
)

// confidenceRecorder is a source that records the last confidence that the engine reported. Pause has an effect only if the
// wrapped source is a relay.Pauser.
type confidenceRecorder struct {
	relay.Source
	confidence float64
}

// Next implements relay.Source.
func (r *confidenceRecorder) Next() (engine.Event, error) {
	ev, err := r.Source.Next()
	if err == nil && ev.Confidence > 0 {
		r.confidence = ev.Confidence
	}
	return ev, err
}

// Pause implements relay.Pauser.
func (r *confidenceRecorder) Pause() {
	if p, ok := r.Source.(relay.Pauser); ok {
		p.Pause()
	}
}
