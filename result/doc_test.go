package result

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against a code that is missing from the operators' table, or a table row that differs from the code.
func TestCodesPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") {
			rows++
		}
	}
	if rows != len(All()) {
		t.Errorf("page has %d rows, code has %d", rows, len(All()))
	}
	for _, i := range All() {
		row := fmt.Sprintf("| %d | `%s` | %d | %s |", int(i.Code), i.Name, i.Status, i.Text)
		if !strings.Contains(string(page), row) {
			t.Errorf("page lacks row %s", row)
		}
	}
}
