package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/ledger"
)

type pruneCommand struct {
	*app   `no-flag:"true"`
	Claims time.Duration `long:"claims-older-than" description:"remove claims with an outcome that are older, at least 168h"`
	Bills  time.Duration `long:"bills-older-than" description:"remove batches of bills that are older, at least 168h; export them first"`
	Yes    bool          `long:"yes" description:"remove; without it the command only counts"`
}

type pruneOutput struct {
	Claims  *claim.PruneResult  `json:"claims,omitempty"`
	Bills   *ledger.PruneResult `json:"bills,omitempty"`
	Removed bool                `json:"removed"` // false if the entries were only counted
}

// Execute implements flags.Commander.
func (c *pruneCommand) Execute([]string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	out := pruneOutput{Removed: c.Yes}
	dryRun := !out.Removed
	if c.Claims > 0 {
		p, err := claim.Prune(c.ctx, store, time.Now().Add(-c.Claims), dryRun)
		if err != nil {
			return err
		}
		out.Claims = &p
	}
	if c.Bills > 0 {
		p, err := ledger.Prune(c.ctx, store, time.Now().Add(-c.Bills), dryRun)
		if err != nil {
			return err
		}
		out.Bills = &p
	}
	return c.print(out, func(w io.Writer) {
		if out.Claims != nil {
			fmt.Fprintf(w, "claims: %d old with an outcome, %d others\n", out.Claims.Removed, out.Claims.Kept)
			for _, key := range out.Claims.Unfinished {
				fmt.Fprintf(w, "old claim without an outcome: %s\n", key)
			}
		}
		if out.Bills != nil {
			fmt.Fprintf(w, "batches of bills: %d old, %d others\n", out.Bills.Removed, out.Bills.Kept)
		}
		if dryRun {
			fmt.Fprintln(w, "nothing was removed; add --yes")
		}
	})
}
