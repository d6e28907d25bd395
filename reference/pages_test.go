package reference

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against reference pages that differ from the code, and fields without an explanation in them.
func TestPagesAreCurrent(t *testing.T) {
	pages, err := Pages("../object")
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range pages {
		got, err := os.ReadFile(filepath.Join("../docs", name))
		if err != nil {
			t.Error(err)
		}
		if strings.Contains(want, "|  |") {
			t.Errorf("docs/%s has a field without an explanation", name)
		}
		if string(got) != want {
			t.Errorf("docs/%s is out of date; run go generate ./reference", name)
		}
	}
}
