// Command bramleybench measures the decisions about models (choice, cascades and rollouts) and the latency of dispatching on
// simulated loads.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:])) }
