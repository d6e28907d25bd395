// Command bramleydemo shows the main features of bramleytrail on a deployment of fakes in one process.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bramleytrail/bramleytrail/demo"
)

func main() {
	if err := demo.Run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "bramleydemo: %v\n", err)
		os.Exit(1)
	}
}
