// Package session encodes and verifies the signed session tokens that keep a session on its model version, so that no
// record of the session has to be stored.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrBadToken is returned for a token that is malformed or too long, or whose signature is wrong.
var ErrBadToken = errors.New("session: bad token")

const (
	tokenPrefix = "bt1."
	// maxTokenBytes is enough for a token with 18 versions whose identifier and names have the maximum length.
	maxTokenBytes = 4096
	maxIDBytes    = 128
)

// Token is the content of a session token.
type Token struct {
	ID       string         `json:"i"`
	Team     string         `json:"t"`
	Issued   time.Time      `json:"s"`
	Versions []string       `json:"v"` // one version for each model that the session has used
	Cache    *CacheLocation `json:"c,omitempty"`
}

// CacheLocation identifies the endpoint that holds the KV cache of the session's last turn, for the last one of the
// token's versions.
type CacheLocation struct {
	Endpoint uint64 `json:"e"` // hash of the endpoint's ID
	Tokens   int64  `json:"n"` // estimated length of the conversation so far
}

// Unsigned reports whether t holds only the caller's own identifier, which does not determine the session's version.
func (t Token) Unsigned() bool { return t.ID != "" && t.Issued.IsZero() }

// Signer issues and verifies tokens. All daemons of a deployment share its key. It is safe for concurrent use.
type Signer struct{ key []byte }

// NewSigner returns a signer with the given secret key, which it copies.
func NewSigner(key []byte) *Signer { return &Signer{key: append([]byte(nil), key...)} }

// Encode returns the signed form of t.
func (s *Signer) Encode(t Token) (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("session: encode token: %w", err)
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return tokenPrefix + payload + "." + s.sign(payload), nil
}

func (s *Signer) sign(payload string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:16])
}

// Parse decodes the value of a Bramley-Session header and verifies its signature. A value without the token prefix is the
// caller's own identifier; the result then has only an ID. An empty value gives the zero token. Any error wraps
// ErrBadToken.
func (s *Signer) Parse(value string) (Token, error) {
	value = strings.TrimSpace(value) // some HTTP servers return a space for an empty header
	if !strings.HasPrefix(value, tokenPrefix) {
		if len(value) > maxIDBytes {
			return Token{}, fmt.Errorf("%w: identifier has more than %d bytes", ErrBadToken, maxIDBytes)
		}
		return Token{ID: value}, nil
	}
	if len(value) > maxTokenBytes {
		return Token{}, fmt.Errorf("%w: more than %d bytes", ErrBadToken, maxTokenBytes)
	}
	payload, sig, ok := strings.Cut(strings.TrimPrefix(value, tokenPrefix), ".")
	if !ok || !hmac.Equal([]byte(sig), []byte(s.sign(payload))) {
		return Token{}, ErrBadToken
	}
	data, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return Token{}, ErrBadToken
	}
	var t Token
	if err := json.Unmarshal(data, &t); err != nil {
		return Token{}, ErrBadToken
	}
	return t, nil
}

// UnitHash hashes a session identifier evenly to [0, 1). A rollout step with share s assigns the sessions whose hash is
// below s to the new version.
func UnitHash(id string) float64 { return unitInterval(xxhash.Sum64String(id)) }

// ScopedUnitHash is UnitHash(scope + "/" + id) without an allocation. Hashes in different scopes are independent.
func ScopedUnitHash(scope, id string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(scope) // never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(id)
	return unitInterval(d.Sum64())
}

// unitInterval maps a 64-bit hash to [0, 1), with the 53 bits of precision of a float64.
func unitInterval(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}
