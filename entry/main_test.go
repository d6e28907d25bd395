package entry

import (
	"os"
	"testing"

	"github.com/lesismal/nbio/logging"
)

// TestMain suppresses nbhttp's log lines below level warning, which would hide the messages of failed tests.
func TestMain(m *testing.M) {
	logging.SetLevel(logging.LevelWarn)
	os.Exit(m.Run())
}
