// Command bramleydemo runs the main job of bramleytrail on embedded fakes.
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
