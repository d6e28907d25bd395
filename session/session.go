// Package session encodes the signed session tokens that keep a session on its version without a stored record.
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

// ErrBadToken says that a token is malformed or that its signature is wrong.
var ErrBadToken = errors.New("session: bad token")

const (
	tokenPrefix = "bt1."
	// maxTokenBytes admits a token with 18 versions, an identifier and names of the greatest length.
	maxTokenBytes = 4096
	maxIDBytes    = 128
)

// Token is the content of a session token.
type Token struct {
	ID       string    `json:"i"`
	Team     string    `json:"t"`
	Issued   time.Time `json:"s"`
	Versions []string  `json:"v"` // one version for each model that the session has used
	Cache    *Cache    `json:"c,omitempty"`
}

// Cache says where the KV cache of the session's last turn is, for the last one of the token's versions.
type Cache struct {
	Endpoint uint64 `json:"e"` // hash of the endpoint's identity
	Tokens   int64  `json:"n"` // of the conversation so far, estimated
}

// Unsigned reports whether t is the caller's own identifier, which says nothing about the session's version.
func (t Token) Unsigned() bool { return t.ID != "" && t.Issued.IsZero() }

// Signer issues and verifies tokens. All daemons of a deployment share its key.
type Signer struct{ key []byte }

// NewSigner returns a signer with a shared secret key.
func NewSigner(key []byte) *Signer { return &Signer{key: append([]byte(nil), key...)} }

// Encode returns the signed form of t.
func (s *Signer) Encode(t Token) (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("session: %w", err)
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return tokenPrefix + payload + "." + s.sign(payload), nil
}

func (s *Signer) sign(payload string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:16])
}

// Parse reads a Bramley-Session header. A value without the token prefix is the caller's own identifier: the result
// then has only ID. An empty value gives the zero token.
func (s *Signer) Parse(value string) (Token, error) {
	value = strings.TrimSpace(value) // the HTTP engine gives a blank for an empty header
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

// Point maps a session identifier to [0, 1). A roll-out step with share s takes the sessions below s.
func Point(id string) float64 { return point(xxhash.Sum64String(id)) }

// PointIn is Point of scope, a slash and id. It doesn't allocate.
func PointIn(scope, id string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(scope) // never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(id)
	return point(d.Sum64())
}

func point(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}
