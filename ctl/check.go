package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/platform"
)

// maxInputBytes limits what is read of a file or standard input; it is the limit of a declaration file.
const maxInputBytes = declare.MaxFileBytes

type checkCommand struct {
	*app     `no-flag:"true"`
	Against  string `long:"against" value-name:"DIR|FILE" description:"also show the differences from this configuration"`
	InForce  bool   `long:"in-force" description:"also show the differences from the version in force, which is read from --store"`
	Settings string `long:"settings" value-name:"FILE" description:"settings file of a daemon, for the retry budget"`
	Format   string `long:"format" description:"output format (default: that of --output)" choice:"text" choice:"json"`
	Args     struct {
		Input string `positional-arg-name:"DIR|FILE|-" description:"directory or file with declarations, JSON file with a platform configuration, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

type checkOutput struct {
	OK       bool              `json:"ok"` // no finding
	Errors   int               `json:"errors"`
	Warnings int               `json:"warnings"`
	Findings []declare.Finding `json:"findings"`
	Against  string            `json:"against,omitempty"`
	Changes  []declare.Change  `json:"changes,omitempty"` // since Against; none if the content has errors
}

// configuration is a checked configuration: declared objects, or the operators' configuration of the platform if document is set.
type configuration struct {
	set      object.Set
	document *platform.Config
	platform bool // also set if the document has errors and so is nil
	name     string
	data     []byte // content of the document
	findings []declare.Finding
}

// Execute implements flags.Commander. A failure to run ends with ExitUsage, so that it differs from findings.
func (c *checkCommand) Execute([]string) error {
	out, err := c.check()
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	if c.Format != "" {
		c.Output = c.Format
	}
	if err := c.print(out, func(w io.Writer) { printCheck(w, out) }); err != nil {
		return &exitError{ExitUsage, err}
	}
	if !out.OK {
		return &exitError{code: ExitFailed}
	}
	return nil
}

func (c *checkCommand) check() (out checkOutput, err error) {
	if c.Against != "" && c.InForce {
		return out, errors.New("--against and --in-force exclude each other")
	}
	budget, err := c.retryBudget()
	if err != nil {
		return out, err
	}
	cfg, err := c.load(c.Args.Input, budget)
	if err != nil {
		return out, err
	}
	if !declare.HasErrors(cfg.findings) && (c.Against != "" || c.InForce) {
		if err := c.compare(&cfg, &out); err != nil {
			return out, err
		}
	}
	out.Findings = append([]declare.Finding{}, cfg.findings...)
	for _, f := range out.Findings {
		if f.Severity == declare.SeverityError {
			out.Errors++
		}
	}
	out.Warnings, out.OK = len(out.Findings)-out.Errors, len(out.Findings) == 0
	return out, nil
}

// compare adds the changes to out, and the findings of the version to cfg if it is compared with the one in force.
func (c *checkCommand) compare(cfg *configuration, out *checkOutput) (err error) {
	var other configuration
	if c.InForce {
		other, out.Against, err = c.loadInForce(cfg.platform)
	} else {
		out.Against = c.Against
		other, err = c.load(c.Against, nil)
	}
	switch {
	case err != nil:
		return err
	case other.platform != cfg.platform:
		return fmt.Errorf("%s is another kind of configuration", out.Against)
	case declare.HasErrors(other.findings):
		return fmt.Errorf("%s has errors; check it first", out.Against)
	case !cfg.platform:
		out.Changes = declare.DiffMeaning(other.set, cfg.set)
		return nil
	}
	out.Changes = platform.DiffConfig(other.document, cfg.document)
	if c.InForce && other.document.Version > 0 { // 0 if nothing was published yet
		cfg.findings = append(cfg.findings, platform.CheckVersion(cfg.name, cfg.data, cfg.document, other.document, out.Changes)...)
	}
	return nil
}

// retryBudget returns the retry budget in the settings file, or nil without one.
func (c *checkCommand) retryBudget() (*declare.RetryBudget, error) {
	if c.Settings == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return nil, err
	}
	s, err := platform.ParseSettings(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Settings, err)
	}
	return &declare.RetryBudget{Ratio: s.RetryRatio, Reserve: s.RetryReserve}, nil
}

// load reads and checks a directory, a file, or standard input for "-". The error means that it can't be read.
func (c *checkCommand) load(input string, budget *declare.RetryBudget) (configuration, error) {
	name, r := input, c.stdin
	if input == "-" {
		name = "stdin"
	} else {
		info, err := os.Stat(input)
		if err != nil {
			return configuration{}, err
		}
		if info.IsDir() {
			set, sources, findings, err := declare.Load(input)
			return checkDeclared(set, sources, findings), err
		}
		f, err := os.Open(input)
		if err != nil {
			return configuration{}, err
		}
		defer f.Close()
		r = f
	}
	data, err := io.ReadAll(io.LimitReader(r, maxInputBytes+1)) // one byte more, so that a file above the limit is reported
	if err != nil {
		return configuration{}, fmt.Errorf("read %s: %w", name, err)
	}
	if isPlatformConfig(data) {
		return checkDocument(name, data, budget), nil
	}
	return checkDeclared(declare.Parse(name, data)), nil
}

// isPlatformConfig tells the operators' configuration of the platform, which is a JSON object, from declarations in YAML.
func isPlatformConfig(data []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) }

func checkDocument(name string, data []byte, budget *declare.RetryBudget) configuration {
	doc, findings := platform.CheckConfig(name, data, budget)
	return configuration{document: doc, platform: true, name: name, data: data, findings: findings}
}

// checkDeclared adds the findings of the whole set to those of its files. Warnings are only determined for a set without errors.
func checkDeclared(set object.Set, sources declare.Sources, findings []declare.Finding) configuration {
	findings = append(findings, declare.Check(set, sources)...)
	if len(findings) == 0 {
		findings = declare.Warn(set, sources)
		if _, _, err := declare.Encode(set); err != nil {
			findings = append(findings, declare.NewFinding(declare.CodeTooLarge, declare.Ref{}, "", err.Error(), fmt.Sprintf("at most %d bytes", declare.MaxEncodedBytes)))
		}
	}
	declare.SortFindings(findings)
	return configuration{set: set, findings: findings}
}

// loadInForce reads the version in force from the store and returns it with its description.
func (c *checkCommand) loadInForce(isPlatform bool) (configuration, string, error) {
	store, err := c.store()
	if err != nil {
		return configuration{}, "", err
	}
	if !isPlatform {
		rev, set, _, err := currentRevision(c.ctx, store)
		return configuration{set: set}, fmt.Sprintf("revision %d", rev.Number), err
	}
	doc, err := platformInForce(c.ctx, store)
	if err != nil {
		return configuration{}, "", err
	}
	return configuration{document: doc, platform: true}, fmt.Sprintf("version %d", doc.Version), nil
}

// platformInForce returns the operators' configuration in the store, which is empty if there is none yet.
func platformInForce(ctx context.Context, store kv.Store) (*platform.Config, error) {
	e, err := store.Get(ctx, platform.ConfigKey)
	if errors.Is(err, kv.ErrNotFound) {
		return &platform.Config{}, nil
	}
	if err != nil {
		return nil, err
	}
	return platform.ParseConfig(e.Value)
}

func printCheck(w io.Writer, out checkOutput) {
	for _, f := range out.Findings {
		place := ""
		switch {
		case f.Line > 0:
			place = fmt.Sprintf("%s:%d: ", f.File, f.Line)
		case f.File != "":
			place = f.File + ": "
		}
		parts := []string{fmt.Sprintf("%s%s [%s]", place, f.Severity, f.Code)}
		if f.Kind != "" {
			parts = append(parts, strings.TrimSuffix(string(f.Kind)+"/"+f.Name, "/"))
		}
		if f.Field != "" {
			parts = append(parts, f.Field)
		}
		fmt.Fprintf(w, "%s; want %s\n", strings.Join(append(parts, f.Problem), ": "), f.Want)
		if f.Example != "" {
			fmt.Fprintf(w, "    example: %s\n", strings.ReplaceAll(strings.TrimSpace(f.Example), "\n", "\n    "))
		}
	}
	if out.Against != "" {
		fmt.Fprintf(w, "against %s:\n", out.Against)
		printChanges(w, out.Changes)
	}
	fmt.Fprintf(w, "%d errors, %d warnings\n", out.Errors, out.Warnings)
}
