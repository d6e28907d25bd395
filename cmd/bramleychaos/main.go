// Command bramleychaos runs a small deployment on loopback under random failures from a seed and checks the invariants.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/chaos"
)

func main() { os.Exit(chaos.Main(os.Args[1:])) }
