package object

import (
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// RepeatPolicy tells how often a call of a route may run.
type RepeatPolicy string

// Repeat policies.
const (
	RepeatAny   RepeatPolicy = "any"  // the call may run any number of times
	RepeatNever RepeatPolicy = "once" // the call runs at most once
)

// Route sends the requests for a host and a path prefix to services. Their bodies are opaque to the router, which
// learns what it needs to know about a request from pipeline.Metadata.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"` // begins and ends with a slash
	// Backends are the services that share the route's requests by weight.
	Backends []Backend    `json:"backends"`
	Repeat   RepeatPolicy `json:"repeat"`
	// Stream means that answers are streams of numbered events. With Resumable, a stream that breaks may continue at
	// another endpoint after the last event received.
	Stream    bool `json:"stream,omitempty"`
	Resumable bool `json:"resumable,omitempty"`
	// Attempts is the largest number of endpoints to which one request may be sent.
	Attempts int `json:"attempts"`
	// Timeout bounds the time until the final answer.
	Timeout time.Duration `json:"timeout"`
	// An answer is on time for its callers if its first part arrives within TargetLatency and no pause in its stream
	// exceeds TargetGap.
	TargetLatency time.Duration `json:"target"`
	TargetGap     time.Duration `json:"gap,omitempty"`
	// Rank orders routes under overload; 0 is the most urgent.
	Rank int `json:"rank"`
	// Models are the models that may answer, smallest first. It is empty if the caller names the model or the route uses
	// none.
	Models []string `json:"models,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
}

// MayRepeat reports whether a request may be sent again after it may already have run.
func (r *Route) MayRepeat() bool { return r.Repeat == RepeatAny || r.Stream && r.Resumable }

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ReleaseState tells how far a release has come.
type ReleaseState string

// States of a release.
const (
	ReleaseRunning    ReleaseState = "running"
	ReleaseCompleted  ReleaseState = "completed"
	ReleaseRolledBack ReleaseState = "rolled back"
)

// Release moves a service's requests to endpoints that run another version of its software. The platform starts
// these endpoints alongside the old ones.
type Release struct {
	Service       string        `json:"service"`
	TargetVersion string        `json:"target"`   // version of the software
	Duration      time.Duration `json:"duration"` // time within which the release has to end
	State         ReleaseState  `json:"state"`
	// Order identifies the operators' order, so that a later order for the same version is a different release.
	Order kv.Revision `json:"order"`
	// StateRevision is the revision of the entry with the state, zero if there is none yet. A new state is only stored over that entry.
	StateRevision kv.Revision `json:"stateRevision,omitzero"`
	// Announced means that the state has been reported to the operators.
	Announced bool `json:"announced,omitempty"`
}
