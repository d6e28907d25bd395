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

// maxLines is the number of lines of each failed test that the closing list repeats. A goroutine dump has thousands.
const maxLines = 40

// maxTail is the number of lines of a package that are shown if its process ends in the middle of tests: a reason that the
// process itself gives may stand under any of them, also under one that has passed.
const maxTail = 30

// event is one line of `go test -json`, see `go doc test2json`.
type event struct {
	Action     string
	Package    string
	ImportPath string // of a package that is being built
	Test       string // empty for the package itself
	Output     string
}

type test struct{ pkg, name string }

// failure is a failed test, or a failed package with an empty name, and its output.
type failure struct {
	test
	lines []string
}

// report holds the output of tests that have not ended.
type report struct {
	out    io.Writer
	held   map[test][]string
	tail   map[string][]string // last lines of each package that runs, of whichever test
	failed []failure
}

// Print reads events from in until its end and writes the report to out. Lines that are no events are passed on. It returns
// the errors of in and out; failed tests are none.
func Print(in io.Reader, out io.Writer) error {
	buffered := bufio.NewWriter(out)
	r := report{out: buffered, held: map[test][]string{}, tail: map[string][]string{}}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		r.line(line)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read events: %w", err)
		}
		if lines.Buffered() == 0 { // shows the progress of a slow run
			_ = buffered.Flush() // the error comes again below
		}
	}
	r.close()
	return buffered.Flush()
}

func (r *report) line(line string) {
	var e event
	if !strings.HasPrefix(line, "{") || json.Unmarshal([]byte(line), &e) != nil {
		r.print(line)
		return
	}
	t := test{e.Package, e.Test}
	switch e.Action {
	case "run":
		r.held[t] = nil
	case "output":
		if tail := append(r.tail[t.pkg], e.Output); !isResult(e.Output) {
			r.tail[t.pkg] = tail[max(0, len(tail)-maxTail):]
		}
		r.output(t, e.Output)
	case "build-output":
		r.output(test{pkg: strings.Fields(e.ImportPath + " ?")[0]}, e.Output)
	case "pass", "skip":
		delete(r.held, t)
	case "fail":
		r.fail(t)
	}
}

// output holds a line back until its test ends. The result of a package is shown at once.
func (r *report) output(t test, line string) {
	switch {
	case strings.HasPrefix(line, "=== "): // the start of a test, or a change between parallel ones
	case t.name != "":
		r.held[t] = append(r.held[t], line)
	case isResult(line):
		r.print(line)
	case line != "PASS\n" && line != "FAIL\n":
		r.held[t] = append(r.held[t], line)
	}
}

// isResult reports whether a line tells the result of a package.
func isResult(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "?   \t")
}

// fail reports a failed test, or a failed package.
func (r *report) fail(t test) {
	if t.name == "" {
		r.failRunning(t.pkg)
	}
	lines := r.held[t]
	delete(r.held, t)
	if t.name == "" && len(lines) == 0 && r.hasFailed(t.pkg) {
		return // its tests say why
	}
	r.failed = append(r.failed, failure{t, lines})
	r.print(lines...)
}

// failRunning reports the tests of a package that had begun when its process ended.
func (r *report) failRunning(pkg string) {
	cut := false
	for _, t := range r.sorted() {
		if t.pkg == pkg && t.name != "" {
			r.held[t] = append(r.held[t], "    had not ended\n")
			r.fail(t)
			cut = true
		}
	}
	if whole := (test{pkg: pkg}); cut && len(r.held[whole]) == 0 {
		r.held[whole] = r.tail[pkg]
	}
}

func (r *report) hasFailed(pkg string) bool {
	return slices.ContainsFunc(r.failed, func(f failure) bool { return f.pkg == pkg })
}

// sorted returns the tests that have not ended, ordered by name.
func (r *report) sorted() []test {
	return slices.SortedFunc(maps.Keys(r.held), func(a, b test) int {
		return cmp.Or(strings.Compare(a.pkg, b.pkg), strings.Compare(a.name, b.name))
	})
}

// close reports what has not ended, in a run that was cut off, and then lists the failed tests.
func (r *report) close() {
	for _, t := range r.sorted() {
		if _, held := r.held[t]; held {
			r.fail(t)
		}
	}
	if len(r.failed) == 0 {
		return
	}
	r.print(fmt.Sprintf("\n== failed (%d)\n", len(r.failed)))
	for _, f := range r.failed {
		r.print(strings.TrimSpace("-- "+f.pkg+" "+f.name) + "\n")
		r.print(f.lines[:min(len(f.lines), maxLines)]...)
		if more := len(f.lines) - maxLines; more > 0 {
			r.print(fmt.Sprintf("    (%d more lines above)\n", more))
		}
	}
}

// print writes lines. Errors stay in the buffered writer until it is flushed.
func (r *report) print(lines ...string) {
	for _, l := range lines {
		_, _ = io.WriteString(r.out, l)
	}
}
