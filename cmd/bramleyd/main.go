// Command bramleyd is the entry daemon of bramleytrail.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
