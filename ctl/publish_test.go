package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

const (
	nogaleraExample  = "../examples/nogalera"
	driftwoodExample = "../examples/driftwood"
)

func storedRevision(t *testing.T, store *memkv.Store) config.Revision {
	t.Helper()
	r, _, _, err := currentRevision(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a publication that is reported as failed, or makes a second revision, because the reply of its write was lost.
func TestPublishWithLostReply(t *testing.T) {
	store := memkv.New()
	store.Faults.LoseReplies(1)
	if code, out := run(t, store, "publish", nogaleraExample); code != ExitOK || storedRevision(t, store).Number != 1 {
		t.Errorf("exit %d, revision %d: %s", code, storedRevision(t, store).Number, out)
	}
}

// Guards against overwriting a revision that another operator published after this operator's command read the one in force.
func TestRacingOperatorsConflict(t *testing.T) {
	store := memkv.New()
	if code, out := run(t, store, "publish", nogaleraExample); code != ExitOK {
		t.Fatal(out)
	}
	raced := false
	store.Faults.OnCall(func(c memkv.Call) {
		if c == memkv.CallCAS && !raced {
			raced = true
			if code, out := run(t, store, "publish", driftwoodExample); code != ExitOK {
				t.Error(out)
			}
		}
	})
	code, out := run(t, store, "publish", nogaleraExample)
	if code != ExitConflict || !strings.Contains(out, "published since revision 1") {
		t.Errorf("exit %d: %s", code, out)
	}
	if r := storedRevision(t, store); r.Number != 2 {
		t.Errorf("revision %d is stored; want the other operator's 2", r.Number)
	}
	if code, out := run(t, store, "publish", "--base", "1", nogaleraExample); code != ExitConflict {
		t.Errorf("publication with an older base: exit %d: %s", code, out)
	}
}

// Guards against a publication that is reported as successful although the daemons have another revision: the key-value store
// lost writes before the publication, or the daemons replace the published revision afterwards.
func TestPublishNeedsTheDaemons(t *testing.T) {
	store := memkv.New()
	if code, out := run(t, store, "publish", nogaleraExample); code != ExitOK {
		t.Fatal(out)
	}
	published := storedRevision(t, store)
	daemonRevision := func() config.Revision { return storedRevision(t, store) } // revision that the daemon reports
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r := daemonRevision()
		_ = json.NewEncoder(w).Encode(map[string]any{"id": "entry-1", "revision": r.Number, "digest": r.Digest}) // a failed write fails the test
	}))
	defer daemon.Close()
	publish := func() (int, string) { return run(t, store, "publish", "--daemon", daemon.URL, driftwoodExample) }
	other := published
	other.Digest = "f" + published.Digest[1:]
	for _, r := range []config.Revision{{Number: 7, Digest: published.Digest}, other} {
		daemonRevision = func() config.Revision { return r }
		if code, out := publish(); code == ExitOK || storedRevision(t, store).Number != 1 {
			t.Errorf("the daemon has revision %d %.8s, the key-value store %d %.8s: publish exits with %d: %s", r.Number, r.Digest, published.Number, published.Digest, code, out)
		}
	}
	reads := 0
	daemonRevision = func() config.Revision {
		if reads++; reads == 1 {
			return published
		}
		return config.Revision{Number: 9, Digest: published.Digest}
	}
	if code, out := publish(); code != ExitConflict {
		t.Errorf("the daemon has a newer revision after the publication: publish exits with %d: %s", code, out)
	}
	daemonRevision = func() config.Revision { return storedRevision(t, store) }
	if code, out := publish(); code != ExitOK {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Guards against the publication of declarations that have findings.
func TestPublishRefusesFindings(t *testing.T) {
	store, dir := memkv.New(), t.TempDir()
	bad := "apiVersion: bramleytrail/v1\nkind: FailureDomain\nname: a\nspec:\n  region: r\n  state: out\n"
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := run(t, store, "publish", dir); code != ExitFailed || storedRevision(t, store).Number != 0 {
		t.Errorf("exit %d: %s", code, out)
	}
}
