package pipeline

import (
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/relay"
)

// observed is a source that notes the last confidence that the engine reported. It can be paused if the source can.
type observed struct {
	relay.Source
	confidence float64
}

// Next implements relay.Source.
func (o *observed) Next() (engine.Event, error) {
	ev, err := o.Source.Next()
	if err == nil && ev.Confidence > 0 {
		o.confidence = ev.Confidence
	}
	return ev, err
}

// Pause implements relay.Pauser.
func (o *observed) Pause() {
	if p, ok := o.Source.(relay.Pauser); ok {
		p.Pause()
	}
}
