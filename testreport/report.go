package testreport

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxSummaryLines limits the lines of each failed test in the list at the end. A goroutine dump has thousands.
const maxSummaryLines = 40

// maxRecentLines is the number of lines of a package that are shown if its process ends while tests are running. The process may
// have printed the reason during any of these tests, or even during one that has passed.
const maxRecentLines = 30

// event is one line of the output of `go test -json`; see `go doc test2json`.
type event struct {
	Action     string
	Package    string
	ImportPath string // of a package that is being built, in place of Package
	Test       string // empty for the package itself
	Output     string
}

// test identifies a test, or a whole package if name is empty.
type test struct{ pkg, name string }

// failure is a failed test or package and its output.
type failure struct {
	test
	lines []string
}

// report buffers the output of each test until the test ends and collects the failures. It is not safe for concurrent use.
type report struct {
	out         io.Writer
	buffered    map[test][]string
	recentLines map[string][]string // last lines of each running package, from all of its tests
	failed      []failure
}

// Print reads events from in until EOF and writes the report to out. Lines that are not events are copied unchanged. The
// returned error is one of reading in or writing out; failed tests do not count as errors.
func Print(in io.Reader, out io.Writer) error {
	w := bufio.NewWriter(out)
	r := report{out: w, buffered: map[test][]string{}, recentLines: map[string][]string{}}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		r.handleLine(line)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read events: %w", err)
		}
		if lines.Buffered() == 0 { // shows the progress of a slow run
			_ = w.Flush() // the final Flush returns the error again
		}
	}
	r.finish()
	return w.Flush()
}

func (r *report) handleLine(line string) {
	var e event
	if !strings.HasPrefix(line, "{") || json.Unmarshal([]byte(line), &e) != nil {
		r.print(line)
		return
	}
	t := test{e.Package, e.Test}
	switch e.Action {
	case "run":
		r.buffered[t] = nil
	case "output":
		if tail := append(r.recentLines[t.pkg], e.Output); !isResult(e.Output) {
			r.recentLines[t.pkg] = tail[max(0, len(tail)-maxRecentLines):]
		}
		r.output(t, e.Output)
	case "build-output":
		r.output(test{pkg: strings.Fields(e.ImportPath + " ?")[0]}, e.Output)
	case "pass", "skip":
		delete(r.buffered, t)
	case "fail":
		r.fail(t)
	}
}

// output buffers a line until its test ends. The result line of a package is printed immediately.
func (r *report) output(t test, line string) {
	switch {
	case strings.HasPrefix(line, "=== "): // a test starts, pauses or continues
	case t.name != "":
		r.buffered[t] = append(r.buffered[t], line)
	case isResult(line):
		r.print(line)
	case line != "PASS\n" && line != "FAIL\n":
		r.buffered[t] = append(r.buffered[t], line)
	}
}

// isResult reports whether a line is the result line of a package.
func isResult(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "?   \t")
}

// fail records and prints a failed test or package.
func (r *report) fail(t test) {
	if t.name == "" {
		r.failUnfinished(t.pkg)
	}
	lines := r.buffered[t]
	delete(r.buffered, t)
	if t.name == "" && len(lines) == 0 && r.hasFailedTest(t.pkg) {
		return // the failed tests explain it
	}
	r.failed = append(r.failed, failure{t, lines})
	r.print(lines...)
}

// failUnfinished records as failed the tests that were still running when the process of a failed package ended. Without other
// output of the package, it uses the package's last lines, which may contain the reason.
func (r *report) failUnfinished(pkg string) {
	unfinished := false
	for _, t := range r.unfinishedTests() {
		if t.pkg == pkg && t.name != "" {
			r.buffered[t] = append(r.buffered[t], "    had not ended\n")
			r.fail(t)
			unfinished = true
		}
	}
	if packageTest := (test{pkg: pkg}); unfinished && len(r.buffered[packageTest]) == 0 {
		r.buffered[packageTest] = r.recentLines[pkg]
	}
}

func (r *report) hasFailedTest(pkg string) bool {
	return slices.ContainsFunc(r.failed, func(f failure) bool { return f.pkg == pkg })
}

// unfinishedTests returns the tests and packages with buffered output, ordered by name.
func (r *report) unfinishedTests() []test {
	return slices.SortedFunc(maps.Keys(r.buffered), func(a, b test) int {
		return cmp.Or(strings.Compare(a.pkg, b.pkg), strings.Compare(a.name, b.name))
	})
}

// finish records as failed what had not ended when the input stopped, then prints the list of all failures.
func (r *report) finish() {
	for _, t := range r.unfinishedTests() {
		if _, unfinished := r.buffered[t]; unfinished {
			r.fail(t)
		}
	}
	if len(r.failed) == 0 {
		return
	}
	r.print(fmt.Sprintf("\n== failed (%d)\n", len(r.failed)))
	for _, f := range r.failed {
		r.print(strings.TrimSpace("-- "+f.pkg+" "+f.name) + "\n")
		r.print(f.lines[:min(len(f.lines), maxSummaryLines)]...)
		if more := len(f.lines) - maxSummaryLines; more > 0 {
			r.print(fmt.Sprintf("    (%d more lines above)\n", more))
		}
	}
}

// print writes lines to the buffered writer, which returns a write error on its next Flush.
func (r *report) print(lines ...string) {
	for _, l := range lines {
		_, _ = io.WriteString(r.out, l)
	}
}
