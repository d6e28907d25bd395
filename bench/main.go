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

// options are the command-line flags of bramleybench.
type options struct {
	FirstSeed          uint64 `long:"first-seed" description:"first seed" default:"1"`
	Seeds              int    `long:"seeds" description:"runs of each policy and load" default:"5"`
	RegressedRuns      int    `long:"bad-rollouts" description:"simulated roll-outs of a bad version" default:"300"`
	HealthyRuns        int    `long:"sound-rollouts" description:"simulated roll-outs of a sound version" default:"1000"`
	BurstRuns          int    `long:"burst-rollouts" description:"simulated roll-outs of a sound version with bursts of failures, of each kind" default:"300"`
	LateRegressionRuns int    `long:"late-bad-rollouts" description:"simulated roll-outs of a version that turns bad at the last step" default:"20"`
	Format             string `long:"format" description:"output on standard output" choice:"table" choice:"json" default:"table"`
	Plots              string `long:"plots" description:"directory for PNG plots; none if empty"`
}

// Report is the result of all measurements, and the JSON output of bramleybench.
type Report struct {
	Choices  []ChoiceResult   `json:"choices"`
	Rollouts []RolloutSummary `json:"rollouts"`
}

// Main runs bramleybench with the command-line arguments args, without the program's name. It returns the exit code: 0 on
// success, 1 on failure, 2 for wrong arguments. The exit code does not depend on the measured values; the tests of this
// package check them against their bounds.
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

// run measures, draws the plots if wanted, and writes the report to w.
func (o *options) run(w io.Writer) error {
	r, err := o.measure()
	if err != nil {
		return err
	}
	if o.Plots != "" {
		if err := os.MkdirAll(o.Plots, 0o755); err != nil {
			return fmt.Errorf("create directory for plots: %w", err)
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

// measure runs the choice of models on all loads, and the rollouts whose number of runs is above 0.
func (o *options) measure() (*Report, error) {
	r := &Report{}
	for _, load := range Loads() {
		type seedResult struct {
			results []ChoiceResult
			err     error
		}
		for _, res := range parallel(o.Seeds, func(i int) seedResult {
			results, err := RunChoice(load, o.FirstSeed+uint64(i), Policies...)
			return seedResult{results, err}
		}) {
			if res.err != nil {
				return nil, res.err
			}
			r.Choices = append(r.Choices, res.results...)
		}
	}
	if o.RegressedRuns > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("bad version", RegressedVersion, o.FirstSeed, o.RegressedRuns))
		r.Rollouts = append(r.Rollouts, RunRollouts("bad version, 60 daemons", RegressedVersionManyDaemons, o.FirstSeed, o.RegressedRuns))
	}
	if o.HealthyRuns > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("sound version", HealthyVersion, o.FirstSeed, o.HealthyRuns))
	}
	if o.BurstRuns > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("common bursts", CommonBursts, o.FirstSeed, o.BurstRuns))
		r.Rollouts = append(r.Rollouts, RunRollouts("separate bursts", SeparateBursts, o.FirstSeed, o.BurstRuns))
	}
	if o.LateRegressionRuns > 0 {
		r.Rollouts = append(r.Rollouts, RunRollouts("turns bad at the last step", LateRegression, o.FirstSeed, o.LateRegressionRuns))
	}
	return r, nil
}

// table writes the report as two aligned tables.
func (r *Report) table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tseed\tof oracle\tof single\tof hindsight\tof best\tmargin\tmissed windows\texplored\texcess: margin\twrong\texplore\tearly\tlate\t")
	for _, c := range r.Choices {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%.2f\t%.3f\t%+.4f\t%d/%d\t%.3f\t%+.3f\t%+.3f\t%+.3f\t%.3f\t%.3f\t\n",
			c.Load, c.Policy, c.Seed, c.OracleRatio, c.SingleRatio, c.HindsightRatio, c.BestRatio, c.Margin, c.MissedWindows, c.Windows, c.Explored,
			c.Breakdown.QualityMargin, c.Breakdown.Inefficiency, c.Breakdown.Exploration, c.Breakdown.FirstHalf, c.Breakdown.SecondHalf)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "roll-outs\truns\thalted\tcompleted\tmost exposed\tlongest delay\tmean delay\tlate halts\tturned bad\tlongest bad\t")
	for _, s := range r.Rollouts {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f %%\t%s\t%s\t%d\t%d\t%s\t\n", s.Name, s.Runs, s.Halted, s.Completed, 100*s.MaxExposed, s.MaxDelay, s.MeanDelay.Round(time.Second), s.LateHalts, s.Regressed, s.MaxRegressedTime)
	}
	return t.Flush()
}
