// Command bramleyref writes the generated reference pages into a directory.
package main

import (
	"fmt"
	"os"

	"github.com/bramleytrail/bramleytrail/reference"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: bramleyref DIR")
		os.Exit(2)
	}
	if err := reference.Write(os.Args[1], "../object"); err != nil {
		fmt.Fprintf(os.Stderr, "bramleyref: %v\n", err)
		os.Exit(1)
	}
}
