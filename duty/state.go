package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bramleytrail/bramleytrail/kv"
)

// ErrSuperseded is returned when a newer holder has written the state. The term is over.
var ErrSuperseded = errors.New("duty: state belongs to a newer holder")

// ErrUndecodable is returned when the stored state can't be decoded. It stays so until a holder replaces it.
var ErrUndecodable = errors.New("duty: state can't be decoded")

// storedState is the value of a state's key.
type storedState struct {
	Fence  uint64 `json:"fence"`  // fencing token of the term that wrote it
	Number uint64 `json:"number"` // increases with each write
	Body   []byte `json:"body"`
}

// State gives a holder access to the stored state of its duty during one term. It is not safe for concurrent use.
type State struct {
	store            kv.Store
	key              string
	fence            uint64
	number           uint64
	revision         kv.Revision // of the stored entry, zero if there is none
	lastWriteUnknown bool        // the outcome of the last write is unknown
}

// OpenState reads the state and writes it back with the term's fencing token. From then on, writes of earlier holders
// fail. It returns the body that the previous holder left, nil if there is none, and ErrSuperseded if the state belongs to
// a newer term. Together with ErrUndecodable it returns a State that has not been written yet, and whose Save replaces what is stored.
func OpenState(ctx context.Context, store kv.Store, key string, fence uint64) (*State, []byte, error) {
	s := &State{store: store, key: key, fence: fence}
	old, err := s.read(ctx)
	if errors.Is(err, ErrUndecodable) {
		return s, nil, err
	}
	if err != nil {
		return nil, nil, err
	}
	s.number = old.Number
	if err := s.write(ctx, old.Body); err != nil {
		return nil, nil, err
	}
	return s, old.Body, nil
}

// ReadState returns the number and body of a state without holding the duty. The error wraps kv.ErrNotFound if there is no
// state.
func ReadState(ctx context.Context, store kv.Store, key string) (number uint64, body []byte, err error) {
	e, err := store.Get(ctx, key)
	if err != nil {
		return 0, nil, fmt.Errorf("read state %s: %w", key, err)
	}
	var s storedState
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return 0, nil, fmt.Errorf("%w: %s: %w", ErrUndecodable, key, err)
	}
	return s.Number, s.Body, nil
}

// Number returns the number of the last write. It is the version number of the document that daemons exchange.
func (s *State) Number() uint64 { return s.number }

// RaiseNumber makes the number of the next write exceed n. It is for numbers that another daemon has seen but that the
// store does not have, because it lost the write or never received it.
func (s *State) RaiseNumber(n uint64) { s.number = max(s.number, n) }

// Save replaces the body. It returns ErrSuperseded if a newer holder has written. After any other error the caller may
// retry with its current body, because only this term writes with its fencing token.
func (s *State) Save(ctx context.Context, body []byte) error {
	if s.lastWriteUnknown {
		if _, err := s.read(ctx); err != nil {
			return err
		}
		s.lastWriteUnknown = false
	}
	return s.write(ctx, body)
}

// read returns the stored state and records its revision for the next write. It returns ErrSuperseded if the state belongs
// to a newer term.
func (s *State) read(ctx context.Context) (storedState, error) {
	var old storedState
	e, err := s.store.Get(ctx, s.key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		s.revision = kv.Revision{}
		return old, nil
	case err != nil:
		return old, fmt.Errorf("read state %s: %w", s.key, err)
	}
	if err := json.Unmarshal(e.Value, &old); err != nil {
		s.revision = e.Revision
		return old, fmt.Errorf("%w: %s: %w", ErrUndecodable, s.key, err)
	}
	if old.Fence > s.fence {
		return old, ErrSuperseded
	}
	s.revision = e.Revision
	s.number = max(s.number, old.Number)
	return old, nil
}

func (s *State) write(ctx context.Context, body []byte) error {
	next := storedState{Fence: s.fence, Number: s.number + 1, Body: body}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode state %s: %w", s.key, err)
	}
	rev, err := s.store.CAS(ctx, s.key, data, s.revision, 0)
	if err != nil {
		s.lastWriteUnknown = true
		if errors.Is(err, kv.ErrConflict) {
			if _, err := s.read(ctx); err != nil { // ErrSuperseded if the conflicting writer is newer
				return err
			}
		}
		return fmt.Errorf("write state %s: %w", s.key, err)
	}
	s.revision, s.number = rev, next.Number
	return nil
}
