package ledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of checks of the rapid property tests, so that their runs are reproducible.
// Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
