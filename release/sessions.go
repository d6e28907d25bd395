package release

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/keyed"
)

// maxSessions bounds the sessions that are kept. It suffices for several seconds at 6,500 requests a second.
const maxSessions = 1 << 15

// Sessions is the set of sessions that are in use on the old version of a service, as far as this daemon knows. A session
// in use keeps its version, so that only other sessions can be in the canary. Of a full set, the least recently used session of the team with
// the most sessions is dropped: its next request may go to the new version. It is safe for concurrent use.
type Sessions struct {
	mu    sync.Mutex
	until *keyed.Table[uint64, time.Time] // by session
}

// NewSessions returns an empty set.
func NewSessions() *Sessions { return &Sessions{until: keyed.New[uint64, time.Time](maxSessions)} }

// MarkInUse records that a session of a team, see keyed.OwnerOf, is in use until the given time.
func (s *Sessions) MarkInUse(team uint32, session uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until.Put(team, session, until)
}

// InUse reports whether a session is in use on the old version.
func (s *Sessions) InUse(session uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until.Get(session)
	return ok && now.Before(until)
}

// PushedOut returns the number of sessions that were dropped because the set was full.
func (s *Sessions) PushedOut() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until.PushedOut()
}
