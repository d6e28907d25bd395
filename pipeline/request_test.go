package pipeline

import (
	"encoding/json"
	"testing"
)

// Guards against turns of one conversation that are taken for different ones, with and without a system message, and
// conversations that are taken for one because they have the same system message.
func TestPrefixIdentifiesConversation(t *testing.T) {
	prefix := func(messages string) uint64 {
		var c chat
		if err := json.Unmarshal([]byte(messages), &c.Messages); err != nil {
			t.Fatal(err)
		}
		return c.prefix()
	}
	const (
		system = `{"role":"system","content":"s"}`
		first  = `{"role":"user","content":"a"}`
		other  = `{"role":"user","content":"b"}`
		answer = `{"role":"assistant","content":"c"}`
	)
	for _, begin := range []string{"[", "[" + system + ","} {
		one := prefix(begin + first + "]")
		if later := prefix(begin + first + "," + answer + "," + other + "]"); later != one {
			t.Errorf("%s: a later turn has another prefix", begin)
		}
		if prefix(begin+other+"]") == one {
			t.Errorf("%s: two conversations have the same prefix", begin)
		}
	}
}
