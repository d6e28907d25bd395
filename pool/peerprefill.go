package pool

import "time"

const (
	// minAnnouncedPrefill is the prefill time from which a prompt is announced to other daemons. Shorter ones end
	// before they would change another daemon's choice.
	minAnnouncedPrefill = 20 * time.Millisecond
	// maxPeerPrefill bounds the prefill time that a single announcement or stall can add to an endpoint.
	maxPeerPrefill = 10 * time.Second
)

// announcePrefill calls OnPrefill for a request with a long prompt.
func (p *Pool) announcePrefill(r Reservation) {
	if prefill := time.Duration(r.pending.prefillMs * float64(time.Millisecond)); p.spec.OnPrefill != nil && prefill >= minAnnouncedPrefill {
		p.spec.OnPrefill(r, prefill)
	}
}

// RecordPeerPrefill records prefill work at an endpoint that another daemon announced. It ignores unknown endpoints.
func (p *Pool) RecordPeerPrefill(id string, prefill time.Duration, now time.Time) {
	e := p.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routed.peerPrefillMs = e.routed.remainingPeerPrefillMs(now) + float64(min(prefill, maxPeerPrefill))/float64(time.Millisecond)
	e.routed.peerPrefillAt = now
}

// recordStall records that the endpoint did not begin an answer within a time. Its backlog is unknown, but is expected
// to take as long again.
func (s *routedState) recordStall(stall time.Duration, now time.Time) {
	if ms := float64(stall) / float64(time.Millisecond); ms > s.remainingPeerPrefillMs(now) {
		s.peerPrefillMs, s.peerPrefillAt = ms, now
	}
}

// remainingPeerPrefillMs returns the rest of the prefill time of other daemons' prompts, in milliseconds, if the
// endpoint processes them without a pause.
func (s *routedState) remainingPeerPrefillMs(now time.Time) float64 {
	if s.peerPrefillMs == 0 {
		return 0
	}
	return max(0, s.peerPrefillMs-float64(now.Sub(s.peerPrefillAt))/float64(time.Millisecond))
}
