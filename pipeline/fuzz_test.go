package pipeline

import (
	"fmt"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/object"
)

// FuzzParseChat guards against panics and token limits out of range for arbitrary request bodies.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5}`))
	f.Add([]byte(`{"messages":[1],"max_tokens":9223372036854775807}`))
	f.Add([]byte(`{"messages":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`))
	f.Add([]byte(`null`))
	team := &object.Team{Limits: object.TeamLimits{MaxTokens: 1000}}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err != nil {
			return
		}
		prompt, answer, err := limitTokens(c, body, team)
		if err == nil && (prompt < 0 || answer <= 0 || prompt+answer > team.Limits.MaxTokens) {
			t.Errorf("token limits out of range: prompt %d, answer %d, team limit %d", prompt, answer, team.Limits.MaxTokens)
		}
	})
}

// Guards against bodies with deeply nested values, which cost far more to decode than their size suggests, and against
// brackets in strings that count as nesting.
func TestDepthLimit(t *testing.T) {
	deep := `{"messages":[` + strings.Repeat("[", maxJSONDepth) + strings.Repeat("]", maxJSONDepth) + `]}`
	if _, err := parseChat([]byte(deep)); err == nil {
		t.Errorf("a body with %d nested values was accepted", maxJSONDepth+2)
	}
	quoted := `{"messages":["` + strings.Repeat(`[{\"`, maxJSONDepth) + `"]}`
	if _, err := parseChat([]byte(quoted)); err != nil {
		t.Errorf("brackets in a string count as nested values: %v", err)
	}
}

// Guards against bodies of very many small values, each of which would be decoded, and against usual ones that are refused.
func TestCountsOfValuesAreLimited(t *testing.T) {
	body := func(messages, fields int) []byte {
		var b strings.Builder
		for n := range fields {
			fmt.Fprintf(&b, `"f%d":{"a":[1,2],"b":"x,y"},`, n)
		}
		return []byte(`{` + b.String() + `"messages":[` + strings.Repeat(`{"role":"user","content":[1,2]},`, messages-1) + `{"role":"user"}]}`)
	}
	for _, tc := range []struct {
		messages, fields int
		ok               bool
	}{{1, 0, true}, {maxMessages, maxFields - 1, true}, {maxMessages + 1, 0, false}, {1, maxFields, false}} {
		c, err := parseChat(body(tc.messages, tc.fields))
		if (err == nil) != tc.ok || tc.ok && len(c.Messages) != tc.messages {
			t.Errorf("%d messages, %d other fields: %d messages, error %v", tc.messages, tc.fields, len(c.Messages), err)
		}
	}
	large := []byte(`{"messages":[1` + strings.Repeat(",1", 1<<20) + `]}`)
	if n := testing.AllocsPerRun(1, func() { _, _ = parseChat(large) }); n > 100 {
		t.Errorf("%g allocations for a body that is refused", n)
	}
}
