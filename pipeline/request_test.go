package pipeline

import (
	"encoding/json"
	"testing"
)

// Guards against turns of one conversation with different prefix hashes, with and without a system message, and against
// different conversations with the same hash because they have the same system message.
func TestPrefixIdentifiesConversation(t *testing.T) {
	prefixHash := func(messages string) uint64 {
		var c chat
		if err := json.Unmarshal([]byte(messages), &c.Messages); err != nil {
			t.Fatal(err)
		}
		return c.prefixHash()
	}
	const (
		system = `{"role":"system","content":"s"}`
		first  = `{"role":"user","content":"a"}`
		other  = `{"role":"user","content":"b"}`
		answer = `{"role":"assistant","content":"c"}`
	)
	for _, begin := range []string{"[", "[" + system + ","} {
		one := prefixHash(begin + first + "]")
		if later := prefixHash(begin + first + "," + answer + "," + other + "]"); later != one {
			t.Errorf("messages from %s: a later turn has another prefix hash", begin)
		}
		if prefixHash(begin+other+"]") == one {
			t.Errorf("messages from %s: two conversations have the same prefix hash", begin)
		}
	}
}
