// Command bramleycap measures how the cost of a daemon grows with the size of a deployment.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/capacity"
)

func main() { os.Exit(capacity.Main(os.Args[1:])) }
