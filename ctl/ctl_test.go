package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

const domainsFile = "failure-domains.yaml"

// run runs a command against store, with the line "secret" on standard input, and returns its exit code and its output to
// standard output and standard error.
func run(t *testing.T, store kv.Store, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := Run(context.Background(), append([]string{"--store", "http://store"}, args...), strings.NewReader("secret\n"), &out, &out, func(string) kv.Store { return store })
	return code, out.String()
}

// copyExample returns a directory with a copy of an example's declarations, in which the first old in one file is replaced by
// new. An empty file name changes nothing.
func copyExample(t *testing.T, file, old, new string) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join("..", "examples", "nogalera", "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatal(err, files)
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if filepath.Base(name) == file {
			data = bytes.Replace(data, []byte(old), []byte(new), 1)
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func readRevision(t *testing.T, store kv.Store) config.Revision {
	t.Helper()
	e, err := store.Get(context.Background(), config.Key)
	if err != nil {
		t.Fatal(err)
	}
	rev, err := config.UnmarshalRevision(e.Value)
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// Guards against overwriting another operator's revision by a publication with an older base. The second operator must get a
// conflict that shows both changes, and the stored revision must stay.
func TestPublishConflictShowsBothChanges(t *testing.T) {
	store := memkv.New()
	base := copyExample(t, "", "", "")
	mine := copyExample(t, domainsFile, "state: in", "state: out")
	theirs := copyExample(t, "teams.yaml", "priority: 8", "priority: 7")
	if code, out := run(t, store, "publish", base); code != ExitOK {
		t.Fatal(code, out)
	}
	if code, out := run(t, store, "publish", "--base", "1", theirs); code != ExitOK {
		t.Fatal(code, out)
	}
	code, out := run(t, store, "publish", "--base", "1", mine)
	if code != ExitConflict {
		t.Errorf("exit code %d, want %d", code, ExitConflict)
	}
	for _, want := range []string{"Team/intake: priority: 8 -> 7", `FailureDomain/cotacachi: state: "in" -> "out"`} {
		if !strings.Contains(out, want) {
			t.Errorf("conflict does not show %q:\n%s", want, out)
		}
	}
	if n := readRevision(t, store).Number; n != 2 {
		t.Errorf("revision %d is stored, want 2", n)
	}
}

// Guards against overwriting a revision that another operator publishes between this command's read of the revision in force and
// its write of the next one.
func TestPublishRace(t *testing.T) {
	store := memkv.New()
	base, mine, theirs := copyExample(t, "", "", ""), copyExample(t, domainsFile, "state: in", "state: out"), copyExample(t, "teams.yaml", "priority: 8", "priority: 7")
	run(t, store, "publish", base)
	raced := false
	store.Faults.OnCall(func(c memkv.Call) {
		if c == memkv.CallCAS && !raced {
			raced = true
			if code, out := run(t, store, "publish", theirs); code != ExitOK {
				t.Error(code, out)
			}
		}
	})
	if code, out := run(t, store, "publish", mine); code != ExitConflict {
		t.Errorf("exit code %d, want %d: %s", code, ExitConflict, out)
	}
	if n := readRevision(t, store).Number; n != 2 {
		t.Errorf("revision %d is stored, want 2", n)
	}
}

// Guards against a publication that succeeded but is reported as failed, or is published twice, because the reply of the write
// was lost.
func TestPublishLostReply(t *testing.T) {
	store := memkv.New()
	store.Faults.LoseReplies(1)
	if code, out := run(t, store, "publish", copyExample(t, "", "", "")); code != ExitOK {
		t.Errorf("exit code %d: %s", code, out)
	}
	if n := readRevision(t, store).Number; n != 1 {
		t.Errorf("revision %d is stored, want 1", n)
	}
}

// Guards against a change of the exit codes and the JSON output that operators' scripts depend on.
func TestExitCodes(t *testing.T) {
	store := memkv.New()
	bad := copyExample(t, "teams.yaml", "sessionPolicy: short-session", "sessionPolicy: none")
	cases := []struct {
		code int
		args []string
	}{
		{ExitOK, []string{"--help"}},
		{ExitOK, []string{"validate", "../examples/nogalera"}},
		{ExitOK, []string{"codes"}},
		{ExitOK, []string{"diff", "../examples/nogalera"}},
		{ExitOK, []string{"bills"}},
		{ExitOK, []string{"key"}},
		{ExitFailed, []string{"validate", bad}},
		{ExitFailed, []string{"publish", bad}},
		{ExitFailed, []string{"validate", "no-such-directory"}},
		{ExitUsage, []string{"validate"}},
		{ExitUsage, []string{"no-such-command"}},
		{ExitUsage, []string{"validate", "--output", "xml", "../examples/nogalera"}},
		{ExitUnavailable, []string{"state", "--daemon", "http://127.0.0.1:1"}},
		{ExitUnavailable, []string{"status", "--daemon", "http://127.0.0.1:1"}},
	}
	for _, c := range cases {
		if code, out := run(t, store, c.args...); code != c.code {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.code, out)
		}
	}
	store.Faults.SetDown(true)
	if code, _ := run(t, store, "publish", "../examples/nogalera"); code != ExitUnavailable {
		t.Errorf("publish with the key-value store down: exit code %d, want %d", code, ExitUnavailable)
	}
	if _, out := run(t, store, "key", "--hash"); !strings.Contains(out, config.HashKey("secret")) {
		t.Errorf("output of key --hash lacks the hash of the key on standard input: %s", out)
	}
	_, out := run(t, store, "validate", "--output", "json", bad)
	var v validateOutput
	if err := json.Unmarshal([]byte(out), &v); err != nil || v.OK || len(v.Findings) != 1 || v.Findings[0].File != "teams.yaml" {
		t.Errorf("JSON output %q: %v", out, err)
	}
}
