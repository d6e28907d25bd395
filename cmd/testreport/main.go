// Command testreport prints the results of `go test -json`, which it reads from standard input, with the failed tests at the end.
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
