package reference

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Guards against reference pages that were not generated again after a change to the code, and against fields without an
// explanation on them.
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

// Guards against a metric that is missing from the metrics page, and against one on the page that the code no longer uses.
func TestMetricsPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile("../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := MetricNames("..")
	if err != nil {
		t.Fatal(err)
	}
	got := DocumentedMetrics(string(page))
	for _, name := range want {
		if !slices.Contains(got, name) {
			t.Errorf("docs/metrics.md lacks %s", name)
		}
	}
	for _, name := range got {
		if !slices.Contains(want, name) {
			t.Errorf("docs/metrics.md has %s, which the code does not use", name)
		}
	}
}
