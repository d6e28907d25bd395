package reference

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// metricLiteral matches a metric name at the start of a string literal. A label set or the closing quote follows the name.
var metricLiteral = regexp.MustCompile("[\"`](bramley_[a-z0-9_]+)[{\"`]")

// MetricNames returns the sorted names of all metrics that the Go files below root use, except for tests. The error is that of a
// directory or file that can't be read.
func MetricNames(root string) ([]string, error) {
	seen := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range metricLiteral.FindAllSubmatch(data, -1) {
			seen[string(m[1])] = true
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("reference: find metric names: %w", err)
	}
	var names []string
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// documentedMetric matches a metric name in the first column of the metrics page.
var documentedMetric = regexp.MustCompile("(?m)^\\| `(bramley_[a-z0-9_]+)")

// DocumentedMetrics returns the sorted names of the metrics that the Markdown text of the metrics page lists.
func DocumentedMetrics(page string) []string {
	var names []string
	for _, m := range documentedMetric.FindAllStringSubmatch(page, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return names
}
