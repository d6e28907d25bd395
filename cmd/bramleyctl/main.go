// Command bramleyctl is the operators' command-line tool of bramleytrail.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:])) }
