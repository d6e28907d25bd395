package release

import (
	"sync"
	"time"
)

// maxSessions bounds the sessions that are kept. It suffices for several seconds at 6,500 requests a second.
const maxSessions = 1 << 15

// Sessions is the set of sessions that are in use on the old version of a service, as far as this daemon knows. A session
// in use keeps its version, so that only other sessions can be in the canary. It is safe for concurrent use.
type Sessions struct {
	mu    sync.Mutex
	until map[uint64]time.Time // by session
}

// NewSessions returns an empty set.
func NewSessions() *Sessions { return &Sessions{until: map[uint64]time.Time{}} }

// MarkInUse records that a session is in use until the given time. It drops the record if maxSessions are in use.
func (s *Sessions) MarkInUse(session uint64, until, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) >= maxSessions {
		s.dropExpired(now)
	}
	if len(s.until) < maxSessions {
		s.until[session] = until
	}
}

// dropExpired removes sessions that are no longer in use. The caller holds s.mu.
func (s *Sessions) dropExpired(now time.Time) {
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
