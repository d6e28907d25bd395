package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/httpkv"
	"github.com/bramleytrail/bramleytrail/result"
)

// Exit codes of bramleyctl.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the command ran and its result is negative, for example findings
	ExitUsage       = 2 // invalid or missing arguments
	ExitConflict    = 3 // another revision is in force than the one that the publication is based on
	ExitUnavailable = 4 // the key-value store or a daemon does not respond
)

// commandTimeout limits the duration of a command.
const commandTimeout = 30 * time.Second

// exitError ends a command with an exit code. If err is nil, the command has already printed its result and nothing more is
// printed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

// app holds the common options and the environment of all commands.
type app struct {
	Output string `long:"output" short:"o" description:"output format" choice:"text" choice:"json" default:"text"`
	Store  string `long:"store" env:"BRAMLEY_STORE" description:"URL of the platform's key-value service"`

	ctx      context.Context
	stdin    io.Reader
	stdout   io.Writer
	newStore func(url string) kv.Store
}

// Main runs bramleyctl with the command line's arguments and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return Run(ctx, args, os.Stdin, os.Stdout, os.Stderr, func(url string) kv.Store { return httpkv.NewClient(url) })
}

// Run is Main with a given environment, for tests. newStore returns the key-value store at a URL.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer, newStore func(string) kv.Store) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, newStore: newStore}
	p := flags.NewNamedParser("bramleyctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.register(p); err != nil {
		fmt.Fprintf(stderr, "bramleyctl: %v\n", err)
		return ExitFailed
	}
	_, err := p.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, fe.Message)
			return ExitOK
		}
		fmt.Fprintf(stderr, "bramleyctl: %s\n", fe.Message)
		return ExitUsage
	}
	return exitCode(err, stderr)
}

// exitCode returns the exit code for a command's error and prints the error, unless the command has printed its result.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var ee *exitError
	if errors.As(err, &ee) && ee.err == nil {
		return ee.code
	}
	fmt.Fprintf(stderr, "bramleyctl: %v\n", err)
	var re *result.Error
	switch {
	case ee != nil:
		return ee.code
	case errors.Is(err, kv.ErrUnavailable):
		return ExitUnavailable
	case errors.As(err, &re) && re.Code == result.ConfigConflict:
		return ExitConflict
	default:
		return ExitFailed
	}
}

func (a *app) register(p *flags.Parser) error {
	if _, err := p.AddGroup("Common options", "", a); err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"validate", "Check a directory of declarations as one set", &validateCommand{app: a}},
		{"check", "Check declarations or a platform configuration before it is published", &checkCommand{app: a}},
		{"diff", "Show how a directory differs from the revision in force", &diffCommand{app: a}},
		{"publish", "Check a directory and publish it as the next revision", &publishCommand{app: a}},
		{"status", "Show which daemon has which revision", &statusCommand{app: a}},
		{"state", "Show the state of a daemon or of one request", &stateCommand{app: a}},
		{"placement", "Show where versions are placed and the orders under way", &placementCommand{app: a}},
		{"bills", "Show the bills that are stored, merged by request", &billsCommand{app: a}},
		{"prune", "Remove old claims and bills from the key-value service", &pruneCommand{app: a}},
		{"losses", "Explain from log lines why requests of routes were late or failed", &lossesCommand{app: a}},
		{"codes", "List the result codes", &codesCommand{app: a}},
		{"key", "Make a bearer key for a team, or hash one", &keyCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// store returns the key-value store of the --store option.
func (a *app) store() (kv.Store, error) {
	if a.Store == "" {
		return nil, &exitError{ExitUsage, errors.New("--store or BRAMLEY_STORE is required")}
	}
	return a.newStore(a.Store), nil
}

// print writes v as JSON to standard output, or calls text for the text format.
func (a *app) print(v any, text func(io.Writer)) error {
	if a.Output == "json" {
		enc := json.NewEncoder(a.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(a.stdout)
	return nil
}
