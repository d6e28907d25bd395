package cachemove

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// nameBytes is the length of the hash in a cache's name: 128 bits, so that no team can find a name of another one.
const nameBytes = 16

// Session is what is known of a session when its next turn arrives.
type Session struct {
	Team string
	ID   string // empty for a request without a session
	// Version and Endpoint say which endpoint, by its Hash, served the last turn with which version; 0 if it is not known.
	Version  string
	Endpoint uint64
	Tokens   int64 // of the conversation that the endpoint cached
}

// Name is the name under which endpoints keep the session's KV cache for a version. Caches of different teams, sessions
// or versions never have the same name.
func (s Session) Name(version string) string {
	if s.ID == "" {
		return ""
	}
	h := sha256.New()
	for _, part := range []string{s.Team, s.ID, version} {
		sum := sha256.Sum256([]byte(part)) // of fixed length, so that parts can't be shifted into one another
		_, _ = h.Write(sum[:])             // never fails
	}
	return hex.EncodeToString(h.Sum(nil)[:nameBytes])
}

// Hash identifies an endpoint in session tokens, which callers can read.
func Hash(endpoint string) uint64 { return max(1, xxhash.Sum64String(endpoint)) }
