// Command bramleytrail is the daemon that serves routes on the users' platform.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
