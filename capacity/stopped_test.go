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

var stoppedTestEngine = standin.EngineSpec{Slots: 64, ColdSlots: 64}

// releaseResult is what the caller of callRelease received.
type releaseResult struct {
	answer local.Answer
	err    error
}

// callRelease sends a non-repeatable call with an idempotency key through the daemon with index i.
func (f *testFleet) callRelease(i int, key string) releaseResult {
	a, err := local.NewClient(f.members[i].callerAddr, local.SampleKey).Call(f.ctx, http.MethodPost, "/v1/services/lots/release", []byte("lot 1"),
		map[string]string{identify.HeaderIdempotencyKey: key})
	return releaseResult{a, err}
}

// countRuns returns how often the endpoints executed the call with an idempotency key.
func (f *testFleet) countRuns(key string) int {
	n := 0
	for _, p := range f.PlainEndpoints {
		for _, r := range p.Runs() {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// checkRunState compares the response that a caller received with the number of runs at that time.
func (f *testFleet) checkRunState(what string, d releaseResult, runs int) {
	f.t.Helper()
	ran := d.answer.Header.Get(relay.HeaderRan)
	switch {
	case d.err != nil:
		f.t.Errorf("%s: %v", what, d.err)
	case d.answer.Status == http.StatusOK && runs != 1:
		f.t.Errorf("%s: status 200, but the call ran %d times, want 1", what, runs)
	case d.answer.Status != http.StatusOK && ran == "no" && runs != 0:
		f.t.Errorf("%s: status %d says that the call did not run, but it ran %d times", what, d.answer.Status, runs)
	case d.answer.Status != http.StatusOK && ran == "":
		f.t.Errorf("%s: status %d without the header that states whether the call ran", what, d.answer.Status)
	}
}

// Guards against a call that runs twice, or that is reported as not run although it ran. The process that owns its claim is
// suspended for longer than its leases last, while the caller repeats the call through another daemon.
func TestStoppedOwnerOfAClaim(t *testing.T) {
	for name, c := range map[string]struct {
		when func(f *testFleet) (reached func(), release func())
		// repeat is the status of the repeated call while the owner is suspended, runs the number of runs after it.
		repeat, runs int
	}{
		"before the claim is written": {when: holdClaim(false), repeat: http.StatusOK, runs: 1},
		"after the claim is written":  {when: holdClaim(true), repeat: http.StatusConflict, runs: 0},
		"after the call was sent":     {when: holdCall, repeat: http.StatusConflict, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := startPair(t, stoppedTestEngine)
			reached, release := c.when(f)
			first := make(chan releaseResult, 1)
			go func() { first <- f.callRelease(0, "lot-1") }()
			reached()
			f.suspend()
			f.waitForTakeover()
			repeat := f.callRelease(1, "lot-1")
			if repeat.err != nil || repeat.answer.Status != c.repeat || f.countRuns("lot-1") != c.runs {
				t.Errorf("repeat: %+v, %v, %d runs; want status %d and %d runs", repeat.answer, repeat.err, f.countRuns("lot-1"), c.repeat, c.runs)
			}
			if c.repeat != http.StatusOK && repeat.answer.Header.Get(relay.HeaderRan) != "unknown" {
				t.Errorf("repeat during the first delivery: run state %q, want \"unknown\"", repeat.answer.Header.Get(relay.HeaderRan))
			}
			release()
			f.resume()
			f.checkRunState("first delivery", <-first, f.countRuns("lot-1"))
			f.checkRunState("repeat through the owner", f.callRelease(0, "lot-1"), f.countRuns("lot-1"))
			f.checkRunState("repeat through the other daemon", f.callRelease(1, "lot-1"), f.countRuns("lot-1"))
			f.stopAll()
			if n := f.countRuns("lot-1"); n > 1 {
				t.Errorf("the call ran %d times", n)
			}
		})
	}
}

// holdClaim returns a function that holds the owner's claim before the key-value store writes it or, if written is true, the
// store's response.
func holdClaim(written bool) func(*testFleet) (func(), func()) {
	return func(f *testFleet) (func(), func()) {
		h := f.proxies[0].holdNextWrite(claim.Prefix, written)
		return func() { <-h.reached }, func() { close(h.release); <-h.status }
	}
}

// holdCall holds the endpoints' replies to the call after they have executed it.
func holdCall(f *testFleet) (func(), func()) {
	var releases []func()
	for _, p := range f.PlainEndpoints {
		releases = append(releases, p.HoldReplies())
	}
	reached := func() { f.wait("the call runs", func() bool { return f.countRuns("lot-1") == 1 }) }
	return reached, func() {
		for _, release := range releases {
			release()
		}
	}
}

// Guards against writes by a former holder of a duty, which would overwrite the state that its successor wrote. The process is
// suspended for longer than its lease lasts; one write is in flight then, others would follow when it resumes.
func TestStoppedHolderOfDuties(t *testing.T) {
	const key = "state/quality"
	f := startPair(t, stoppedTestEngine)
	heldWrite := f.proxies[0].holdNextWrite(key, false)
	f.Platform.Ratings.Add(rating.Rating{RequestID: "1", Version: local.SampleSmall, Kind: "summary", Score: 1})
	<-heldWrite.reached
	f.suspend()
	f.waitForTakeover()
	f.Platform.Ratings.Add(rating.Rating{RequestID: "2", Version: local.SampleSmall, Kind: "summary", Score: 1})
	f.wait("the successor has written both ratings", func() bool { return f.countRatings() == 2 })
	owner := f.dutyHolder("rating")
	close(heldWrite.release)
	if status := <-heldWrite.status; status != http.StatusConflict {
		t.Errorf("write of the former holder: status %d, want 409", status)
	}
	_, before := f.proxies[0].countCalls(http.MethodPut, "/v1/keys/state/")
	reads, _ := f.proxies[0].countCalls(http.MethodGet, "/v1/keys/duty/rating")
	f.resume()
	f.wait("the former holder looks for the duty again", func() bool {
		now, _ := f.proxies[0].countCalls(http.MethodGet, "/v1/keys/duty/rating")
		return now >= reads+3
	})
	f.Platform.Ratings.Add(rating.Rating{RequestID: "3", Version: local.SampleSmall, Kind: "summary", Score: 1})
	f.wait("the successor has written the third rating", func() bool { return f.countRatings() == 3 })
	if _, after := f.proxies[0].countCalls(http.MethodPut, "/v1/keys/state/"); after != before {
		t.Errorf("the former holder wrote state %d times after its lease expired", after-before)
	}
	if now := f.dutyHolder("rating"); now != owner {
		t.Errorf("the duty moved from %s to %s", owner, now)
	}
	f.stopAll()
	if n := f.countRatings(); n != 3 {
		t.Errorf("the state has %d ratings, want 3", n)
	}
}

// countRatings returns the number of ratings in the stored state of the rating duty.
func (f *testFleet) countRatings() int {
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

// Guards against streams that end with neither their last event nor an error, and against lost or duplicate bills. The process
// is suspended while it serves streams. Meanwhile the holder of the copies writes the bills of completed answers, and their
// owner writes them again after it resumes.
func TestStoppedServerOfStreams(t *testing.T) {
	const ended, streams, tokens = 5, 6, 200
	f := startPair(t, standin.EngineSpec{Slots: 64, ColdSlots: 64, TokenDelay: 5 * time.Millisecond, AnswerTokens: tokens},
		"--bill-interval", "1h", "--copy-timeout", "10s")
	client := local.NewClient(f.members[0].callerAddr, local.SampleKey)
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
	f.suspend()
	f.waitForTakeover()
	// Each daemon has also served the one request of start.
	f.wait("the copies are written", func() bool { return len(f.readBills()) >= ended })
	f.resume()
	done.Wait()
	complete := 0
	for i, text := range answers {
		if strings.Contains(text, "[DONE]") {
			complete++
		}
		whole := standin.Answer(local.SampleSmall, local.MessagesJSON(fmt.Sprintf("stream %d", i)), tokens)
		if !strings.Contains(text, "[DONE]") && !strings.Contains(text, `"error"`) {
			t.Errorf("stream %d ended with neither [DONE] nor an error after %d bytes", i, len(text))
		}
		if strings.Contains(text, "[DONE]") && streamText(t, text) != whole {
			t.Errorf("the text of stream %d differs from what the engine generated", i)
		}
	}
	t.Logf("%d of %d streams were complete, the others ended with an error", complete, streams)
	f.stopAll()
	f.checkBills(ended+streams+2, int64(tokens))
}

// readStream reads one streamed answer and calls started after its first event.
func (f *testFleet) readStream(prompt string, started func()) string {
	once := sync.OnceFunc(started)
	defer once()
	resp, err := local.NewClient(f.members[0].callerAddr, local.SampleKey).Do(f.ctx, http.MethodPost, "/v1/chat/completions", local.ChatBody("small", prompt, true), nil)
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

// streamText returns the text of a complete streamed answer.
func streamText(t *testing.T, raw string) string {
	t.Helper()
	a, err := local.ReadStream(strings.NewReader(raw))
	if err != nil {
		t.Error(err)
	}
	return a.Text
}

// readBills returns the merged bills from the key-value store.
func (f *testFleet) readBills() []ledger.Bill {
	bills, err := ledger.Read(f.ctx, f.Platform.KV)
	if err != nil {
		f.t.Error(err)
	}
	return bills
}

// checkBills checks that there is one merged bill per request, and that the bills of complete answers have the given number of
// output tokens.
func (f *testFleet) checkBills(requests int, tokens int64) {
	f.t.Helper()
	bills := f.readBills()
	if len(bills) != requests {
		f.t.Errorf("the store has %d bills, want %d", len(bills), requests)
	}
	for _, b := range bills {
		for _, c := range b.Calls {
			if b.Code == 0 && c.Output != tokens {
				f.t.Errorf("request %s is billed with %d tokens, want %d", b.ID, c.Output, tokens)
			}
		}
	}
}
