package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
)

// Record holds the decisions on one declared rollout.
type Record struct {
	ID     ID        `json:"id"`
	Step   int       `json:"step"` // index in the declared steps, -1 for none
	Halted bool      `json:"halted,omitempty"`
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"` // start of the step, or time of the halt
	// Answers is the number of answers of the new version at the start of the step.
	Answers uint64 `json:"answers"`
	// Terms is the number of terms of the rollout duty that have tested the rollout, see Controller.
	Terms int `json:"terms"`
	// Ratings counts the ratings given before the rollout, of the old and the new version.
	Ratings [2]Ratings `json:"ratings"`
}

// Ratings holds the numbers of all ratings and of poor ratings of one version.
type Ratings struct {
	Rated uint64 `json:"r"`
	Poor  uint64 `json:"p"`
}

// State is the document with all decisions. The holder of the rollout duty writes it, and daemons forward it to each other.
type State struct {
	Holder  string            `json:"holder"`  // peer address to which daemons send evidence
	Records map[string]Record `json:"records"` // by name of the rollout
}

// Encode returns the JSON form in which the state is stored and sent.
func (s State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode rollout state: %w", err)
	}
	return data, nil
}

// DecodeState decodes the result of Encode. An empty body gives an empty state.
func DecodeState(body []byte) (State, error) {
	s := State{Records: map[string]Record{}}
	if len(body) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("decode roll-out state: %w", err)
	}
	if s.Records == nil {
		s.Records = map[string]Record{}
	}
	return s, nil
}

// Table holds the rollout steps in force at a daemon. It implements choose.RolloutSteps and is safe for concurrent use. Step
// takes no lock.
type Table struct {
	mu       sync.Mutex    // serializes writers
	ids      map[string]ID // of the declared rollouts, by name
	halts    map[ID]Record // of the declared rollouts
	state    State
	hasState bool
	inForce  atomic.Pointer[map[string]Record] // by name of the rollout
}

// SetView sets the declared rollouts to those of a new configuration. A rollout whose declaration changed restarts at the
// declared step.
func (t *Table) SetView(v *config.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids = map[string]ID{}
	for i := range v.Set.Rollouts {
		r := &v.Set.Rollouts[i]
		t.ids[r.Name] = IDOf(r)
	}
	maps.DeleteFunc(t.halts, func(id ID, _ Record) bool {
		return !slices.Contains(slices.Collect(maps.Values(t.ids)), id)
	})
	t.publish()
}

// Apply replaces the state by a newer one. A halt that the daemon knows of stays in force, whatever the new state says
// about the same declaration.
func (t *Table) Apply(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state, t.hasState = s, true
	if t.halts == nil {
		t.halts = map[ID]Record{}
	}
	for _, r := range s.Records {
		if r.Halted {
			t.halts[r.ID] = r
		}
	}
	t.publish()
}

// HasState reports whether a state was applied since the daemon started.
func (t *Table) HasState() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasState
}

// State returns a copy of the newest state, completed by all halts that the daemon knows of.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := State{Holder: t.state.Holder, Records: maps.Clone(t.state.Records)}
	if out.Records == nil {
		out.Records = map[string]Record{}
	}
	for name, id := range t.ids {
		if r, ok := t.halts[id]; ok {
			out.Records[name] = r
		}
	}
	return out
}

// publish recomputes the records that Step reads. The caller holds t.mu.
func (t *Table) publish() {
	m := map[string]Record{}
	for name, id := range t.ids {
		halt, halted := t.halts[id]
		r, ok := t.state.Records[name]
		switch {
		case halted:
			m[name] = halt
		case ok && r.ID == id:
			m[name] = r
		case !t.hasState:
			m[name] = Record{ID: id, Step: -1}
		}
	}
	t.inForce.Store(&m)
}

// Step implements choose.RolloutSteps. Until a daemon that has just started receives a state, it returns -1, so that no new
// session is assigned to a new version: the rollout may have been halted.
func (t *Table) Step(r *object.Rollout) (int, bool) {
	m := t.inForce.Load()
	if m == nil {
		return -1, false
	}
	rec, ok := (*m)[r.Name]
	if !ok {
		return r.Step, false
	}
	return rec.Step, rec.Halted
}
