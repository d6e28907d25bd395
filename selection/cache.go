package selection

import "math"

// affinityCachedShare is the fraction of a prompt's shared tokens that counts as cached at the endpoint that their
// hash selects. All daemons send them there if they have no other information.
const affinityCachedShare = 0.9

// affinity returns the key of the endpoint that the hash of the prompt's shared parts selects among those that the
// request may go to and prefers; 0 for none.
func (m *costModel) affinity(list []Candidate) (key uint64) {
	if len(m.Parts) < 2 {
		return 0
	}
	var best uint64
	for i := range list {
		e := list[i].Endpoint
		if h := Rendezvous(m.PartsKey, e.Key); h >= best && m.allowsRelease(e.Release) && m.segment.includes(m.Request, e) {
			best, key = h, e.Key
		}
	}
	return key
}

// affinitySpread is how many times more endpoints than their share of the requests needs are selected for prompts with the
// same parts.
const affinitySpread = 4

// spreadAffinity is affinity for services whose endpoints report their speed. It marks several endpoints if the shared
// parts are frequent, because one could not serve them; which ones depends on the hash only, so that daemons agree. Frequent
// parts are worth a place in the caches of each failure domain, so only local endpoints are marked for them.
func (m *costModel) spreadAffinity(list []Candidate) {
	if len(m.Parts) < 2 {
		return
	}
	best, bestHash := -1, uint64(0)
	threshold := uint64(math.MaxUint64)
	if spread := affinitySpread * m.PartsShare; spread < 1 {
		threshold = uint64((1-spread)*float64(1<<63)) << 1
	} else {
		threshold = 0
	}
	for i := range list {
		e := list[i].Endpoint
		if m.PartsShare > 0 && !e.Local || !m.allowsRelease(e.Release) || !m.segment.includes(m.Request, e) {
			continue
		}
		h := Rendezvous(m.PartsKey, e.Key)
		if h >= bestHash {
			best, bestHash = i, h
		}
		list[i].affine = m.PartsShare > 0 && h >= threshold
	}
	if best >= 0 {
		list[best].affine = true
	}
}

// uncached returns the number of prompt tokens that the candidate probably has to process.
func (r *Request) uncached(c *Candidate, affinityKey uint64) int64 {
	uncached, shared := r.Prompt, int64(0)
	cached := min(c.CachedParts, len(r.Parts))
	for _, tokens := range r.Parts[:cached] {
		uncached -= tokens
	}
	if (c.Key == affinityKey || c.affine) && cached < len(r.Parts)-1 {
		for _, tokens := range r.Parts[cached : len(r.Parts)-1] {
			shared += tokens
		}
	}
	return max(0, uncached-int64(affinityCachedShare*float64(shared)))
}

// Rendezvous combines two hashes with the finalizer of SplitMix64.
func Rendezvous(a, b uint64) uint64 { return SplitMix64(a + SplitMix64(b)) }

// SplitMix64 returns a hash of z.
func SplitMix64(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
