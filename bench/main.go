package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the command line of bramleybench.
type options struct {
	FirstSeed uint64 `long:"first-seed" description:"first seed" default:"1"`
	Seeds     int    `long:"seeds" description:"runs of each policy and load" default:"5"`
	Bad       int    `long:"bad-rollouts" description:"simulated roll-outs of a bad version" default:"300"`
	Sound     int    `long:"sound-rollouts" description:"simulated roll-outs of a sound version" default:"1000"`
	Bursts    int    `long:"burst-rollouts" description:"simulated roll-outs of a sound version with bursts of failures, of each kind" default:"300"`
	LateBad   int    `long:"late-bad-rollouts" description:"simulated roll-outs of a version that turns bad at the last step" default:"20"`
	Format    string `long:"format" description:"output on standard output" choice:"table" choice:"json" default:"table"`
	Plots     string `long:"plots" description:"directory for PNG plots; none if empty"`
}

// Report is the result of all measurements.
type Report struct {
	Choices  []ChoiceResult   `json:"choices"`
	Rollouts []RolloutSummary `json:"rollouts"`
}

// Main runs bramleybench and returns the exit code: 0 if it ran, 1 if it failed, 2 for wrong arguments. A missed bound is
// reported by the tests of this package, not by the exit code.
func Main(args []string) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return 0
		}
		fmt.Fprintf(os.Stderr, "bramleybench: %v\n", err)
		return 2
	}
	if err := o.run(os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "bramleybench: %v\n", err)
		return 1
	}
	return 0
}

func (o *options) run(w io.Writer) error {
	r, err := o.measure()
	if err != nil {
		return err
	}
	if o.Plots != "" {
		if err := os.MkdirAll(o.Plots, 0o755); err != nil {
			return fmt.Errorf("plots: %w", err)
		}
		if err := plotSeries(r.Choices, func(load string) string { return filepath.Join(o.Plots, load+".png") }); err != nil {
			return err
		}
	}
	if o.Format == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	return r.table(w)
}

func (o *options) measure() (*Report, error) {
	r := &Report{}
	for _, l := range Loads() {
		type run struct {
			results []ChoiceResult
			err     error
		}
		for _, x := range parallel(o.Seeds, func(i int) run {
			results, err := RunChoice(l, o.FirstSeed+uint64(i), Policies...)
			return run{results, err}
		}) {
			if x.err != nil {
				return nil, x.err
			}
			r.Choices = append(r.Choices, x.results...)
		}
	}
	if o.Bad > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("bad version", BadVersion, o.FirstSeed, o.Bad))
		r.Rollouts = append(r.Rollouts, RunRollouts("bad version, 60 daemons", BadVersionAtMany, o.FirstSeed, o.Bad))
	}
	if o.Sound > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("sound version", SoundVersion, o.FirstSeed, o.Sound))
	}
	if o.Bursts > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("common bursts", CommonBursts, o.FirstSeed, o.Bursts))
		r.Rollouts = append(r.Rollouts, RunRollouts("separate bursts", SeparateBursts, o.FirstSeed, o.Bursts))
	}
	if o.LateBad > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("turns bad at the last step", LateBadVersion, o.FirstSeed, o.LateBad))
	}
	return r, nil
}

func (r *Report) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tseed\tof oracle\tof single\tof hindsight\tof best\tmargin\tmissed windows\texplored\texcess: margin\twrong\texplore\tearly\tlate\t")
	for _, c := range r.Choices {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.2f\t%.3f\t%+.4f\t%d/%d\t%.3f\t%+.3f\t%+.3f\t%+.3f\t%.3f\t%.3f\t\n",
			c.Load, c.Policy, c.Seed, c.OfOracle, c.OfSingle, c.OfHindsight, c.OfBest, c.Margin, c.Missed, c.Windows, c.Explored,
			c.Split.Margin, c.Split.Wrong, c.Split.Explore, c.Split.Early, c.Split.Late)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "roll-outs\truns\thalted\tcompleted\tmost exposed\tlongest delay\tmean delay\tlate halts\tturned bad\tlongest bad\t")
	for _, s := range r.Rollouts {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f %%\t%s\t%s\t%d\t%d\t%s\t\n", s.Name, s.Runs, s.Halted, s.Completed, 100*s.MaxExposed, s.MaxDelay, s.MeanDelay.Round(time.Second), s.Late, s.TurnedBad, s.MaxBad)
	}
	return t.Flush()
}
