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

// Exit codes of the command, beside those of wrong arguments.
const (
	exitOK      = 0
	exitFailure = 1
)

// Options are the settings of the command.
type Options struct {
	Seed    uint64        `long:"seed" description:"seed of the first run; each run uses the next one" default:"1"`
	Runs    int           `long:"runs" description:"number of runs" default:"20"`
	Faults  int           `long:"faults" description:"largest number of failures at the same time" default:"4"`
	MaxHold time.Duration `long:"max-hold" description:"longest failure" default:"5s"`
}

// Check reports all problems of the options.
func (o *Options) Check() error {
	var errs []error
	if o.Runs < 1 {
		errs = append(errs, errors.New("--runs must be positive"))
	}
	if o.Faults < 1 || o.Faults > len(Faults()) {
		errs = append(errs, fmt.Errorf("--faults must be 1 to %d", len(Faults())))
	}
	if o.MaxHold <= 0 {
		errs = append(errs, errors.New("--max-hold must be positive"))
	}
	return errors.Join(errs...)
}

// Main runs a series of random failures and returns the exit code: 0 if every invariant held, 1 if not.
func Main(args []string) int {
	o := Options{}
	if code, done := settings.ParseOptions("bramleysoak embedded", args, &o); done {
		return code
	}
	daemon.NewLogger("error")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed, err := Random(ctx, RandomSpec{Seed: o.Seed, Runs: o.Runs, MaxFaults: o.Faults, MaxHold: o.MaxHold}, os.Stdout)
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
