package release

import (
	"sync"
	"time"
)

// maxSessions bounds the sessions that are remembered; it is that of several seconds at 6,500 requests a second.
const maxSessions = 1 << 15

// Sessions are the sessions that are in use on the old version of a service, as far as this daemon knows. A session in
// use keeps its version, so that only the others can be on trial.
type Sessions struct {
	mu    sync.Mutex
	until map[uint64]time.Time
}

// NewSessions returns an empty set.
func NewSessions() *Sessions { return &Sessions{until: map[uint64]time.Time{}} }

// Use records that a session is in use until a time.
func (s *Sessions) Use(session uint64, until, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) >= maxSessions {
		s.trim(now)
	}
	if len(s.until) < maxSessions {
		s.until[session] = until
	}
}

func (s *Sessions) trim(now time.Time) {
	for id, until := range s.until {
		if now.After(until) {
			delete(s.until, id)
		}
	}
}

// InUse reports whether a session is in use on the old version.
func (s *Sessions) InUse(session uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[session])
}
