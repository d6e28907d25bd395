package local

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/result"
)

// readBills returns all stored bills, merged by identity. It fails the test if some can't be read.
func readBills(ctx context.Context, t *testing.T, d *Deployment) []ledger.Bill {
	t.Helper()
	bills, err := ledger.Read(ctx, d.Platform.KV)
	if err != nil {
		t.Error(err)
	}
	return bills
}

// sendChats sends n chat requests to daemon i, checks the answers and returns the total of the tokens received.
func sendChats(ctx context.Context, t *testing.T, d *Deployment, i, n int) (tokens int64) {
	t.Helper()
	for k := range n {
		prompt := fmt.Sprintf("daemon %d prompt %d", i, k)
		a, err := sampleClient(d, i).Chat(ctx, ChatBody("small", prompt, true), nil)
		if err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, a, prompt, 24)
		tokens += a.Tokens
	}
	return tokens
}

// waitBills waits until the store has n bills, and checks them against the tokens that callers received and the
// engines' runs.
func waitBills(ctx context.Context, t *testing.T, d *Deployment, n int, tokens int64) {
	t.Helper()
	var bills []ledger.Bill
	if err := Wait(ctx, func() bool { bills, _ = ledger.Read(ctx, d.Platform.KV); return len(bills) == n }); err != nil {
		t.Fatalf("%d bills, want %d", len(bills), n)
	}
	var billed int64
	for _, b := range bills {
		for _, c := range b.Calls {
			billed += c.Output
		}
	}
	if billed != tokens || engineRuns(d) != n {
		t.Errorf("%d tokens billed, %d received; %d bills, %d runs", billed, tokens, n, engineRuns(d))
	}
}

// waitState waits until cond holds for a daemon's state. It fails the test with the text of failure if ctx ends first.
func waitState(ctx context.Context, t *testing.T, dm *daemon.Daemon, failure string, cond func(daemon.State) bool) {
	t.Helper()
	if err := Wait(ctx, func() bool { return cond(dm.State()) }); err != nil {
		s := dm.State()
		t.Fatalf("%s: %d bills held, %d uncopied, %d copies", failure, s.BillsHeld, s.BillsUncopied, s.CopiesHeld)
	}
}

// Guards against lost or duplicate bills when the key-value store is down for a while and then loses responses. One of
// the two daemons is drained during the outage, so that the other one has the bills of both.
func TestBillsDuringAnOutage(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	d.Platform.KV.Faults.SetDown(true)
	tokens := sendChats(ctx, t, d, 0, 5) + sendChats(ctx, t, d, 1, 5)
	if err := d.Daemons[0].Drain(ctx); err != nil {
		t.Error(err)
	}
	if s := d.Daemons[1].State(); s.BillsHeld+s.CopiesHeld < 10 {
		t.Errorf("the remaining daemon has %d bills and %d copies of bills, want 10 in total", s.BillsHeld, s.CopiesHeld)
	}
	d.Platform.KV.Faults.LoseReplies(3)
	d.Platform.KV.Faults.SetDown(false)
	if err := d.Daemons[1].Drain(ctx); err != nil {
		t.Error(err)
	}
	waitBills(ctx, t, d, 10, tokens)
}

// Guards against bills that are lost when their daemon is killed, and against duplicate bills when a live daemon is only
// presumed dead: its bill interval is longer than the holder of its copies waits, so that both write the same batch.
func TestOwnerKilledOrSilent(t *testing.T) {
	for _, killed := range []bool{true, false} {
		ctx, d := startSample(t, 1, fastEngine)
		s := d.Settings("entry-2", SampleDomainB)
		s.BillInterval, s.CopyTimeout = time.Hour, 10*time.Second
		owner, err := d.AddDaemon(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.WaitEndpoints(ctx, 6); err != nil {
			t.Fatal(err)
		}
		tokens := sendChats(ctx, t, d, 1, 5)
		if killed {
			owner.Kill()
		}
		waitBills(ctx, t, d, 5, tokens)
		if !killed {
			tokens += sendChats(ctx, t, d, 1, 2)
			drainAll(ctx, t, d)
			waitBills(ctx, t, d, 7, tokens)
		}
	}
}

// Guards against the loss of bills during an outage when the only holder of their copies is killed or drained. The owner
// is killed too, while the key-value store is still down.
func TestHolderLostDuringAnOutage(t *testing.T) {
	for _, drained := range []bool{false, true} {
		ctx, d := startSample(t, 3, fastEngine)
		d.Platform.KV.Faults.SetDown(true)
		tokens := sendChats(ctx, t, d, 0, 5)
		holder, other := d.Daemons[1], d.Daemons[2]
		if err := Wait(ctx, func() bool { return holder.State().CopiesHeld+other.State().CopiesHeld >= 5 }); err != nil {
			t.Fatal(err)
		}
		if other.State().CopiesHeld > 0 {
			holder, other = other, holder
		}
		if drained {
			d.Daemons[0].Kill()
			if err := holder.Drain(ctx); err != nil {
				t.Error(err)
			}
		} else {
			holder.Kill()
			waitState(ctx, t, other, "bills are not copied again", func(s daemon.State) bool { return s.CopiesHeld == 5 })
			d.Daemons[0].Kill()
		}
		d.Platform.KV.Faults.SetDown(false)
		waitBills(ctx, t, d, 5, tokens)
		if err := other.Drain(ctx); err != nil {
			t.Error(err)
		}
	}
}

// Guards against bills that remain without a copy after another daemon has become reachable.
func TestNoOtherDaemonReachable(t *testing.T) {
	ctx, d := startSample(t, 1, fastEngine)
	d.Platform.KV.Faults.SetDown(true)
	tokens := sendChats(ctx, t, d, 0, 3)
	if s := d.Daemons[0].State(); s.BillsUncopied != 3 {
		t.Errorf("daemon reports %d bills without a copy, want 3", s.BillsUncopied)
	}
	other, err := d.AddDaemon(d.Settings("entry-2", SampleDomainB))
	if err != nil {
		t.Fatal(err)
	}
	waitState(ctx, t, d.Daemons[0], "bills are not copied", func(s daemon.State) bool { return s.BillsHeld == 3 && s.BillsUncopied == 0 })
	d.Daemons[0].Kill()
	waitState(ctx, t, other, "the holder does not adopt the bills", func(s daemon.State) bool { return s.BillsHeld == 3 && s.CopiesHeld == 0 })
	d.Platform.KV.Faults.SetDown(false)
	waitBills(ctx, t, d, 3, tokens)
	if err := other.Drain(ctx); err != nil {
		t.Error(err)
	}
}

// Guards against a missing bill, or one for the complete answer, when the caller closes a stream half-way.
func TestStreamCutByItsCaller(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay = 50 * time.Millisecond
	ctx, d := startSample(t, 2, spec)
	resp, err := sampleClient(d, 0).Do(ctx, http.MethodPost, "/v1/chat/completions", ChatBody("small", "long", true), nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(resp.Body)
	for events := 0; events < 4 && lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
		}
	}
	for _, e := range d.Engines {
		e.SetStreamsStalled(true) // keeps the answer from ending before the caller disconnects
	}
	resp.Body.Close()
	drainAll(ctx, t, d)
	bills := readBills(ctx, t, d)
	if len(bills) != 1 || bills[0].Code != int(result.CallerGone) || bills[0].Calls[0].Output < 4 || bills[0].Calls[0].Output >= 24 {
		t.Errorf("bills %+v; want one with result caller_gone and 4 to 23 output tokens", bills)
	}
}

// Guards against two bills for a request that its caller retries through another daemon, and against a single bill for
// different requests that carry the same idempotency key.
func TestRepeatedKeyIsOneBill(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	header := map[string]string{identify.HeaderIdempotencyKey: "k"}
	for _, prompt := range []string{"first", "second"} {
		for i := range 2 {
			a, err := sampleClient(d, i).Chat(ctx, ChatBody("small", prompt, true), header)
			if err != nil {
				t.Fatal(err)
			}
			checkAnswer(t, a, prompt, 24)
		}
	}
	drainAll(ctx, t, d)
	if bills := readBills(ctx, t, d); len(bills) != 2 {
		t.Errorf("%d bills for two requests that were sent twice each, want 2", len(bills))
	}
}
