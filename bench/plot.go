package bench

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotSeries draws one plot for each load into the file that the function file names: the cost of each policy divided by the
// oracle's over the run, as the mean of all seeds. The error names the load whose plot could not be drawn or written.
func plotSeries(results []ChoiceResult, file func(load string) string) error {
	byLoad := map[string]map[string][][]float64{}
	for _, r := range results {
		if byLoad[r.Load] == nil {
			byLoad[r.Load] = map[string][][]float64{}
		}
		byLoad[r.Load][r.Policy] = append(byLoad[r.Load][r.Policy], r.Series)
	}
	for load, policies := range byLoad {
		p := plot.New()
		p.Title.Text = "Cost relative to the oracle: " + load
		p.X.Label.Text = "part of the run"
		p.Y.Label.Text = "ratio"
		p.Y.Min = 0
		var lines []any
		for _, name := range Policies {
			if runs := policies[name]; len(runs) > 0 {
				lines = append(lines, name, meanSeries(runs))
			}
		}
		if err := plotutil.AddLines(p, lines...); err != nil {
			return fmt.Errorf("draw plot of load %s: %w", load, err)
		}
		if err := p.Save(plotWidth, plotHeight, file(load)); err != nil {
			return fmt.Errorf("save plot of load %s: %w", load, err)
		}
	}
	return nil
}

// meanSeries returns the mean of several series, with each part of the run at its middle.
func meanSeries(runs [][]float64) plotter.XYs {
	out := make(plotter.XYs, len(runs[0]))
	for i := range out {
		out[i].X = (float64(i) + 0.5) / float64(len(out))
		for _, r := range runs {
			out[i].Y += r[i] / float64(len(runs))
		}
	}
	return out
}
