package entry

import (
	"os"
	"testing"

	"github.com/lesismal/nbio/logging"
)

// TestMain leaves out the engine's routine log lines, among which the message of a failed test is hard to find.
func TestMain(m *testing.M) {
	logging.SetLevel(logging.LevelWarn)
	os.Exit(m.Run())
}
