package selection

// affinityCachedShare is the fraction of a prompt's shared tokens that counts as cached at the endpoint that their
// hash selects. All daemons send them there if they have no other information.
const affinityCachedShare = 0.7

// affinity returns the key of the endpoint that the hash of the prompt's shared parts selects among those that the
// request may go to and prefers; 0 for none.
func (r *Request) affinity(list []Candidate) (key uint64) {
	if len(r.Parts) < 2 {
		return 0
	}
	var best uint64
	var segment segmentBounds
	for i := range list {
		e := list[i].Endpoint
		if h := Rendezvous(r.PartsKey, e.Key); h >= best && r.allowsRelease(e.Release) && segment.includes(r, e) {
			best, key = h, e.Key
		}
	}
	return key
}

// uncached returns the number of prompt tokens that the candidate probably has to process.
func (r *Request) uncached(c *Candidate, affinityKey uint64) int64 {
	uncached, shared := r.Prompt, int64(0)
	cached := min(c.CachedParts, len(r.Parts))
	for _, tokens := range r.Parts[:cached] {
		uncached -= tokens
	}
	if c.Key == affinityKey && cached < len(r.Parts)-1 {
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
