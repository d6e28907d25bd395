package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the hash of a prompt that an Engine puts into its cache events.
func Fingerprint(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the token with sequence number seq, from 1, of a version's answer to a prompt. Every Engine generates the same
// answer, so that a test detects tokens that are lost, repeated or from another answer.
func Token(version, prompt string, seq int64) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", version, prompt, seq))
	return fmt.Sprintf("%06x ", h&0xffffff)
}

// Answer returns the complete answer of n tokens that a version gives to a prompt.
func Answer(version, prompt string, n int64) string {
	var b strings.Builder
	for seq := int64(1); seq <= n; seq++ {
		b.WriteString(Token(version, prompt, seq))
	}
	return b.String()
}
