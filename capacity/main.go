package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/bramleytrail/bramleytrail/settings"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
)

// Options are the settings of the command.
type Options struct {
	Daemon  string        `long:"daemon" description:"path of bramleyd; built if empty"`
	StandIn string        `long:"standin" description:"path of bramleystandin; built if empty"`
	Only    []string      `long:"only" description:"measure this only; may be repeated: daemons, list, config, data, streams, bills, storms"`
	Window  time.Duration `long:"window" description:"time for which idle daemons are measured" default:"32s"`
	Limit   time.Duration `long:"limit" description:"time after which the command stops" default:"15m"`
	Output  string        `long:"output" description:"file for the figures as JSON; none if empty"`
}

// minWindow is the shortest useful window: the host list and the watches are renewed every 30 s.
const minWindow = 2 * time.Second

// Check reports all problems of the options.
func (o *Options) Check() error {
	var errs []error
	for _, name := range o.Only {
		if !slices.ContainsFunc(measurements, func(m measurement) bool { return m.name == name }) {
			errs = append(errs, fmt.Errorf("--only: %q is not a measurement", name))
		}
	}
	if o.Window < minWindow || o.Limit <= 0 {
		errs = append(errs, fmt.Errorf("--window must be at least %s and --limit positive", minWindow))
	}
	return errors.Join(errs...)
}

type measurement struct {
	name string
	run  func(*runner, context.Context) error
}

var measurements = []measurement{
	{"daemons", (*runner).measureDaemons},
	{"list", (*runner).measureList},
	{"config", (*runner).measureConfig},
	{"data", (*runner).measureData},
	{"streams", (*runner).measureStreams},
	{"bills", (*runner).measureBills},
	{"storms", (*runner).measureStorms},
}

// Main runs the measurements and returns the exit code.
func Main(args []string) int {
	o := Options{}
	if code, done := settings.ParseOptions("bramleycap", args, &o); done {
		return code
	}
	// A closed terminal or pipe also ends the run in order; otherwise the started processes would stay.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	defer stop()
	if err := Run(ctx, o, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintf(os.Stderr, "bramleycap: %v\n", err)
		return exitFailure
	}
	return exitOK
}

// Run measures and writes the table to out.
func Run(ctx context.Context, o Options, out, progress io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "bramleycap")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	b, err := Build(ctx, dir, Binaries{Daemon: o.Daemon, StandIn: o.StandIn})
	if err != nil {
		return err
	}
	r := &runner{binaries: b, window: o.Window, progress: progress, report: &Report{}, points: map[series][]Point{}}
	for _, m := range measurements {
		if len(o.Only) > 0 && !slices.Contains(o.Only, m.name) {
			continue
		}
		if err := m.run(r, ctx); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		if err := r.fitAll(); err != nil {
			return err
		}
	}
	r.report.WriteTable(out)
	if o.Output == "" {
		return nil
	}
	data, err := json.MarshalIndent(r.report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.Output, data, 0o644)
}

// Build builds the programs that have no path yet into dir. It needs the Go tool and the module's directory.
func Build(ctx context.Context, dir string, b Binaries) (Binaries, error) {
	const module = "github.com/bramleytrail/bramleytrail"
	for _, p := range []struct {
		path *string
		name string
	}{{&b.Daemon, "bramleyd"}, {&b.StandIn, "bramleystandin"}} {
		if *p.path != "" {
			continue
		}
		*p.path = filepath.Join(dir, p.name)
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", *p.path, module+"/cmd/"+p.name).CombinedOutput(); err != nil {
			return b, fmt.Errorf("build %s: %w: %s", p.name, err, out)
		}
	}
	return b, nil
}

// WriteTable writes the figures as text.
func (r *Report) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "line\tx\ty\tintercept\tslope\tresidual\tpoints")
	for _, f := range r.Fits {
		var points []string
		for _, p := range f.Points {
			points = append(points, fmt.Sprintf("%.4g:%.4g", p.X, p.Y))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%s\n", f.Name, f.X, f.Y, f.Intercept, f.Slope, f.Residual, strings.Join(points, " "))
	}
	for _, f := range r.Facts {
		fmt.Fprintf(t, "%s\t\t%s\t%.4g\n", f.Name, f.Unit, f.Value)
	}
	_ = t.Flush() // a failed write means that the reader has left
}
