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

// Record is what was decided about one declared roll-out.
type Record struct {
	ID     ID        `json:"id"`
	Step   int       `json:"step"` // index in the declared steps, -1 for none
	Halted bool      `json:"halted,omitempty"`
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"` // of the step or halt
	// Answers is the number of answers of the new version at the start of the step.
	Answers uint64 `json:"answers"`
	// Terms counts the holders of the duty that have tested the roll-out, see Controller.
	Terms int `json:"terms"`
	// Ratings counts those given before the roll-out, of both versions.
	Ratings [2]Ratings `json:"ratings"`
}

// Ratings counts the ratings of one version.
type Ratings struct {
	Rated uint64 `json:"r"`
	Poor  uint64 `json:"p"`
}

// State is the document that daemons spread.
type State struct {
	Holder  string            `json:"holder"`  // peer address that takes evidence
	Records map[string]Record `json:"records"` // by name of the roll-out
}

// Encode returns the form that is stored and spread.
func (s State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode roll-out state: %w", err)
	}
	return data, nil
}

// DecodeState reads the form that Encode returns. An empty body is an empty state.
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

// Table holds the steps in force at a daemon. It implements choose.Steps. Readers take no lock.
type Table struct {
	mu      sync.Mutex // serialises writers
	ids     map[string]ID
	halts   map[ID]Record // of the declared roll-outs
	state   State
	known   bool
	inForce atomic.Pointer[map[string]Record]
}

// SetView takes the declared roll-outs of a new configuration. A roll-out whose declaration changed starts anew at the
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

// Apply takes a newer state. A halt that the daemon knows of stays, whatever the state says about the same declaration.
func (t *Table) Apply(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state, t.known = s, true
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

// Known reports whether a state was applied.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// State returns the newest state with all halts that the daemon knows of.
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

func (t *Table) publish() {
	m := map[string]Record{}
	for name, id := range t.ids {
		halt, stopped := t.halts[id]
		r, ok := t.state.Records[name]
		switch {
		case stopped:
			m[name] = halt
		case ok && r.ID == id:
			m[name] = r
		case !t.known:
			m[name] = Record{ID: id, Step: -1}
		}
	}
	t.inForce.Store(&m)
}

// Step implements choose.Steps. As long as the daemon knows no state, which is after its start only, no new session is
// placed on a new version, since the roll-out may have been halted.
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
