// Command bramleysoak runs real daemons as processes under random faults, see package soak.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/platform/soak"
)

func main() { os.Exit(soak.Main(os.Args[1:])) }
