package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityCachedShare is the fraction of a prompt's shared tokens that counts as cached at the endpoint that their
	// hash selects. All daemons send them there if they have no other information.
	affinityCachedShare = 0.7
	// cachedPartTTL is the age at which a prompt part that was sent to an endpoint no longer counts as cached there.
	cachedPartTTL = 15 * time.Second
	// maxCachedParts bounds the prompt parts that are remembered for an endpoint.
	maxCachedParts = 512
)

func partKey(model string, id uint64) uint64 {
	return splitMix64(xxhash.Sum64String(model) + splitMix64(id))
}

// uncachedTokens returns the number of prompt tokens that the endpoint probably has to process. A part counts as cached
// only if all parts before it do.
func (e *endpoint) uncachedTokens(query *Query, now time.Time) int64 {
	q := query.Routed
	uncached, shared := query.Prompt, int64(0)
	for i, p := range q.Parts {
		at, ok := e.routed.cachedParts[partKey(q.Model, p.ID)]
		if !ok || now.Sub(at) > cachedPartTTL {
			if e.key == q.affinityKey && i < len(q.Parts)-1 {
				for _, later := range q.Parts[i : len(q.Parts)-1] {
					shared += later.Tokens
				}
			}
			break
		}
		uncached -= p.Tokens
	}
	return max(0, uncached-int64(affinityCachedShare*float64(shared)))
}

// recordParts records that the endpoint is sent a prompt. Its parts count as cached there from now on.
func (s *routedState) recordParts(q *RoutedQuery, now time.Time) {
	if len(q.Parts) == 0 {
		return
	}
	if s.cachedParts == nil {
		s.cachedParts = map[uint64]time.Time{}
	}
	for _, p := range q.Parts {
		s.cachedParts[partKey(q.Model, p.ID)] = now
	}
	if len(s.cachedParts) > maxCachedParts {
		for k, at := range s.cachedParts {
			if now.Sub(at) > cachedPartTTL || len(s.cachedParts) > maxCachedParts {
				delete(s.cachedParts, k)
			}
		}
	}
}
