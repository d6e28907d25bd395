package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/bramleytrail/bramleytrail/placement"
)

type placementCommand struct {
	*app   `no-flag:"true"`
	Daemon string `long:"daemon" description:"URL of the daemon's operator port" required:"yes"`
	Domain string `long:"domain" description:"only this failure domain"`
}

// Execute implements flags.Commander.
func (c *placementCommand) Execute([]string) error {
	s, err := fetchState(c.ctx, c.Daemon)
	if err != nil {
		return err
	}
	tables := []placement.Table{}
	for _, domain := range slices.Sorted(maps.Keys(s.Placement)) {
		if c.Domain == "" || c.Domain == domain {
			tables = append(tables, s.Placement[domain])
		}
	}
	return c.print(tables, func(w io.Writer) { printPlacement(w, tables) })
}

func printPlacement(w io.Writer, tables []placement.Table) {
	if len(tables) == 0 {
		fmt.Fprintln(w, "no placement is known")
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "DOMAIN\tVERSION\tNEED\tREADY\tRUNNING")
	for _, t := range tables {
		for _, v := range slices.Sorted(maps.Keys(t.Versions)) {
			s := t.Versions[v]
			fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\n", t.Domain, v, s.Need, s.Ready, s.Running)
		}
	}
	fmt.Fprintln(tw, "\nDOMAIN\tENDPOINT\tORDER\tTARGET\tSTAGE\tATTEMPTS\tFAILURE")
	for _, t := range tables {
		for _, o := range t.Operations {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", t.Domain, o.Endpoint, o.Action, o.Version, o.Stage, o.Attempts, o.Failure)
		}
	}
	_ = tw.Flush() // a failed write means that the reader has left
	for _, t := range tables {
		if t.Problem != "" {
			fmt.Fprintf(w, "%s waits: %s\n", t.Domain, t.Problem)
		}
	}
}
