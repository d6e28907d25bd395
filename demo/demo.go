// Package demo shows the main features of bramleytrail on a deployment in one process, with fakes of the platform and of
// endpoints, and reports each step.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/standin"
)

// demoTimeout limits the whole demo.
const demoTimeout = 30 * time.Second

// Run runs the demo and writes its report to w. It returns an error if a step fails or the demo takes longer than demoTimeout.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dep, err := local.New(daemon.NewLogger("warning"))
	if err != nil {
		return err
	}
	defer dep.Stop()
	if err := local.DeploySample(ctx, dep, 2, standin.EngineSpec{Slots: 64, ColdSlots: 32, WarmAfter: 4, TokenDelay: 5 * time.Millisecond}); err != nil {
		return err
	}
	fmt.Fprintf(w, "Started 2 entry daemons in failure domains %s and %s, 4 model endpoints, 2 plain endpoints and the platform's services.\n", local.SampleDomainA, local.SampleDomainB)
	fmt.Fprintf(w, "Published a configuration; it is in force in both daemons.\n\n")
	session, err := streamAnswer(ctx, w, dep)
	if err != nil {
		return err
	}
	if err := keepSession(ctx, w, dep, session); err != nil {
		return err
	}
	if err := releaseLot(ctx, w, dep); err != nil {
		return err
	}
	if err := printState(w, dep.Daemons[0]); err != nil {
		return err
	}
	if err := dep.Close(ctx); err != nil {
		return err
	}
	fmt.Fprintln(w, "Both daemons drained: no request was cut off, and all bills are written.")
	return printBills(ctx, w, dep)
}

// client returns a client of daemon number i, from 0.
func client(dep *local.Deployment, i int) *local.Client {
	return local.NewClient(dep.Daemons[i].Addr(), local.SampleKey)
}

// streamAnswer streams a chat answer of any model from the first daemon and returns the session.
func streamAnswer(ctx context.Context, w io.Writer, dep *local.Deployment) (session string, err error) {
	a, err := client(dep, 0).Chat(ctx, local.ChatBody("auto", "How many sacks came in today?", true), nil)
	if err != nil {
		return "", err
	}
	fmt.Fprintf(w, "Team %s asked daemon 1 for a streamed answer of any model. Version %s answered in %d events:\n  %s\n", local.SampleTeam, a.Header.Get(relay.HeaderVersion), a.Events, a.Text)
	fmt.Fprintf(w, "It is the cheapest version that reaches the team's quality target.\n\n")
	return a.Header.Get(identify.HeaderSession), nil
}

// keepSession continues the session at the second daemon.
func keepSession(ctx context.Context, w io.Writer, dep *local.Deployment, session string) error {
	a, err := client(dep, 1).Chat(ctx, local.ChatBody("auto", "And yesterday?", false), map[string]string{identify.HeaderSession: session})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "The same session went on at daemon 2 and kept version %s.\n\n", a.Header.Get(relay.HeaderVersion))
	return nil
}

// releaseLot sends a plain call with the same idempotency key to both daemons, so that it is executed once.
func releaseLot(ctx context.Context, w io.Writer, dep *local.Deployment) error {
	header := map[string]string{identify.HeaderIdempotencyKey: "lot-4711"}
	for i, name := range []string{"daemon 1", "daemon 2"} {
		a, err := client(dep, i).Call(ctx, http.MethodPost, "/v1/services/"+local.SamplePlain+"/release", []byte(`{"lot":4711}`), header)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "Lot release sent to %s: status %d, %s", name, a.Status, a.Text)
	}
	runs := 0
	for _, p := range dep.PlainEndpoints {
		runs += len(p.Runs())
	}
	fmt.Fprintf(w, "The release ran %d time; the second daemon gave the recorded answer.\n\n", runs)
	return nil
}

func printState(w io.Writer, d *daemon.Daemon) error {
	s := d.State()
	s.Endpoints, s.Requests = s.Endpoints[:min(1, len(s.Endpoints))], s.Requests[:min(1, len(s.Requests))]
	data, err := json.MarshalIndent(s, "  ", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "State of daemon 1, shortened to one endpoint and one request:\n  %s\n\n", data)
	return nil
}

func printBills(ctx context.Context, w io.Writer, dep *local.Deployment) error {
	bills, err := ledger.Read(ctx, dep.Platform.KV)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "Bills:")
	for _, b := range bills {
		fmt.Fprintf(w, "  %s: %s, %s, %d micro-units\n", b.ID, b.Calls[0].Version, result.Code(b.Code), b.Cost())
	}
	return nil
}
