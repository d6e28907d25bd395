package pipeline

import (
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
