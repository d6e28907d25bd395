package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func validArgs(t *testing.T) []string {
	t.Helper()
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"--id", "e1", "--domain", "north", "--store", "http://127.0.0.1:1", "--hosts", "http://127.0.0.1:1", "--session-key-file", key}
}

// Guards against a daemon that starts with invalid settings, and against a report that stops at the first problem.
func TestAllProblemsAreReported(t *testing.T) {
	args := append(validArgs(t), "--id", "E 1", "--listen", "localhost", "--store", "ftp://x", "--max-in-flight", "0", "--queue-wait", "0s",
		"--claim-writes", "-1", "--claim-budget", "0", "--cache-moves", "1", "--cache-move-time", "0s", "--log-level", "loud")
	_, err := Parse("bramleyd", args)
	if err == nil {
		t.Fatal("invalid settings are accepted")
	}
	for _, flag := range []string{"--id", "--listen", "--store", "--max-in-flight", "--queue-wait", "--claim-writes", "--claim-budget",
		"--cache-moves", "--log-level"} {
		if !strings.Contains(err.Error(), flag+":") {
			t.Errorf("error does not name %s: %v", flag, err)
		}
	}
}

// Guards against settings that are not read from the environment, and against environment variables that override
// flags.
func TestEnvironment(t *testing.T) {
	t.Setenv("BRAMLEY_RACK", "r7")
	t.Setenv("BRAMLEY_LOG_LEVEL", "debug")
	s, err := Parse("bramleyd", append(validArgs(t), "--log-level", "warn"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Rack != "r7" || s.LogLevel != "warn" || string(s.SessionKey) != "0123456789abcdef" {
		t.Errorf("rack %q, level %q, key %q; want r7 from the environment, warn from the flag, and the key in the file", s.Rack, s.LogLevel, s.SessionKey)
	}
}

// Guards against unknown arguments and invalid values that are silently ignored.
func TestUnexpectedArguments(t *testing.T) {
	for _, extra := range [][]string{{"serve"}, {"--no-such-flag"}, {"--bill-interval", "soon"}} {
		if _, err := Parse("bramleyd", append(validArgs(t), extra...)); err == nil {
			t.Errorf("%v is accepted", extra)
		}
	}
}
