package kv

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against revisions that daemons without eras can't read, or that are changed by encoding.
func TestRevisionEncoding(t *testing.T) {
	type message struct {
		Revision Revision `json:"r,omitzero" msgpack:"r,omitempty"`
	}
	type oldMessage struct {
		Revision uint64 `json:"r,omitempty" msgpack:"r,omitempty"`
	}
	for _, r := range []Revision{{}, {0, 7}, {0, 1 << 50}, {3, 0}, {3, 1 << 40}} {
		in, old := message{r}, oldMessage{r.Number}
		for name, codec := range map[string]struct {
			encode func(any) ([]byte, error)
			decode func([]byte, any) error
		}{"JSON": {json.Marshal, json.Unmarshal}, "MessagePack": {msgpack.Marshal, msgpack.Unmarshal}} {
			var out message
			data, err := codec.encode(in)
			if err != nil || codec.decode(data, &out) != nil || out != in {
				t.Errorf("%s of %s is decoded as %s, error %v", name, r, out.Revision, err)
			}
			if oldData, err := codec.encode(old); r.Era == 0 && (err != nil || string(data) != string(oldData)) {
				t.Errorf("%s of %s is %q, without eras %q", name, r, data, oldData)
			}
		}
	}
}

// Guards against a fencing token that is below one from before a restore of the store.
func TestTokensIncreaseOverRestores(t *testing.T) {
	list := []Revision{{}, {0, 1}, {0, 1<<40 - 1}, {1, 1}, {1, 2}, {1<<13 - 1, 1<<40 - 1}}
	for i, r := range list[1:] {
		if before := list[i]; before.Compare(r) >= 0 || r.Compare(before) <= 0 || before.Token() >= r.Token() || r.Token() >= 1<<53 {
			t.Errorf("token %d of %s after %d of %s", r.Token(), r, before.Token(), before)
		}
	}
}
