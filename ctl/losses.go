package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/bramleytrail/bramleytrail/losses"
)

type lossesCommand struct {
	*app       `no-flag:"true"`
	Positional struct {
		Files []string `positional-arg-name:"file" description:"log of one or more daemons, in the order of its lines' times; standard input if none is named"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	report := losses.NewReport()
	if len(c.Positional.Files) == 0 {
		if err := report.Read(c.stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Positional.Files {
		if err := readLog(report, name); err != nil {
			return err
		}
	}
	return c.print(report, func(w io.Writer) {
		_ = report.WriteText(w) // a failed write means that the reader has left
	})
}

func readLog(report *losses.Report, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	if err := report.Read(f); err != nil {
		return fmt.Errorf("log %s: %w", name, err)
	}
	return nil
}
