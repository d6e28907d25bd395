package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bramleytrail/bramleytrail/kv"
)

// ErrSuperseded says that a newer holder has written the state.
var ErrSuperseded = errors.New("duty: state belongs to a newer holder")

// stored is the value of a state's key.
type stored struct {
	Fence  uint64 `json:"fence"`  // of the term that wrote it
	Number uint64 `json:"number"` // increases with each write
	Body   []byte `json:"body"`
}

// State is a holder's access to the state of its duty during one term. It is used by one goroutine.
type State struct {
	store    kv.Store
	key      string
	fence    uint64
	number   uint64
	revision uint64 // of the stored entry, 0 if there is none
	unsure   bool   // the outcome of the last write is unknown
}

// Open reads the state and marks it with the term's fencing number. From then on, the compare-and-swap of an earlier
// holder fails. It returns the body that the earlier holder left, nil if there is none.
func Open(ctx context.Context, store kv.Store, key string, fence uint64) (*State, []byte, error) {
	s := &State{store: store, key: key, fence: fence}
	old, err := s.read(ctx)
	if err != nil {
		return nil, nil, err
	}
	s.number = old.Number
	if err := s.write(ctx, old.Body); err != nil {
		return nil, nil, err
	}
	return s, old.Body, nil
}

// Read returns the number and body of a state without a claim to it. It returns kv.ErrNotFound if there is none.
func Read(ctx context.Context, store kv.Store, key string) (number uint64, body []byte, err error) {
	e, err := store.Get(ctx, key)
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", key, err)
	}
	var s stored
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", key, err)
	}
	return s.Number, s.Body, nil
}

// Number returns the number of the last write. It serves as the version of a document that is spread.
func (s *State) Number() uint64 { return s.number }

// RaiseNumber makes the next write's number higher than n, which another daemon has seen before the store lost it.
func (s *State) RaiseNumber(n uint64) { s.number = max(s.number, n) }

// Save replaces the body. It returns ErrSuperseded if a newer holder has written; after any other error the caller may
// try again with its current body, because only this term writes with its fencing number.
func (s *State) Save(ctx context.Context, body []byte) error {
	if s.unsure {
		if _, err := s.read(ctx); err != nil {
			return err
		}
		s.unsure = false
	}
	return s.write(ctx, body)
}

// read learns the revision of the stored entry and refuses the state of a newer term.
func (s *State) read(ctx context.Context) (stored, error) {
	var old stored
	e, err := s.store.Get(ctx, s.key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		s.revision = 0
		return old, nil
	case err != nil:
		return old, fmt.Errorf("read %s: %w", s.key, err)
	}
	if err := json.Unmarshal(e.Value, &old); err != nil {
		return old, fmt.Errorf("read %s: %w", s.key, err)
	}
	if old.Fence > s.fence {
		return old, ErrSuperseded
	}
	s.revision = e.Revision
	s.number = max(s.number, old.Number)
	return old, nil
}

func (s *State) write(ctx context.Context, body []byte) error {
	next := stored{Fence: s.fence, Number: s.number + 1, Body: body}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("write %s: %w", s.key, err)
	}
	rev, err := s.store.CAS(ctx, s.key, data, s.revision, 0)
	if err != nil {
		s.unsure = true // after a conflict, the read tells whether the writer was newer
		if errors.Is(err, kv.ErrConflict) {
			if _, err := s.read(ctx); err != nil {
				return err
			}
		}
		return fmt.Errorf("write %s: %w", s.key, err)
	}
	s.revision, s.number = rev, next.Number
	return nil
}
