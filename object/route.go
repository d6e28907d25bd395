package object

import "time"

// Repeat says how often a call of a route may run.
type Repeat string

// Values of Repeat.
const (
	RepeatAny  Repeat = "any"  // the call may run any number of times
	RepeatOnce Repeat = "once" // the call runs at most once
)

// Route sends the requests for a host and path to a service. Their bodies are opaque to the router; what it needs to
// know of them comes as metadata, see pipeline.Metadata.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"` // begins and ends with a slash
	// Backends are the services that share the route's requests by weight.
	Backends []Backend `json:"backends"`
	Repeat   Repeat    `json:"repeat"`
	// Stream says that answers are streams of numbered events. One that breaks may go on at another endpoint after its
	// last event if Resumable is set.
	Stream    bool `json:"stream,omitempty"`
	Resumable bool `json:"resumable,omitempty"`
	// Attempts is the number of endpoints to which one request may be sent.
	Attempts int `json:"attempts"`
	// Timeout bounds the time until the final answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the time until the first part of an answer, and Gap the longest pause in a stream, with which callers count
	// the answer as on time.
	Target time.Duration `json:"target"`
	Gap    time.Duration `json:"gap,omitempty"`
	// Rank orders routes under overload; 0 is the most urgent.
	Rank int `json:"rank"`
	// Models are the models that may answer, smallest first. Empty if the caller names the model, or there is none.
	Models []string `json:"models,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool { return r.Repeat == RepeatAny || r.Stream && r.Resumable }

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ReleaseState is the state of a release.
type ReleaseState string

// States of a release.
const (
	ReleaseRunning    ReleaseState = "running"
	ReleaseCompleted  ReleaseState = "completed"
	ReleaseRolledBack ReleaseState = "rolled back"
)

// Release moves a service's requests to endpoints that run another version of its software. The platform starts them
// beside the old ones.
type Release struct {
	Service  string        `json:"service"`
	Target   string        `json:"target"`   // version of the software
	Duration time.Duration `json:"duration"` // within which the release has to end
	State    ReleaseState  `json:"state"`
	// Order identifies the operators' order, so that a later one for the same target is another release.
	Order uint64 `json:"order"`
	// Announced says that operators were told of the state.
	Announced bool `json:"announced,omitempty"`
}
