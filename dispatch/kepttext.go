package dispatch

import (
	"strings"

	"github.com/bramleytrail/bramleytrail/intake"
)

// keptCopies is the memory for each byte of a text that grows: its buffer has up to twice its size.
const keptCopies = 2

// keptText is the text of an answer so far, with which another endpoint continues it. It is let go if there is no memory for it: the answer
// goes on, but ends with its stream.
type keptText struct {
	text      strings.Builder
	allowance *intake.Allowance
	lost      bool
}

// add appends the next part of the text.
func (k *keptText) add(part string) {
	if k.lost {
		return
	}
	if !k.allowance.Use(keptCopies * int64(len(part))) {
		k.allowance.Release(keptCopies * int64(k.text.Len()))
		k.text = strings.Builder{}
		k.lost = true
		return
	}
	k.text.WriteString(part)
}

func (k *keptText) String() string { return k.text.String() }
