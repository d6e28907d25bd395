package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/standin"
)

const (
	slowAnswerTokens = 2000
	// maxStalledBytes is the documented limit of the memory of a stalled stream, beyond socket buffers.
	maxStalledBytes = 64 << 10
	// measuredStreams is the number of streams whose memory is measured, after warmUpStreams have filled pools and
	// caches. With 30, other allocations of the process changed the result by up to 14 KB a stream.
	measuredStreams = 200
	warmUpStreams   = 10
)

// slowCaller sends a request and reads nothing of the response until readAnswer is called.
type slowCaller struct {
	conn   net.Conn
	prompt string
}

// newSlowCaller sends a streamed chat request on a new connection with a small receive buffer.
func newSlowCaller(addr, model, prompt string) (*slowCaller, error) {
	control := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	conn, err := (&net.Dialer{Control: control}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, model, slowAnswerTokens, MessagesJSON(prompt))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", SampleKey, len(body), body)
	return &slowCaller{conn, prompt}, err
}

// readAnswer reads the response to its end and returns the generated text. The error is ErrIncomplete if [DONE] is
// missing.
func (c *slowCaller) readAnswer() (string, error) {
	raw, err := io.ReadAll(c.conn)
	if err != nil {
		return "", err
	}
	_, body, _ := bytes.Cut(raw, []byte("\r\n\r\n"))
	var text strings.Builder
	for _, part := range bytes.Split(body, []byte(`"content":"`))[1:] {
		content, _, _ := bytes.Cut(part, []byte(`"`))
		text.Write(content)
	}
	if !bytes.Contains(body, []byte("data: [DONE]")) {
		return text.String(), ErrIncomplete
	}
	return text.String(), nil
}

// startSlowDeployment starts a deployment with one daemon and capacity for 1000 long streams.
func startSlowDeployment(tb testing.TB) (context.Context, *Deployment) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	tb.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Stop)
	d.StallTimeout = watchdog // on a busy machine it takes long until all streams have stalled
	set := SampleSet()
	set.Services[0].Limits.Slots, set.Services[0].Limits.ColdSlots, set.Services[0].Limits.Tokens = 1000, 1000, 100_000_000
	set.Teams[0].Limits.MaxTokens = 2 * slowAnswerTokens
	spec := standin.EngineSpec{Slots: 1000, ColdSlots: 1000, AnswerTokens: slowAnswerTokens}
	if err := DeploySampleSet(ctx, d, 1, spec, set); err != nil {
		tb.Fatal(err)
	}
	return ctx, d
}

// openStalledStreams opens n streams through the daemon, reads nothing and waits until the engines stop generating.
// from is the number of streams that are stalled already.
func openStalledStreams(ctx context.Context, tb testing.TB, d *Deployment, from, n int) []*slowCaller {
	tb.Helper()
	return openStalledStreamsAt(ctx, tb, d, d.Daemons[0].Addr(), "small", from, n)
}

// openStalledStreamsAt is openStalledStreams at the address of a daemon or an engine.
func openStalledStreamsAt(ctx context.Context, tb testing.TB, d *Deployment, addr, model string, from, n int) []*slowCaller {
	tb.Helper()
	var callers []*slowCaller
	for i := range n {
		c, err := newSlowCaller(addr, model, fmt.Sprintf("slow %d", from+i))
		if err != nil {
			tb.Fatal(err)
		}
		callers = append(callers, c)
	}
	last, same := int64(0), 0
	if err := Wait(ctx, func() bool {
		now := generatedTokens(d)
		if now != last || runningStreams(d) < from+n {
			last, same = now, 0
			return false
		}
		same++
		return same > 50
	}); err != nil {
		tb.Fatal(err)
	}
	if last >= int64(from+n)*slowAnswerTokens {
		tb.Errorf("the engines generated all %d tokens although no caller reads", last)
	}
	return callers
}

// runningStreams returns the number of requests that the engines are running.
func runningStreams(d *Deployment) int {
	n := 0
	for _, e := range d.Engines {
		n += e.Running()
	}
	return n
}

// liveMemory returns the bytes of the live heap and of the goroutine stacks.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against slow callers that fill the daemon's memory, let the endpoint generate ahead, delay other callers or
// lose a part of their answer, and against disconnected callers that keep their slot. Daemon, engines and callers share
// the process, so the memory of streams without the daemon is subtracted. The race detector adds memory to each
// goroutine, so .ci/test runs this test without it as well, and only then is the limit checked.
func TestSlowCallers(t *testing.T) {
	ctx, d := startSlowDeployment(t)
	callers := openStalledStreams(ctx, t, d, 0, warmUpStreams)
	before := liveMemory()
	callers = append(callers, openStalledStreams(ctx, t, d, warmUpStreams, measuredStreams)...)
	bytesPerStream := (liveMemory() - before) / measuredStreams
	before = liveMemory()
	direct := openStalledStreamsAt(ctx, t, d, d.servers[SampleSmall+"-"+SampleDomainA].Addr, SampleSmall, len(callers), measuredStreams)
	if bytesPerStream -= (liveMemory() - before) / measuredStreams; bytesPerStream > maxStalledBytes && !raceEnabled {
		t.Errorf("a stalled stream holds %d bytes; want at most %d", bytesPerStream, maxStalledBytes)
	}
	t.Logf("a stalled stream holds %d bytes", bytesPerStream)
	for _, c := range direct {
		_ = c.conn.Close()
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() { // concurrently with the stalled streams
			prompt := fmt.Sprintf("fast %d", i)
			a, err := sampleClient(d, 0).Chat(ctx, []byte(fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":24,"messages":%s}`, MessagesJSON(prompt))), nil)
			if err != nil {
				t.Error(err)
				return
			}
			checkAnswer(t, a, prompt, 24)
		})
	}
	wg.Wait()
	for _, c := range callers[:20] {
		if err := c.conn.Close(); err != nil {
			t.Error(err)
		}
	}
	remaining := len(callers) - 20
	if err := Wait(ctx, func() bool { return runningStreams(d) == remaining }); err != nil {
		t.Errorf("%d streams still run at the endpoints after 20 of %d callers disconnected", runningStreams(d), len(callers))
	}
	for _, c := range callers[20:] {
		wg.Go(func() {
			text, err := c.readAnswer()
			if want := standin.Answer(SampleSmall, MessagesJSON(c.prompt), slowAnswerTokens); err != nil || text != want {
				t.Errorf("%s: %d of %d bytes, %v", c.prompt, len(text), len(want), err)
			}
		})
	}
	wg.Wait()
	for _, s := range d.Daemons[0].State().Endpoints {
		if s.InFlight != 0 || s.Tokens != 0 {
			t.Errorf("endpoint %s: %d requests in flight and %d tokens reserved after all streams ended, want 0", s.ID, s.InFlight, s.Tokens)
		}
	}
	drainAll(ctx, t, d)
}

// BenchmarkStalledCallers reports the memory of a stalled stream as the increase from 50 to 400 streams, divided by 350.
func BenchmarkStalledCallers(b *testing.B) {
	for b.Loop() {
		ctx, d := startSlowDeployment(b)
		callers := openStalledStreams(ctx, b, d, 0, 50)
		before, goroutines := liveMemory(), runtime.NumGoroutine()
		callers = append(callers, openStalledStreams(ctx, b, d, 50, 350)...)
		bytesPerStream, goroutinesPerStream := float64(liveMemory()-before)/350, float64(runtime.NumGoroutine()-goroutines)/350
		before, goroutines = liveMemory(), runtime.NumGoroutine()
		callers = append(callers, openStalledStreamsAt(ctx, b, d, d.servers[SampleSmall+"-"+SampleDomainA].Addr, SampleSmall, 400, 350)...)
		b.ReportMetric(bytesPerStream, "total-B/stream")
		b.ReportMetric(bytesPerStream-float64(liveMemory()-before)/350, "daemon-B/stream")
		b.ReportMetric(goroutinesPerStream-float64(runtime.NumGoroutine()-goroutines)/350, "daemon-goroutines/stream")
		b.ReportMetric(float64(generatedTokens(d))/750, "tokens/stream")
		for _, c := range callers {
			_ = c.conn.Close()
		}
		if err := d.Close(ctx); err != nil {
			b.Error(err)
		}
	}
}

// Guards against a graceful stop that interrupts a long answer, and against a request during the drain whose response
// does not say that it did not run.
func TestDrainWaitsForLongAnswers(t *testing.T) {
	ctx, d := startSlowDeployment(t)
	callers := openStalledStreams(ctx, t, d, 0, 3)
	drained := make(chan error, 1)
	go func() { drained <- d.Daemons[0].Drain(ctx) }()
	if err := Wait(ctx, func() bool { return !d.Daemons[0].Ready() }); err != nil {
		t.Fatal(err)
	}
	runs := len(d.Engines[SampleSmall+"-"+SampleDomainA].Runs()) + len(d.Engines[SampleSmall+"-"+SampleDomainB].Runs())
	for _, stream := range []bool{true, false} {
		var a Answer
		if err := Wait(ctx, func() bool { // the daemon becomes not ready shortly before it rejects requests
			var err error
			a, err = sampleClient(d, 0).Chat(ctx, ChatBody("large", "late", stream), nil)
			return err == nil && a.Status != http.StatusOK
		}); err != nil {
			t.Fatal(err)
		}
		if a.Status != result.Draining.Info().Status || a.Header.Get("Bramley-Ran") != "no" || a.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, header %v; want Bramley-Ran \"no\" and a Retry-After header", a.Status, a.Header)
		}
	}
	select {
	case err := <-drained:
		t.Fatalf("drain ended with %d answers in progress: %v", len(callers), err)
	default:
	}
	for _, c := range callers {
		text, err := c.readAnswer()
		if want := standin.Answer(SampleSmall, MessagesJSON(c.prompt), slowAnswerTokens); err != nil || text != want {
			t.Errorf("%s: %d of %d bytes, %v", c.prompt, len(text), len(want), err)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if after := len(d.Engines[SampleSmall+"-"+SampleDomainA].Runs()) + len(d.Engines[SampleSmall+"-"+SampleDomainB].Runs()); after != runs {
		t.Errorf("%d requests ran although their responses say that they did not", after-runs)
	}
}

// Guards against callers that read nothing and keep occupying an endpoint's slots, and against an answer that is
// incomplete after the daemon paused the stream and released the endpoint.
func TestStalledAnswersGiveUpTheirEndpoint(t *testing.T) {
	ctx, d := startSlowDeployment(t)
	s := d.Settings("entry-pausing", SampleDomainA)
	s.PauseAfter = 200 * time.Millisecond
	dm, err := d.AddDaemon(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := Wait(ctx, dm.Ready); err != nil {
		t.Fatal(err)
	}
	var callers []*slowCaller
	for i := range 10 {
		c, err := newSlowCaller(dm.Addr(), "small", fmt.Sprintf("slow %d", i))
		if err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	all := func(standin.EngineRun) bool { return true }
	if err := Wait(ctx, func() bool { return countRuns(d, all) >= len(callers) && runningStreams(d) == 0 }); err != nil {
		t.Fatal(err)
	}
	if n := generatedTokens(d); n >= int64(len(callers))*slowAnswerTokens {
		t.Errorf("%d tokens were generated for callers that read nothing", n)
	}
	if err := Wait(ctx, func() bool { // the daemon releases the reservation after the endpoint has ended the stream
		return !slices.ContainsFunc(dm.State().Endpoints, func(e pool.EndpointState) bool { return e.InFlight != 0 || e.Tokens != 0 })
	}); err != nil {
		t.Errorf("endpoints %+v: capacity is still reserved for callers that read nothing", dm.State().Endpoints)
	}
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() {
			text, err := c.readAnswer()
			if want := standin.Answer(SampleSmall, MessagesJSON(c.prompt), slowAnswerTokens); err != nil || text != want {
				t.Errorf("%s: %d of %d bytes, %v", c.prompt, len(text), len(want), err)
			}
		})
	}
	wg.Wait()
	d.Daemons = d.Daemons[:1]
	drainAll(ctx, t, d)
	if err := dm.Drain(ctx); err != nil {
		t.Error(err)
	}
}
