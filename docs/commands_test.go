// Package docs tests that the bramleyctl commands in the operators' documentation work as written.
package docs

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/ctl"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/httpkv"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/standin"
)

// exitComment matches the comment line before a command that is expected to end with an exit code other than 0.
var exitComment = regexp.MustCompile(`^# exits with (\d)$`)

// command is a bramleyctl command of a page, with its expected exit code.
type command struct {
	args     []string // without the program name
	exitCode int
}

// parseCommands returns the bramleyctl commands in the indented code blocks of a page, with $NAME replaced by the
// environment variable.
func parseCommands(page string) []command {
	var out []command
	exit := 0
	for _, line := range strings.Split(page, "\n") {
		line, indented := strings.CutPrefix(line, "    ")
		if m := exitComment.FindStringSubmatch(line); indented && m != nil {
			exit, _ = strconv.Atoi(m[1])
			continue
		}
		if rest, ok := strings.CutPrefix(line, "bramleyctl "); ok && indented {
			out = append(out, command{strings.Fields(os.ExpandEnv(rest)), exit})
		}
		exit = 0
	}
	return out
}

// Guards against pages with commands that don't exist, lack an option or end with another exit code than the page says.
func TestCommandsRun(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir("..")
	total := 0
	for _, name := range pages {
		data, err := os.ReadFile(filepath.Join("docs", name))
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(data), "    bramleyctl ") {
			t.Run(name, func(t *testing.T) { total += runPage(t, string(data)) })
		}
	}
	if total == 0 {
		t.Error("no command was run")
	}
}

// runPage runs the commands of one page in order against a new deployment and returns their number.
func runPage(t *testing.T, page string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := local.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	if err := local.DeploySample(ctx, d, 2, standin.EngineSpec{Slots: 8, ColdSlots: 8}); err != nil {
		t.Fatal(err)
	}
	answer, err := local.NewClient(d.Daemons[0].Addr(), local.SampleKey).Chat(ctx, local.ChatBody("auto", "hello", false), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("BRAMLEY_STORE", d.PlatformURL)
	t.Setenv("DAEMON", "http://"+d.Daemons[0].OperatorAddr())
	t.Setenv("DAEMON2", "http://"+d.Daemons[1].OperatorAddr())
	t.Setenv("REQUEST", answer.Header.Get("Bramley-Request-Id"))
	pageCommands := parseCommands(page)
	for _, c := range pageCommands {
		var out bytes.Buffer
		code := ctl.Run(ctx, c.args, strings.NewReader("a-key\n"), &out, &out, func(url string) kv.Store { return httpkv.NewClient(url) })
		if code != c.exitCode {
			t.Errorf("bramleyctl %s: exit code %d, want %d\n%s", strings.Join(c.args, " "), code, c.exitCode, out.String())
		}
	}
	for _, dm := range d.Daemons {
		if err := dm.Drain(ctx); err != nil {
			t.Error(err)
		}
	}
	return len(pageCommands)
}
