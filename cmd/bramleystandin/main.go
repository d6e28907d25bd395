// Command bramleystandin serves fakes of the platform and of endpoints on loopback.
package main

import (
	"os"

	"github.com/bramleytrail/bramleytrail/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }
