// Command bramleychaos runs a small deployment on loopback under random failures from a seed and checks the invariants.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bramleytrail/bramleytrail/chaos"
	"github.com/bramleytrail/bramleytrail/daemon"
)

type options struct {
	Seed    uint64        `long:"seed" description:"seed of the first run; each run uses the next one" default:"1"`
	Runs    int           `long:"runs" description:"number of runs" default:"20"`
	Faults  int           `long:"faults" description:"largest number of failures at the same time" default:"4"`
	MaxHold time.Duration `long:"max-hold" description:"longest failure" default:"5s"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	daemon.NewLogger("error")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed, err := chaos.Random(ctx, chaos.RandomSpec{Seed: o.Seed, Runs: o.Runs, MaxFaults: o.Faults, MaxHold: o.MaxHold}, os.Stdout)
	if err != nil {
		fmt.Fprintf(os.Stderr, "bramleychaos: %v\n", err)
		return 1
	}
	fmt.Printf("%d of %d runs violated an invariant\n", failed, o.Runs)
	if failed > 0 {
		return 1
	}
	return 0
}
