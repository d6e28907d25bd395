// Command bramleysoak runs daemons under random faults from a seed and checks the guarantees to callers. By default the daemons are
// processes on a fake of the users' platform, see package soak. With the argument "embedded" they run in one process, with the chat
// and plain interfaces, see package chaos.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/chaos"
	"github.com/bramleytrail/bramleytrail/platform/soak"
)

func main() {
	args := os.Args[1:]
	if len(args) > 0 && args[0] == "embedded" {
		os.Exit(chaos.Main(args[1:]))
	}
	os.Exit(soak.Main(args))
}
