package kv

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Revision is a revision of the store. Era counts the restores of the store from a backup: each restore loses the newest writes, and the
// store assigns their numbers again. Revisions are ordered by era, then by number. The zero value means "no entry" or "from the start".
//
// A revision of era 0 is encoded as its number, in JSON and in MessagePack, so that it is compatible with encodings that have no era.
type Revision struct{ Era, Number uint64 }

// tokenNumberBits is the number of bits of a token that hold the number. The era above them has 13 bits, so that a token is below 2^53
// and exact as a JSON number.
const tokenNumberBits = 40

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns -1 if r is before o, 1 if it is after o, and 0 if they are the same.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Max returns the later one of r and o.
func (r Revision) Max(o Revision) Revision {
	if r.Compare(o) < 0 {
		return o
	}
	return r
}

// Token returns the fencing token of a holder that acquired its duty at r. Tokens are in the order of their revisions.
func (r Revision) Token() uint64 { return r.Era<<tokenNumberBits | r.Number }

// String returns the number, preceded by the era and a slash unless the era is 0. ParseRevision is its inverse.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "/" + number
}

// ParseRevision parses the result of Revision.String.
func ParseRevision(text string) (Revision, error) {
	var r Revision
	era, number, hasEra := strings.Cut(text, "/")
	if !hasEra {
		era, number = "0", text
	}
	var err error
	if r.Era, err = strconv.ParseUint(era, 10, 64); err == nil {
		r.Number, err = strconv.ParseUint(number, 10, 64)
	}
	if err != nil {
		return Revision{}, fmt.Errorf("parse revision %q: %w", text, err)
	}
	return r, nil
}

// MarshalJSON implements json.Marshaler: a number in era 0, otherwise the text of String.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Era == 0 {
		return strconv.AppendUint(nil, r.Number, 10), nil
	}
	return json.Marshal(r.String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Revision) UnmarshalJSON(data []byte) error {
	text := string(data)
	if strings.HasPrefix(text, `"`) {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
	}
	if text == "null" {
		return nil
	}
	var err error
	*r, err = ParseRevision(text)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder: a number in era 0, otherwise an array of era and number.
func (r Revision) EncodeMsgpack(e *msgpack.Encoder) error {
	if r.Era == 0 {
		return e.EncodeUint64(r.Number)
	}
	if err := e.EncodeArrayLen(2); err != nil {
		return err
	}
	if err := e.EncodeUint(r.Era); err != nil {
		return err
	}
	return e.EncodeUint64(r.Number)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Revision) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	*r = Revision{}
	if msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32 {
		if n, err := d.DecodeArrayLen(); err != nil || n != 2 {
			return fmt.Errorf("decode revision: array of %d elements: %w", n, err)
		}
		if r.Era, err = d.DecodeUint64(); err != nil {
			return err
		}
	}
	r.Number, err = d.DecodeUint64()
	return err
}
