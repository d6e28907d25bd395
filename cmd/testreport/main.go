// Command testreport reads the output of `go test -json` from standard input and prints a report that ends with the failed tests.
package main

import (
	"fmt"
	"os"

	"github.com/bramleytrail/bramleytrail/testreport"
)

func main() {
	if err := testreport.Print(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "testreport: %v\n", err)
		os.Exit(1)
	}
}
