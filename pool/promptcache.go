package pool

import (
	"time"

	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/selection"
)

const (
	// cachedPartTTL is the age at which a prompt part that was sent to an endpoint no longer counts as cached there.
	cachedPartTTL = 15 * time.Second
	// maxCachedParts bounds the prompt parts that are remembered for an endpoint. Those that a team's requests push out are its own once it
	// has the most; their next prompts may go to an endpoint that does not have them.
	maxCachedParts = 512
)

// partKey identifies a prompt part of a model with the given hash.
func partKey(model, id uint64) uint64 {
	return selection.SplitMix64(model + selection.SplitMix64(id))
}

// countCached returns the number of leading prompt parts that are probably in the endpoint's cache. A part counts as
// cached only if all parts before it do.
func (s *routedState) countCached(parts []uint64, now time.Time) int {
	if s.cachedParts == nil {
		return 0
	}
	for i, key := range parts {
		if at, ok := s.cachedParts.Get(key); !ok || now.Sub(at) > cachedPartTTL {
			return i
		}
	}
	return len(parts)
}

// recordParts records that the endpoint is sent a prompt of a team. Its parts count as cached there from now on.
func (s *routedState) recordParts(team uint32, parts []uint64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	if s.cachedParts == nil {
		s.cachedParts = keyed.New[uint64, time.Time](maxCachedParts)
	}
	for _, key := range parts {
		s.cachedParts.Put(team, key, now)
	}
}
