package placement

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Stage of a step.
type Stage string

// Stages of a step.
const (
	// StageDrain waits until no daemon sends the version's requests to the endpoint and none is running.
	StageDrain Stage = "drain"
	// StageSend sends the order, again if its answer was lost, until a report shows its effect.
	StageSend Stage = "send"
	// StageSettled keeps a step that is over, because an attempt without an answer may still arrive.
	StageSettled Stage = "settled"
)

// Step is an order and its progress. It is recorded in the key-value service before the order is sent, so that a
// successor accounts for each order that an earlier holder may still send or have sent.
type Step struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Addr     string `json:"addr"`
	Action   Action `json:"action"`
	Version  string `json:"version"`
	Then     string `json:"then,omitempty"` // version to load there after the unload
	Adapter  bool   `json:"adapter,omitempty"`
	Stage    Stage  `json:"stage"`
	Attempts int    `json:"attempts,omitempty"`
	// Unsure says that an attempt had no answer, or that an earlier holder may have made one.
	Unsure    bool   `json:"unsure,omitempty"`
	Inherited bool   `json:"inherited,omitempty"` // from an earlier holder
	Failure   string `json:"failure,omitempty"`   // why it was given up

	since     time.Time // start of the stage
	sentAt    time.Time
	notBefore time.Time // given by the weight store's ticket
	ticket    bool      // not used yet
	waits     bool      // the ticket has a time to wait
	boot      string    // of the endpoint that the order is meant for
	accepted  bool      // the endpoint acknowledged it
	recorded  bool      // the key-value service has it
}

func (s *Step) active() bool { return s.Stage != StageSettled }

func (s *Step) enter(stage Stage, now time.Time) { s.Stage, s.since = stage, now }

// done reports whether a load report shows the effect of the order.
func (s *Step) done(l *engine.Load) bool {
	if s.Action == Role {
		return l.Role == s.Version
	}
	return slices.Contains(l.Versions, s.Version) == (s.Action == Load)
}

// stops reports whether a version at the step's endpoint gets no more requests because of the step.
func (s *Step) stops(version string) bool {
	return s.active() && (s.Action == Role || s.Action == Unload && s.Version == version)
}

// idle reports whether nothing runs that the order would interrupt.
func (s *Step) idle(l *engine.Load) bool {
	if s.Action == Role {
		return l.Running+l.Queued == 0
	}
	return running(l, s.Version) == 0
}

// order returns the command to the endpoint.
func (s *Step) order(fence uint64, token string) engine.Order {
	action := string(s.Action)
	if s.Action == Load && s.Adapter {
		action = "adapter"
	}
	return engine.Order{Action: action, Target: s.Version, Fence: fence, Token: token}
}

// running returns the number of requests of a version at an endpoint. Without counts by version, all requests may be of
// any version.
func running(l *engine.Load, version string) int {
	if l.RunningByVersion == nil {
		return l.Running + l.Queued
	}
	return l.RunningByVersion[version] + l.Queued
}

// Status of a version in one failure domain.
type Status struct {
	Need    int `json:"need"`    // replicas that the domain must have
	Ready   int `json:"ready"`   // replicas that serve
	Running int `json:"running"` // requests, the highest number of the last minutes
}

// Table is what the holder of a domain's placement duty publishes: the state of the duty, and a document for all daemons.
type Table struct {
	Domain string `json:"domain"`
	Fence  uint64 `json:"fence"`
	// Serve lists by endpoint the versions that daemons may send to it.
	Serve    map[string][]string `json:"serve"`
	Versions map[string]Status   `json:"versions"`
	Steps    []Step              `json:"steps,omitempty"`
	// Problem is why the executor is waiting; only in the state dump of the holder.
	Problem string `json:"problem,omitempty"`
}

// Encode returns the published form.
func (t Table) Encode() ([]byte, error) { return json.Marshal(t) }

// DecodeTable reads a published form. An empty one is an empty table.
func DecodeTable(body []byte) (Table, error) {
	var t Table
	if len(body) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return t, fmt.Errorf("placement table: %w", err)
	}
	return t, nil
}

// key returns the part of the table whose change is published at once.
func (t Table) key() (string, error) {
	versions := make(map[string]Status, len(t.Versions))
	for v, s := range t.Versions {
		versions[v] = Status{Need: s.Need, Ready: s.Ready}
	}
	t.Versions = versions
	t.Steps = slices.Clone(t.Steps)
	for i := range t.Steps {
		s := &t.Steps[i]
		s.Attempts, s.Unsure, s.Failure = 0, false, ""
		if s.active() {
			s.Stage = StageDrain // a successor treats active stages alike
		}
	}
	t.Problem = ""
	data, err := json.Marshal(t)
	return string(data), err
}
