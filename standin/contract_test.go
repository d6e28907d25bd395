package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/weight"
)

// serveHandler serves h on a free port until the end of the test and returns the address.
func serveHandler(t *testing.T, h http.Handler) string {
	t.Helper()
	s, err := Serve("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against clients of a platform service that misread its replies, or that report success or another error while the
// service is down.
func TestPlatformAdapters(t *testing.T) {
	ctx := testContext(t)
	p := NewPlatform()
	base := "http://" + serveHandler(t, p.Handler())
	hosts, weights, ratings := hostlist.NewHTTPSource(base), weight.NewHTTPStore(base), rating.NewHTTPSource(base)
	p.Hosts.Put(hostlist.Host{ID: "h", Role: hostlist.RoleEntry, Domain: "d", State: hostlist.StateLive})
	list, err := hosts.List(ctx, 0)
	if err != nil || len(list.Hosts) != 1 {
		t.Fatalf("host list %+v, %v; want 1 host", list, err)
	}
	changed := make(chan hostlist.List, 1)
	go func() {
		next, _ := hosts.List(ctx, list.Revision)
		changed <- next
	}()
	p.Hosts.SetState("h", hostlist.StateLeaving)
	if next := <-changed; len(next.Hosts) != 1 || next.Hosts[0].State != hostlist.StateLeaving {
		t.Errorf("host list after a change: %+v; want the host in state leaving", next)
	}
	limited := false
	for range weightBurst + 1 {
		if _, err := weights.Reserve(ctx, "v"); errors.Is(err, weight.ErrRateLimited) {
			limited = true
		} else if err != nil {
			t.Error(err)
		}
	}
	if !limited {
		t.Error("the weight store's rate limit is not reported")
	}
	p.Ratings.KeepEvery(2)
	p.Ratings.Add(rating.Rating{RequestID: "1"}, rating.Rating{RequestID: "2", Score: 0.5})
	page, err := ratings.After(ctx, 0, 10)
	if err != nil || len(page.Ratings) != 1 || page.Ratings[0].Score != 0.5 || page.Next != 1 {
		t.Errorf("page of ratings %+v, %v; want the second rating only", page, err)
	}
	p.Hosts.SetDown(true)
	p.Weights.SetDown(true)
	p.Ratings.SetDown(true)
	_, hostErr := hosts.List(ctx, 0)
	_, weightErr := weights.Reserve(ctx, "v")
	_, ratingErr := ratings.After(ctx, 0, 1)
	if hostErr == nil || weightErr == nil || errors.Is(weightErr, weight.ErrRateLimited) || ratingErr == nil {
		t.Errorf("calls of services that are down: hosts %v, weights %v, ratings %v; want errors, for weights not ErrRateLimited", hostErr, weightErr, ratingErr)
	}
}

// readAll reads a stream to its end, which is io.EOF or an error, and returns its text and its last event.
func readAll(t *testing.T, s engine.Stream) (text string, last engine.Event, err error) {
	t.Helper()
	for {
		ev, err := s.Next()
		if err != nil {
			return text, last, err
		}
		text += ev.Text
		last = ev
	}
}

// Guards against an engine client that loses tokens or the usage at the end of a stream or on a resumption, and against one that
// treats a broken stream as complete.
func TestEngineStreams(t *testing.T) {
	ctx := testContext(t)
	e := NewEngine(EngineSpec{Name: "e", Versions: []string{"v"}, AnswerTokens: 10})
	addr := serveHandler(t, e.Handler())
	c := httpengine.NewClient()
	defer c.Close()
	req := engine.Request{ID: "r1", Version: "v", Body: []byte(`{"messages":["hello"]}`)}
	s, err := c.Stream(ctx, addr, req)
	if err != nil {
		t.Fatal(err)
	}
	text, last, err := readAll(t, s)
	if err != io.EOF || text != Answer("v", `["hello"]`, 10) || last.Usage == nil || last.Usage.OutputTokens != 10 || last.FinishReason != "stop" {
		t.Errorf("streamed text %q, last event %+v, %v", text, last, err)
	}
	s, err = c.Resume(ctx, addr, "r1", 4)
	if err != nil {
		t.Fatal(err)
	}
	resumed, _, err := readAll(t, s)
	// A resumed stream may repeat tokens, but must not skip any.
	if err != io.EOF || !strings.HasSuffix(text, resumed) || len(resumed) < len(text)*6/10 {
		t.Errorf("resumed text %q, %v", resumed, err)
	}
	if err := c.Cancel(ctx, addr, "r1"); err != nil {
		t.Error(err)
	}
	if _, err := c.Resume(ctx, addr, "r1", 4); !errors.Is(err, engine.ErrUnknownStream) {
		t.Errorf("resume of a cancelled stream: %v", err)
	}
	e.CrashOn("boom")
	s, err = c.Stream(ctx, addr, engine.Request{ID: "r2", Version: "v", Body: []byte(`{"messages":["boom"]}`)})
	if err == nil {
		_, _, err = readAll(t, s)
	}
	if !errors.Is(err, engine.ErrBroken) || e.Boots() != 2 {
		t.Errorf("stream from an engine that crashes: %v, %d boots; want engine.ErrBroken, 2 boots", err, e.Boots())
	}
	if _, err := c.Stream(ctx, addr, engine.Request{ID: "r3", Version: "none", Body: []byte(`{}`)}); !errors.Is(err, engine.ErrRejected) {
		t.Errorf("stream of an unknown version: %v", err)
	}
	if _, err := c.Stream(ctx, "127.0.0.1:1", req); !errors.Is(err, engine.ErrUnreachable) {
		t.Errorf("stream from a closed port: %v", err)
	}
}

// exportCache returns the body of an exported KV cache.
func exportCache(ctx context.Context, c *httpengine.Client, addr, session string) (string, error) {
	x, err := c.ExportCache(ctx, addr, session)
	if err != nil {
		return "", err
	}
	defer x.Body.Close()
	data, err := io.ReadAll(x.Body)
	return string(data), err
}

// Guards against control calls that don't report a stale fencing token, a missing KV cache or a gap in the cache events, and
// against an import that stores an incomplete KV cache when the body ends early.
func TestEngineControl(t *testing.T) {
	ctx := testContext(t)
	e := NewEngine(EngineSpec{Name: "e", Versions: []string{"v"}, AnswerTokens: 1})
	addr := serveHandler(t, e.Handler())
	c := httpengine.NewClient()
	defer c.Close()
	for i, fence := range []uint64{5, 4, 5} {
		err := c.Order(ctx, addr, engine.Order{Action: "load", Target: "w", Fence: fence})
		if stale := errors.Is(err, engine.ErrStaleFence); stale != (i == 1) {
			t.Errorf("order with fencing token %d: %v", fence, err)
		}
	}
	e.IgnoreFencing()
	if err := c.Order(ctx, addr, engine.Order{Action: "unload", Target: "w", Fence: 1}); err != nil {
		t.Errorf("stale order at an engine without fencing: %v", err)
	}
	if _, err := c.ImportCache(ctx, addr, "s", strings.NewReader("kv"), 2); err != nil {
		t.Error(err)
	}
	if data, err := exportCache(ctx, c, addr, "s"); err != nil || data != "kv" {
		t.Errorf("exported cache %q, %v", data, err)
	}
	broken := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF))
	for data, size := range map[io.Reader]int64{strings.NewReader("x"): 3, broken: -1} { // the body ends before its stated size, or with an error
		_, err := c.ImportCache(ctx, addr, "s", data, size)
		if data, _ := exportCache(ctx, c, addr, "s"); err == nil || data != "kv" {
			t.Errorf("after an import that ended early with %v, the cache is %q", err, data)
		}
	}
	if _, err := c.ExportCache(ctx, addr, "none"); !errors.Is(err, engine.ErrUnknownStream) {
		t.Errorf("export of an unknown session: %v", err)
	}
	for i, drop := range []bool{true, false} {
		s, err := c.Stream(ctx, addr, engine.Request{ID: "r", Version: "v", Body: []byte(`{"messages":["x"]}`)})
		if err != nil {
			t.Fatal(i, err)
		}
		if _, _, err := readAll(t, s); err != io.EOF {
			t.Fatal(err)
		}
		if drop {
			e.DropCacheEvents()
		}
	}
	events, err := c.CacheEvents(ctx, addr, 0)
	if err != nil || len(events) != 1 || events[0].Seq != 2 {
		t.Errorf("cache events %+v, %v; want sequence number 2 after a gap", events, err)
	}
	e.SetCacheEventDelay(time.Hour)
	if late, err := c.CacheEvents(ctx, addr, 0); err != nil || len(late) != 0 {
		t.Errorf("cache events %+v, %v; want none before the lag has passed", late, err)
	}
	if l, err := c.Load(ctx, addr); err != nil || l.Completed != 2 || l.Boot == "" {
		t.Errorf("load report %+v, %v; want 2 completed requests and a boot ID", l, err)
	}
}

// Guards against a panic, a line of unbounded length or more events than bytes on arbitrary bytes from an endpoint.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {}\n\n"))
	f.Add([]byte("id: 9999999999999999999999\r\ndata: null\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := httpengine.NewStream(&http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(data)))}, func() {})
		for range len(data) + 2 {
			if _, err := s.Next(); err != nil {
				return
			}
		}
		t.Error("more events than bytes")
	})
}
