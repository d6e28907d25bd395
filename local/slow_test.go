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
	slowTokens = 2000
	// maxStalledBytes is the stated limit of the memory that a stalled stream holds beyond socket buffers.
	maxStalledBytes = 64 << 10
	// Streams whose memory is measured, after firstStalled have filled pools and caches. With 30, what else the process
	// allocates in the meantime moved the result by up to 14 KB a stream.
	measuredStalled = 200
	firstStalled    = 10
)

// slowCaller sends a request and reads nothing until it is told to.
type slowCaller struct {
	conn   net.Conn
	prompt string
}

func newSlowCaller(addr, model, prompt string) (*slowCaller, error) {
	control := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	conn, err := (&net.Dialer{Control: control}).Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, model, slowTokens, Messages(prompt))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", SampleKey, len(body), body)
	return &slowCaller{conn, prompt}, err
}

// read reads the rest of the answer and returns its text.
func (c *slowCaller) read() (string, error) {
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

func startSlow(tb testing.TB) (context.Context, *Deployment) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	tb.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Stop)
	d.Stall = watchdog // on a busy machine it takes long until all streams stand
	set := SampleSet()
	set.Services[0].Limits.Slots, set.Services[0].Limits.ColdSlots, set.Services[0].Limits.Tokens = 1000, 1000, 100_000_000
	set.Teams[0].Limits.MaxTokens = 2 * slowTokens
	spec := standin.EngineSpec{Slots: 1000, ColdSlots: 1000, AnswerTokens: slowTokens}
	if err := SampleWith(ctx, d, 1, spec, set); err != nil {
		tb.Fatal(err)
	}
	return ctx, d
}

// stall opens n streams that are not read and waits until the engines stop generating for them.
func stall(ctx context.Context, tb testing.TB, d *Deployment, from, n int) []*slowCaller {
	tb.Helper()
	return stallAt(ctx, tb, d, d.Daemons[0].Addr(), "small", from, n)
}

// stallAt is stall at the address of a daemon or of an engine.
func stallAt(ctx context.Context, tb testing.TB, d *Deployment, addr, model string, from, n int) []*slowCaller {
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
		now := generated(d)
		if now != last || running(d) < from+n {
			last, same = now, 0
			return false
		}
		same++
		return same > 50
	}); err != nil {
		tb.Fatal(err)
	}
	if last >= int64(from+n)*slowTokens {
		tb.Errorf("the engines generated all %d tokens although nobody reads", last)
	}
	return callers
}

func running(d *Deployment) int {
	n := 0
	for _, e := range d.Engines {
		n += e.Running()
	}
	return n
}

// memory returns the bytes of live heap and of goroutine stacks.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against a slow caller that fills the daemon's memory, lets the endpoint generate ahead, delays others or loses
// a part of its answer, and against a caller that leaves and keeps its slot. Daemon, engine and callers share the process;
// the memory of streams without the daemon is subtracted. The race detector adds memory of its own to each goroutine, so
// .ci/run runs this test without it as well, and only then the limit applies.
func TestSlowCallers(t *testing.T) {
	ctx, d := startSlow(t)
	callers := stall(ctx, t, d, 0, firstStalled)
	before := memory()
	callers = append(callers, stall(ctx, t, d, firstStalled, measuredStalled)...)
	each := (memory() - before) / measuredStalled
	before = memory()
	direct := stallAt(ctx, t, d, d.servers[SampleSmall+"-"+SampleDomainA].Addr, SampleSmall, len(callers), measuredStalled)
	if each -= (memory() - before) / measuredStalled; each > maxStalledBytes && !raceEnabled {
		t.Errorf("a stalled stream holds %d bytes; want at most %d", each, maxStalledBytes)
	}
	t.Logf("a stalled stream holds %d bytes", each)
	for _, c := range direct {
		_ = c.conn.Close()
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() { // while the others are stalled
			prompt := fmt.Sprintf("fast %d", i)
			a, err := sampleClient(d, 0).Chat(ctx, []byte(fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":24,"messages":%s}`, Messages(prompt))), nil)
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
	staying := len(callers) - 20
	if err := Wait(ctx, func() bool { return running(d) == staying }); err != nil {
		t.Errorf("%d streams still run at the endpoints after 20 of %d callers left", running(d), len(callers))
	}
	for _, c := range callers[20:] {
		wg.Go(func() {
			text, err := c.read()
			if want := standin.Answer(SampleSmall, Messages(c.prompt), slowTokens); err != nil || text != want {
				t.Errorf("%s: %d of %d bytes, %v", c.prompt, len(text), len(want), err)
			}
		})
	}
	wg.Wait()
	for _, s := range d.Daemons[0].State().Endpoints {
		if s.InFlight != 0 || s.Tokens != 0 {
			t.Errorf("%s: %d in flight, %d tokens are left", s.ID, s.InFlight, s.Tokens)
		}
	}
	drainAll(ctx, t, d)
}

// BenchmarkStalledCallers reports the memory of a stalled stream as the slope between 50 and 400 of them.
func BenchmarkStalledCallers(b *testing.B) {
	for b.Loop() {
		ctx, d := startSlow(b)
		callers := stall(ctx, b, d, 0, 50)
		before, goroutines := memory(), runtime.NumGoroutine()
		callers = append(callers, stall(ctx, b, d, 50, 350)...)
		each, goroutinesEach := float64(memory()-before)/350, float64(runtime.NumGoroutine()-goroutines)/350
		before, goroutines = memory(), runtime.NumGoroutine()
		callers = append(callers, stallAt(ctx, b, d, d.servers[SampleSmall+"-"+SampleDomainA].Addr, SampleSmall, 400, 350)...)
		b.ReportMetric(each, "total-B/stream")
		b.ReportMetric(each-float64(memory()-before)/350, "daemon-B/stream")
		b.ReportMetric(goroutinesEach-float64(runtime.NumGoroutine()-goroutines)/350, "daemon-goroutines/stream")
		b.ReportMetric(float64(generated(d))/750, "tokens/stream")
		for _, c := range callers {
			_ = c.conn.Close()
		}
		if err := d.Close(ctx); err != nil {
			b.Error(err)
		}
	}
}

// Guards against a planned stop that cuts a long answer, and against a request that arrives meanwhile and is not told
// that it did not run.
func TestDrainWaitsForLongAnswers(t *testing.T) {
	ctx, d := startSlow(t)
	callers := stall(ctx, t, d, 0, 3)
	drained := make(chan error, 1)
	go func() { drained <- d.Daemons[0].Drain(ctx) }()
	if err := Wait(ctx, func() bool { return !d.Daemons[0].Ready() }); err != nil {
		t.Fatal(err)
	}
	runs := len(d.Engines[SampleSmall+"-"+SampleDomainA].Runs()) + len(d.Engines[SampleSmall+"-"+SampleDomainB].Runs())
	for _, stream := range []bool{true, false} {
		var a Answer
		if err := Wait(ctx, func() bool { // ready turns false just before nothing is admitted any more
			var err error
			a, err = sampleClient(d, 0).Chat(ctx, ChatBody("large", "late", stream), nil)
			return err == nil && a.Status != http.StatusOK
		}); err != nil {
			t.Fatal(err)
		}
		if a.Status != result.Draining.Info().Status || a.Header.Get("Bramley-Ran") != "no" || a.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, header %v; want not run, and when to retry", a.Status, a.Header)
		}
	}
	select {
	case err := <-drained:
		t.Fatalf("stopped with %d answers in progress: %v", len(callers), err)
	default:
	}
	for _, c := range callers {
		text, err := c.read()
		if want := standin.Answer(SampleSmall, Messages(c.prompt), slowTokens); err != nil || text != want {
			t.Errorf("%s: %d of %d bytes, %v", c.prompt, len(text), len(want), err)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if after := len(d.Engines[SampleSmall+"-"+SampleDomainA].Runs()) + len(d.Engines[SampleSmall+"-"+SampleDomainB].Runs()); after != runs {
		t.Errorf("%d requests ran that were told that they did not", after-runs)
	}
}

// Guards against callers that read nothing and keep the slots of an endpoint from others, and against an answer that is
// not whole after its endpoint was given up.
func TestStalledAnswersGiveUpTheirEndpoint(t *testing.T) {
	ctx, d := startSlow(t)
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
	if err := Wait(ctx, func() bool { return runs(d, all) >= len(callers) && running(d) == 0 }); err != nil {
		t.Fatal(err)
	}
	if n := generated(d); n >= int64(len(callers))*slowTokens {
		t.Errorf("%d tokens were generated for callers that read nothing", n)
	}
	if err := Wait(ctx, func() bool { // the daemon gives the room back after the endpoint has ended the stream
		return !slices.ContainsFunc(dm.State().Endpoints, func(e pool.EndpointState) bool { return e.InFlight != 0 || e.Tokens != 0 })
	}); err != nil {
		t.Errorf("%+v: room is held for callers that read nothing", dm.State().Endpoints)
	}
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() {
			text, err := c.read()
			if want := standin.Answer(SampleSmall, Messages(c.prompt), slowTokens); err != nil || text != want {
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
