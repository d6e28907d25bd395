package cachemove

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// cacheNameBytes is the length of the hash in a cache's name. At 128 bits no team can find a name that another one uses.
const cacheNameBytes = 16

// Session describes a session when its next turn arrives, as far as it is known.
type Session struct {
	Team string
	ID   string // empty for a request without a session
	// Version and EndpointHash identify the version and the endpoint that served the last turn, the latter by HashEndpoint;
	// EndpointHash is 0 if the endpoint is not known.
	Version      string
	EndpointHash uint64
	Tokens       int64 // length of the conversation that the endpoint has cached
}

// CacheName returns the name under which endpoints keep the session's KV cache for a version, or "" for a request without a
// session. Caches of different teams, sessions or versions never have the same name.
func (s Session) CacheName(version string) string {
	if s.ID == "" {
		return ""
	}
	h := sha256.New()
	for _, part := range []string{s.Team, s.ID, version} {
		digest := sha256.Sum256([]byte(part)) // of fixed length, so that the boundaries of the parts are unambiguous
		_, _ = h.Write(digest[:])             // never fails
	}
	return hex.EncodeToString(h.Sum(nil)[:cacheNameBytes])
}

// HashEndpoint returns the hash of an endpoint's ID, which is never 0. Session tokens contain it instead of the ID, because
// callers can read them.
func HashEndpoint(endpoint string) uint64 { return max(1, xxhash.Sum64String(endpoint)) }
