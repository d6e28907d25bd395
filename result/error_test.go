package result

import (
	"strings"
	"testing"
)

// Guards against errors that quote long texts of callers whole, and keep them.
func TestDetailsAreShort(t *testing.T) {
	e := Newf(ModelNotAllowed, "Model %q.", strings.Repeat("x", 1<<20))
	if len(e.Detail) > 2*maxQuoted {
		t.Errorf("a detail of %d bytes", len(e.Detail))
	}
	if e := Newf(ModelNotAllowed, "Model %q.", "small"); e.Detail != `Model "small".` {
		t.Errorf("detail %q", e.Detail)
	}
}
