package pipeline

import (
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/object"
)

// FuzzParseChat guards against a panic, or token limits out of range, on request bodies of any content.
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
			t.Errorf("prompt %d, answer %d", prompt, answer)
		}
	})
}

// Guards against a body whose nesting costs far more to parse than its length suggests.
func TestDepthLimit(t *testing.T) {
	deep := `{"messages":[` + strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth) + `]}`
	if _, err := parseChat([]byte(deep)); err == nil {
		t.Errorf("a body with %d levels is accepted", maxDepth+2)
	}
	quoted := `{"messages":["` + strings.Repeat(`[{\"`, maxDepth) + `"]}`
	if _, err := parseChat([]byte(quoted)); err != nil {
		t.Errorf("brackets within text count as levels: %v", err)
	}
}
