package pool

import (
	"time"

	"github.com/bramleytrail/bramleytrail/selection"
)

const (
	// cachedPartTTL is the age at which a prompt part that was sent to an endpoint no longer counts as cached there.
	cachedPartTTL = 15 * time.Second
	// maxCachedParts bounds the prompt parts that are remembered for an endpoint.
	maxCachedParts = 512
)

// partKey identifies a prompt part of a model with the given hash.
func partKey(model, id uint64) uint64 {
	return selection.SplitMix64(model + selection.SplitMix64(id))
}

// countCached returns the number of leading prompt parts that are probably in the endpoint's cache. A part counts as
// cached only if all parts before it do.
func (s *routedState) countCached(parts []uint64, now time.Time) int {
	for i, key := range parts {
		if at, ok := s.cachedParts[key]; !ok || now.Sub(at) > cachedPartTTL {
			return i
		}
	}
	return len(parts)
}

// recordParts records that the endpoint is sent a prompt. Its parts count as cached there from now on.
func (s *routedState) recordParts(parts []uint64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	if s.cachedParts == nil {
		s.cachedParts = map[uint64]time.Time{}
	}
	for _, key := range parts {
		s.cachedParts[key] = now
	}
	if len(s.cachedParts) > maxCachedParts {
		for k, at := range s.cachedParts {
			if now.Sub(at) > cachedPartTTL || len(s.cachedParts) > maxCachedParts {
				delete(s.cachedParts, k)
			}
		}
	}
}
