package chaos

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/settings"
)

// Exit codes of the command, in addition to those of settings.ParseOptions.
const (
	exitOK      = 0
	exitFailure = 1
)

// Options are the command-line options of bramleysoak embedded.
type Options struct {
	Seed             uint64        `long:"seed" description:"seed of the first run; each run uses the next one" default:"1"`
	Runs             int           `long:"runs" description:"number of runs" default:"20"`
	Faults           int           `long:"faults" description:"largest number of failures at the same time" default:"4"`
	MaxFaultDuration time.Duration `long:"max-hold" description:"longest failure" default:"5s"`
}

// Check validates the options and returns all problems as one joined error.
func (o *Options) Check() error {
	var errs []error
	if o.Runs < 1 {
		errs = append(errs, errors.New("--runs must be positive"))
	}
	if o.Faults < 1 || o.Faults > len(Faults()) {
		errs = append(errs, fmt.Errorf("--faults must be 1 to %d", len(Faults())))
	}
	if o.MaxFaultDuration <= 0 {
		errs = append(errs, errors.New("--max-hold must be positive"))
	}
	return errors.Join(errs...)
}

// Main runs a series of runs with random failures. It returns exit code 0 if every invariant held in all runs, and 1 if not
// or if a run could not be completed.
func Main(args []string) int {
	o := Options{}
	if code, done := settings.ParseOptions("bramleysoak embedded", args, &o); done {
		return code
	}
	daemon.NewLogger("error")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed, err := RunSeries(ctx, RandomSpec{Seed: o.Seed, Runs: o.Runs, MaxFaults: o.Faults, MaxFaultDuration: o.MaxFaultDuration}, os.Stdout)
	if err != nil {
		fmt.Fprintf(os.Stderr, "bramleysoak embedded: %v\n", err)
		return exitFailure
	}
	fmt.Printf("%d of %d runs violated an invariant\n", failed, o.Runs)
	if failed > 0 {
		return exitFailure
	}
	return exitOK
}
