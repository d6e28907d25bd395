package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint hashes a prompt.
func Fingerprint(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns token number seq of the answer that a version gives to a prompt. Every engine generates the same
// answer, so that a test can tell a lost, repeated or foreign token.
func Token(version, prompt string, seq int64) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", version, prompt, seq))
	return fmt.Sprintf("%06x ", h&0xffffff)
}

// Answer returns the whole answer of n tokens.
func Answer(version, prompt string, n int64) string {
	var b strings.Builder
	for seq := int64(1); seq <= n; seq++ {
		b.WriteString(Token(version, prompt, seq))
	}
	return b.String()
}
