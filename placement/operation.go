package placement

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Stage is the stage of an operation.
type Stage string

// The stages of an operation, in their order.
const (
	// StageDrain waits until no daemon sends requests of the version to the endpoint and none is running there.
	StageDrain Stage = "drain"
	// StageSend sends the order, and repeats it, until a load report shows its effect.
	StageSend Stage = "send"
	// StageSettled keeps an operation that has ended, because an unanswered attempt may still arrive, or to delay
	// another load after a failed one.
	StageSettled Stage = "settled"
)

// Operation is an order and its progress. It is recorded in the key-value store before the order is sent, so that the
// next holder of the duty accounts for each order that an earlier one sent or may still send.
type Operation struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Addr     string `json:"addr"`
	Action   Action `json:"action"`
	Version  string `json:"version"`
	ThenLoad string `json:"then,omitempty"` // version to load at the endpoint after the unload
	Adapter  bool   `json:"adapter,omitempty"`
	Stage    Stage  `json:"stage"`
	Attempts int    `json:"attempts,omitempty"`
	// OutcomeUnknown is set if an attempt had no answer, or if an earlier holder may have made an attempt.
	OutcomeUnknown bool   `json:"unsure,omitempty"`
	Inherited      bool   `json:"inherited,omitempty"` // taken over from an earlier holder
	Failure        string `json:"failure,omitempty"`   // why the last attempt failed, or the operation was given up

	stageStart    time.Time // start of the stage, or when the operation was recorded, if later
	sentAt        time.Time
	notBefore     time.Time // start of the ticket's validity; no attempt is made before it
	hasTicket     bool      // holds an unused ticket of the weight store
	ticketDelayed bool      // the ticket was granted for a later time
	boot          string    // boot ID of the endpoint process that the order is for
	accepted      bool      // the endpoint accepted an attempt
	recorded      bool      // stored in the key-value store
}

func (op *Operation) active() bool { return op.Stage != StageSettled }

func (op *Operation) enter(stage Stage, now time.Time) { op.Stage, op.stageStart = stage, now }

// applied reports whether a load report shows the order's effect.
func (op *Operation) applied(l *engine.Load) bool {
	if op.Action == Role {
		return l.Role == op.Version
	}
	return slices.Contains(l.Versions, op.Version) == (op.Action == Load)
}

// drains reports whether the operation keeps requests of a version away from its endpoint.
func (op *Operation) drains(version string) bool {
	return op.active() && (op.Action == Role || op.Action == Unload && op.Version == version)
}

// drained reports whether no request runs at the endpoint that the order would interrupt.
func (op *Operation) drained(l *engine.Load) bool {
	if op.Action == Role {
		return l.Running+l.Queued == 0
	}
	return runningRequests(l, op.Version) == 0
}

// engineOrder returns the order in the form that the endpoint accepts. The token authenticates the sender; it may be empty.
func (op *Operation) engineOrder(fence uint64, token string) engine.Order {
	action := string(op.Action)
	if op.Action == Load && op.Adapter {
		action = "adapter"
	}
	return engine.Order{Action: action, Target: op.Version, Fence: fence, Token: token}
}

// runningRequests returns the number of running and queued requests at an endpoint that may be of a version. Queued
// requests are not reported by version, so all of them count. Without counts by version, all running ones count as well.
func runningRequests(l *engine.Load, version string) int {
	if l.RunningByVersion == nil {
		return l.Running + l.Queued
	}
	return l.RunningByVersion[version] + l.Queued
}

// Status describes a version in one failure domain.
type Status struct {
	Need    int `json:"need"`    // replicas that the domain must have ready
	Ready   int `json:"ready"`   // replicas that serve
	Running int `json:"running"` // recent peak of running requests, decaying over 10 minutes
}

// Table is published by the holder of a failure domain's placement duty. It is both the stored state of the duty, from
// which the next holder continues, and the document by which all daemons route requests.
type Table struct {
	Domain string `json:"domain"`
	Fence  uint64 `json:"fence"`
	// Serve lists, by endpoint, the versions whose requests daemons may send to it.
	Serve      map[string][]string `json:"serve"`
	Versions   map[string]Status   `json:"versions"`
	Operations []Operation         `json:"steps,omitempty"`
	// Problem says why the executor is waiting. It is set only in the holder's state dump.
	Problem string `json:"problem,omitempty"`
}

// Encode returns the table as JSON, the form in which it is published.
func (t Table) Encode() ([]byte, error) { return json.Marshal(t) }

// DecodeTable decodes a published table. An empty body gives an empty table.
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

// changeKey returns an encoding of the parts of the table whose changes are published at once. Counts of running
// requests and the progress of attempts are not among them.
func (t Table) changeKey() (string, error) {
	versions := make(map[string]Status, len(t.Versions))
	for v, s := range t.Versions {
		versions[v] = Status{Need: s.Need, Ready: s.Ready}
	}
	t.Versions = versions
	t.Operations = slices.Clone(t.Operations)
	for i := range t.Operations {
		op := &t.Operations[i]
		op.Attempts, op.OutcomeUnknown, op.Failure = 0, false, ""
		if op.active() {
			op.Stage = StageDrain // the next holder treats both active stages alike
		}
	}
	t.Problem = ""
	data, err := json.Marshal(t)
	return string(data), err
}
