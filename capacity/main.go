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

// Options are the command-line options of bramleycap.
type Options struct {
	Daemon  string        `long:"daemon" description:"path of bramleyd; built if empty"`
	StandIn string        `long:"standin" description:"path of bramleystandin; built if empty"`
	Only    []string      `long:"only" description:"measure this only; may be repeated: daemons, list, config, data, streams, bills, storms"`
	Window  time.Duration `long:"window" description:"time for which idle daemons are measured" default:"32s"`
	Limit   time.Duration `long:"limit" description:"time after which the command stops" default:"15m"`
	Output  string        `long:"output" description:"file for the figures as JSON; none if empty"`
}

// minWindow is the smallest accepted --window. The host list and the watches are renewed every 30 s, so
// only a window longer than that, such as the default, covers a renewal.
const minWindow = 2 * time.Second

// Check validates the options and returns all problems as one joined error.
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

// measurement is one part of a run, selected by its name with --only.
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

// Main runs the command with the given arguments and returns the exit code. It writes the table to standard output, and
// progress and errors to standard error.
func Main(args []string) int {
	o := Options{}
	if code, done := settings.ParseOptions("bramleycap", args, &o); done {
		return code
	}
	// SIGHUP and SIGPIPE cancel the run as well: a closed terminal or pipe would otherwise leave the started processes behind.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	defer stop()
	if err := Run(ctx, o, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintf(os.Stderr, "bramleycap: %v\n", err)
		return exitFailure
	}
	return exitOK
}

// Run runs the selected measurements and writes the table to out, progress to progress, and JSON to o.Output if that is
// set. It fails at the first measurement that fails and then writes no table.
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
	r := &runner{binaries: b, idleWindow: o.Window, progress: progress, report: &Report{}, points: map[series][]Point{}}
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

// Build compiles the programs whose path is empty in b into dir and returns b with all paths set. It needs the go command
// and must run inside the module.
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

// WriteTable writes the fits and facts as a text table.
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
	_ = t.Flush() // fails only if the reader has closed its end
}
