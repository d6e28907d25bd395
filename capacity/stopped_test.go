package capacity

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

var stopEngine = standin.EngineSpec{Slots: 64, ColdSlots: 64}

type delivery struct {
	a   local.Answer
	err error
}

// release sends a call that may not be repeated through a daemon.
func (f *testFleet) release(i int, key string) delivery {
	a, err := local.NewClient(f.members[i].caller, local.SampleKey).Call(f.ctx, http.MethodPost, "/v1/services/lots/release", []byte("lot 1"),
		map[string]string{identify.HeaderIdempotencyKey: key})
	return delivery{a, err}
}

func (f *testFleet) runs(key string) int {
	n := 0
	for _, p := range f.Plains {
		for _, r := range p.Runs() {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// checkDelivery compares what a caller was told with the number of runs at that time.
func (f *testFleet) checkDelivery(what string, d delivery, runs int) {
	f.t.Helper()
	ran := d.a.Header.Get(relay.HeaderRan)
	switch {
	case d.err != nil:
		f.t.Errorf("%s: %v", what, d.err)
	case d.a.Status == http.StatusOK && runs != 1:
		f.t.Errorf("%s: answered, but the call ran %d times", what, runs)
	case d.a.Status != http.StatusOK && ran == "no" && runs != 0:
		f.t.Errorf("%s: refused with status %d as not run, but the call ran %d times", what, d.a.Status, runs)
	case d.a.Status != http.StatusOK && ran == "":
		f.t.Errorf("%s: status %d without a run state", what, d.a.Status)
	}
}

// Guards against a second run, and a false "not run", if the process that owns a claim is stopped for longer than any of its
// leases while the caller repeats the call through another daemon.
func TestStoppedOwnerOfAClaim(t *testing.T) {
	for name, c := range map[string]struct {
		when func(f *testFleet) (reached func(), release func())
		// repeat is the status of the repeat during the stop, and runs the number of runs then.
		repeat, runs int
	}{
		"before the claim is written": {when: holdClaim(false), repeat: http.StatusOK, runs: 1},
		"after the claim is written":  {when: holdClaim(true), repeat: http.StatusConflict, runs: 0},
		"after the call was sent":     {when: holdCall, repeat: http.StatusConflict, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := startPair(t, stopEngine)
			reached, release := c.when(f)
			first := make(chan delivery, 1)
			go func() { first <- f.release(0, "lot-1") }()
			reached()
			f.pause()
			f.outlastLeases()
			repeat := f.release(1, "lot-1")
			if repeat.err != nil || repeat.a.Status != c.repeat || f.runs("lot-1") != c.runs {
				t.Errorf("repeat: %+v, %v, %d runs; want status %d and %d runs", repeat.a, repeat.err, f.runs("lot-1"), c.repeat, c.runs)
			}
			if c.repeat != http.StatusOK && repeat.a.Header.Get(relay.HeaderRan) != "unknown" {
				t.Errorf("run state %q of a repeat whose first delivery is on its way", repeat.a.Header.Get(relay.HeaderRan))
			}
			release()
			f.proceed()
			f.checkDelivery("first delivery", <-first, f.runs("lot-1"))
			f.checkDelivery("repeat through the owner", f.release(0, "lot-1"), f.runs("lot-1"))
			f.checkDelivery("repeat through the other daemon", f.release(1, "lot-1"), f.runs("lot-1"))
			f.stopAll()
			if n := f.runs("lot-1"); n > 1 {
				t.Errorf("the call ran %d times", n)
			}
		})
	}
}

// holdClaim stops the owner while its claim is on the way to the key-value service, or while the reply is on its way back.
func holdClaim(written bool) func(*testFleet) (func(), func()) {
	return func(f *testFleet) (func(), func()) {
		h := f.access[0].hold(claim.Prefix, written)
		return func() { <-h.reached }, func() { close(h.release); <-h.status }
	}
}

// holdCall stops the owner while the endpoint holds its reply.
func holdCall(f *testFleet) (func(), func()) {
	var releases []func()
	for _, p := range f.Plains {
		releases = append(releases, p.HoldReplies())
	}
	reached := func() { f.wait("the call runs", func() bool { return f.runs("lot-1") == 1 }) }
	return reached, func() {
		for _, release := range releases {
			release()
		}
	}
}

// Guards against writes of a holder of duties that was stopped for longer than its lease: they would undo what its
// successor wrote. One write is on its way when the process stops, the others would follow when it continues.
func TestStoppedHolderOfDuties(t *testing.T) {
	const key = "state/quality"
	f := startPair(t, stopEngine)
	late := f.access[0].hold(key, false)
	f.Platform.Ratings.Add(rating.Rating{RequestID: "1", Version: local.SampleSmall, Kind: "summary", Score: 1})
	<-late.reached
	f.pause()
	f.outlastLeases()
	f.Platform.Ratings.Add(rating.Rating{RequestID: "2", Version: local.SampleSmall, Kind: "summary", Score: 1})
	f.wait("the successor has written both ratings", func() bool { return f.rated() == 2 })
	owner := f.dutyOwner("rating")
	close(late.release)
	if status := <-late.status; status != http.StatusConflict {
		t.Errorf("the late write got status %d", status)
	}
	_, before := f.access[0].count(http.MethodPut, "/v1/keys/state/")
	reads, _ := f.access[0].count(http.MethodGet, "/v1/keys/duty/rating")
	f.proceed()
	f.wait("the former holder looks for the duty again", func() bool {
		now, _ := f.access[0].count(http.MethodGet, "/v1/keys/duty/rating")
		return now >= reads+3
	})
	f.Platform.Ratings.Add(rating.Rating{RequestID: "3", Version: local.SampleSmall, Kind: "summary", Score: 1})
	f.wait("the successor has written the third rating", func() bool { return f.rated() == 3 })
	if _, after := f.access[0].count(http.MethodPut, "/v1/keys/state/"); after != before {
		t.Errorf("the former holder wrote state %d times after its lease", after-before)
	}
	if now := f.dutyOwner("rating"); now != owner {
		t.Errorf("the duty went from %s to %s", owner, now)
	}
	f.stopAll()
	if n := f.rated(); n != 3 {
		t.Errorf("%d ratings are in the state, want 3", n)
	}
}

// rated returns the number of ratings in the state of the rating duty.
func (f *testFleet) rated() int {
	_, body, err := duty.ReadState(f.ctx, f.Platform.KV, "state/quality")
	if err != nil || len(body) == 0 {
		return 0
	}
	s, err := quality.Decode(body)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	return int(s.Totals[local.SampleSmall].Rated)
}

// Guards against answers that end without their end or an error, and against lost or doubled bills, if the process that
// serves streams is stopped in the middle of them. The bills of ended answers are written by the holder of their copies
// during the stop and again by their owner after it.
func TestStoppedServerOfStreams(t *testing.T) {
	const ended, streams, tokens = 5, 6, 200
	f := startPair(t, standin.EngineSpec{Slots: 64, ColdSlots: 64, TokenDelay: 5 * time.Millisecond, AnswerTokens: tokens},
		"--bill-interval", "1h", "--copy-timeout", "10s")
	client := local.NewClient(f.members[0].caller, local.SampleKey)
	for i := range ended {
		if a, err := client.Chat(f.ctx, local.ChatBody("small", fmt.Sprintf("ended %d", i), true), nil); err != nil || a.Tokens != tokens {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	var started, done sync.WaitGroup
	answers := make([]string, streams)
	for i := range streams {
		started.Add(1)
		done.Go(func() { answers[i] = f.readStream(fmt.Sprintf("stream %d", i), started.Done) })
	}
	started.Wait()
	f.pause()
	f.outlastLeases()
	// Each daemon served one request when it started.
	f.wait("the copies are written", func() bool { return len(f.bills()) >= ended })
	f.proceed()
	done.Wait()
	complete := 0
	for i, text := range answers {
		if strings.Contains(text, "[DONE]") {
			complete++
		}
		whole := standin.Answer(local.SampleSmall, local.Messages(fmt.Sprintf("stream %d", i)), tokens)
		if !strings.Contains(text, "[DONE]") && !strings.Contains(text, `"error"`) {
			t.Errorf("stream %d ended without its end or an error: %d bytes", i, len(text))
		}
		if strings.Contains(text, "[DONE]") && streamText(t, text) != whole {
			t.Errorf("stream %d has other text than the engine generated", i)
		}
	}
	t.Logf("%d of %d streams were answered as a whole, the others ended with an error", complete, streams)
	f.stopAll()
	f.checkBills(ended+streams+2, int64(tokens))
}

// readStream reads one streamed answer and calls started after its first event.
func (f *testFleet) readStream(prompt string, started func()) string {
	once := sync.OnceFunc(started)
	defer once()
	resp, err := local.NewClient(f.members[0].caller, local.SampleKey).Do(f.ctx, http.MethodPost, "/v1/chat/completions", local.ChatBody("small", prompt, true), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var text strings.Builder
	buf := make([]byte, 512)
	for {
		n, err := resp.Body.Read(buf)
		text.Write(buf[:n])
		if n > 0 {
			once()
		}
		if err != nil {
			return text.String()
		}
	}
}

func streamText(t *testing.T, raw string) string {
	t.Helper()
	a, err := local.ReadStream(strings.NewReader(raw))
	if err != nil {
		t.Error(err)
	}
	return a.Text
}

func (f *testFleet) bills() []ledger.Bill {
	bills, err := ledger.Read(f.ctx, f.Platform.KV)
	if err != nil {
		f.t.Error(err)
	}
	return bills
}

// checkBills compares the merged bills, one for each identity, with the number of requests, and their tokens with those of
// whole answers.
func (f *testFleet) checkBills(requests int, tokens int64) {
	f.t.Helper()
	bills := f.bills()
	if len(bills) != requests {
		f.t.Errorf("%d bills, want %d", len(bills), requests)
	}
	for _, b := range bills {
		for _, c := range b.Calls {
			if b.Code == 0 && c.Output != tokens {
				f.t.Errorf("request %s is billed with %d tokens, want %d", b.ID, c.Output, tokens)
			}
		}
	}
}
