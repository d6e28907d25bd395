package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/result"
)

// maxResponseBytes limits what is read of a daemon's response.
const maxResponseBytes = 16 << 20

// fetchJSON gets a JSON document from a daemon's operator port and decodes it into v. It fails with ExitUsage for an invalid
// URL, with ExitFailed for status 404, and with ExitUnavailable for other statuses and connection errors.
func fetchJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &exitError{ExitUnavailable, err}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return &exitError{ExitFailed, fmt.Errorf("%s: not found", url)}
	}
	if resp.StatusCode != http.StatusOK {
		return &exitError{ExitUnavailable, fmt.Errorf("%s: status %d", url, resp.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode response of %s: %w", url, err)
	}
	return nil
}

// fetchState returns the state of the daemon whose operator port has the URL base.
func fetchState(ctx context.Context, base string) (daemon.State, error) {
	var s daemon.State
	err := fetchJSON(ctx, base+"/debug/state", &s)
	return s, err
}

type statusCommand struct {
	*app    `no-flag:"true"`
	Daemons []string `long:"daemon" description:"URL of a daemon's operator port" required:"yes"`
}

type statusRow struct {
	Daemon   string `json:"daemon"` // ID, or the URL if the daemon can't be reached
	Domain   string `json:"domain,omitempty"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	Ready    bool   `json:"ready"`
	Error    string `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var rows []statusRow
	failed := false
	for _, url := range c.Daemons {
		s, err := fetchState(c.ctx, url)
		row := statusRow{Daemon: s.ID, Domain: s.Domain, Revision: s.Revision, Digest: s.Digest, Ready: s.Ready}
		if err != nil {
			row, failed = statusRow{Daemon: url, Error: err.Error()}, true
		}
		rows = append(rows, row)
	}
	err := c.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "DAEMON\tDOMAIN\tREVISION\tREADY\tERROR")
		for _, r := range rows {
			fmt.Fprintf(tw, "%s\t%s\t%d\t%t\t%s\n", r.Daemon, r.Domain, r.Revision, r.Ready, r.Error)
		}
		_ = tw.Flush() // a failed write means that the reader has left
	})
	if err == nil && failed {
		return &exitError{code: ExitUnavailable}
	}
	return err
}

type stateCommand struct {
	*app    `no-flag:"true"`
	Daemon  string `long:"daemon" description:"URL of the daemon's operator port" required:"yes"`
	Request string `long:"request" description:"show one request by its Bramley-Request-Id"`
}

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	path := "/debug/state"
	if c.Request != "" {
		path = "/debug/requests/" + url.PathEscape(c.Request)
	}
	var v json.RawMessage
	if err := fetchJSON(c.ctx, c.Daemon+path, &v); err != nil {
		return err
	}
	return c.print(v, func(w io.Writer) { fmt.Fprintln(w, string(v)) })
}

type billsCommand struct {
	*app `no-flag:"true"`
	Team string `long:"team" description:"only this team's bills"`
}

type billsOutput struct {
	Bills   []ledger.Bill `json:"bills"`
	Cost    int64         `json:"cost"`              // micro-units
	Batches int           `json:"batches"`           // stored batches that were read
	Damaged []string      `json:"damaged,omitempty"` // keys of stored batches that can't be decoded
}

// Execute implements flags.Commander.
func (c *billsCommand) Execute([]string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	stored, err := ledger.Inspect(c.ctx, store)
	if err != nil {
		return err
	}
	out := billsOutput{Bills: []ledger.Bill{}, Batches: stored.Batches, Damaged: stored.Damaged}
	for _, b := range stored.Bills {
		if c.Team == "" || b.Team == c.Team {
			out.Bills = append(out.Bills, b)
			out.Cost += b.Cost()
		}
	}
	err = c.print(out, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "REQUEST\tTEAM\tRESULT\tCALLS\tCOST")
		for _, b := range out.Bills {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\n", b.ID, b.Team, result.Code(b.Code), len(b.Calls), b.Cost())
		}
		_ = tw.Flush() // a failed write means that the reader has left
		fmt.Fprintf(w, "%d bills, %d micro-units, from %d batches\n", len(out.Bills), out.Cost, out.Batches)
		for _, key := range out.Damaged {
			fmt.Fprintf(w, "damaged batch %s\n", key)
		}
	})
	if err == nil && len(out.Damaged) > 0 {
		return &exitError{code: ExitFailed}
	}
	return err
}

type codesCommand struct {
	*app `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *codesCommand) Execute([]string) error {
	return c.print(result.All(), func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "CODE\tNAME\tSTATUS\tMEANING")
		for _, i := range result.All() {
			fmt.Fprintf(tw, "%d\t%s\t%d\t%s\n", int(i.Code), i.Name, i.Status, i.Text)
		}
		_ = tw.Flush() // a failed write means that the reader has left
	})
}
