package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/declare"
)

// Key is the key of the published revision in the key-value store.
const Key = "config/current"

// replacedPrefix is the prefix of the keys that keep published revisions which daemons replaced with a newer one.
const replacedPrefix = "config-replaced/"

// ReplacedKey returns the key that keeps r after daemons replaced it. It consists of the number and the start of the
// digest.
func ReplacedKey(r Revision) string {
	return fmt.Sprintf("%s%012d-%.12s", replacedPrefix, r.Number, r.Digest)
}

// Revision is a published set of objects, identified by its number and digest.
type Revision struct {
	Number    uint64    `json:"number"`
	Digest    string    `json:"digest"`
	Publisher string    `json:"publisher"`
	Published time.Time `json:"published"`
	Body      []byte    `json:"body"` // output of declare.Encode
}

// Marshal returns the form in which the key-value store holds r.
func (r Revision) Marshal() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", r.Number, err)
	}
	return data, nil
}

// UnmarshalRevision decodes a stored revision and verifies the digest of its body.
func UnmarshalRevision(data []byte) (Revision, error) {
	var r Revision
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode revision: %w", err)
	}
	if got := declare.Digest(r.Body); got != r.Digest {
		return r, fmt.Errorf("decode revision %d: digest is %s, content has %s", r.Number, r.Digest, got)
	}
	return r, nil
}

// Newer reports whether r replaces other. Two different sets can have the same number only after the key-value store
// lost writes; the digest then breaks the tie in the same way on every daemon.
func (r Revision) Newer(other Revision) bool {
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	return r.Digest > other.Digest
}
