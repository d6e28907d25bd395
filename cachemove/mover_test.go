package cachemove

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/standin"
)

const (
	testTokens  = 4000 // length of the conversation
	testPrefill = 100 * time.Microsecond
	testSize    = testTokens << 10 // bytes
	testRate    = 100 << 20        // bytes per second; the move takes a tenth of the prefill
)

// fixture is a set of stand-in engines on an in-memory network, and a mover that knows their prefill time. It is also the
// mover's Directory.
type fixture struct {
	t        *testing.T
	engines  map[string]*standin.Engine
	client   *httpengine.Client
	hosts    map[uint64]hostlist.Host
	states   map[string]pool.EndpointState
	mover    *Mover
	cleanups []func()
}

// pipeListener accepts in-memory connections. These work under a fake clock and deliver what was written before a Close.
type pipeListener chan net.Conn

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// withEngines runs a test under a fake clock, with engines a and b in one failure domain and c in another one.
func withEngines(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, engines: map[string]*standin.Engine{}, hosts: map[uint64]hostlist.Host{}, states: map[string]pool.EndpointState{}}
		listeners := map[string]pipeListener{}
		f.client = httpengine.NewClientWith(httpengine.DialersFrom(func(_ context.Context, _, addr string) (net.Conn, error) {
			client, server := net.Pipe()
			listeners[strings.TrimSuffix(addr, ":80")] <- server
			return client, nil
		}))
		for id, domain := range map[string]string{"a": "north", "b": "north", "c": "south"} {
			e := standin.NewEngine(standin.EngineSpec{Name: id, Versions: []string{"v", "w"}, AnswerTokens: 1, PrefillDelayPerToken: testPrefill,
				CacheBytesPerToken: 1 << 10, CacheBytesPerSecond: testRate})
			server := &http.Server{Handler: e.Handler()}
			ln := make(pipeListener)
			listeners[id] = ln
			go func() { _ = server.Serve(ln) }()
			f.cleanups = append(f.cleanups, func() { close(ln); _ = server.Close() })
			f.engines[id] = e
			f.hosts[HashEndpoint(id)] = hostlist.Host{ID: id, Addr: id, Domain: domain, Role: hostlist.RoleEndpoint, State: hostlist.StateLive, Service: "llm"}
			f.states[id] = pool.EndpointState{ID: id, Slots: 10, InFlight: 1}
		}
		synctest.Wait()
		f.mover = New(Spec{Client: f.client, Directory: f, Now: time.Now,
			Limits: Limits{MaxMoves: 2, MaxMovesPerSource: 1, MaxBytes: 2 * testSize, MaxDuration: 2 * time.Second}})
		for i := range 2 * minSamples {
			n := int64(500 * (i + 1))
			f.mover.ObserveFirstToken(&Report{Outcome: Unmeasured}, "llm", "v", n, 20*time.Millisecond+time.Duration(n)*testPrefill)
		}
		test(f)
		f.client.Close()
		for _, stop := range f.cleanups {
			stop()
		}
	})
}

func (f *fixture) Host(hash uint64) (hostlist.Host, bool) { h, ok := f.hosts[hash]; return h, ok }
func (f *fixture) State(id string) (s pool.EndpointState, ok bool) {
	s, ok = f.states[id]
	return s, ok
}

// turn sends a turn of a conversation to an engine and returns the session as the session token then describes it.
func (f *fixture) turn(id string, s Session, turns ...string) Session {
	f.t.Helper()
	messages, _ := json.Marshal(turns)
	stream, err := f.client.Stream(f.t.Context(), id, engine.Request{
		ID: id + strings.Join(turns, ""), Version: "v", Body: []byte(`{"messages":` + string(messages) + `}`), Session: s.CacheName("v"),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	for err == nil {
		_, err = stream.Next()
	}
	stream.Close()
	s.Version, s.EndpointHash, s.Tokens = "v", HashEndpoint(id), testTokens
	return s
}

// cached returns how many prompt tokens of the last request to an engine were in its cache.
func (f *fixture) cached(id string) int64 {
	runs := f.engines[id].Runs()
	return runs[len(runs)-1].CachedTokens
}

// move moves a session's cache to an engine.
func (f *fixture) move(s Session, id string) *Report {
	return f.mover.Move(f.t.Context(), s, Target{ID: id, Addr: id, Domain: f.hosts[HashEndpoint(id)].Domain, Service: "llm", Version: "v",
		Boot: id + "-1", PromptTokens: testTokens + 100})
}

var (
	testSession = Session{Team: "team", ID: "s"}
	longTurn    = strings.Repeat("abc ", testTokens)
)

// Guards against a cache that does not arrive, arrives under another name, or is used for a prompt with another prefix.
func TestMovedCacheIsUsed(t *testing.T) {
	withEngines(t, func(f *fixture) {
		s := f.turn("a", testSession, longTurn)
		host := f.hosts[HashEndpoint("a")]
		host.State = hostlist.StateLeaving
		f.hosts[HashEndpoint("a")] = host
		delete(f.states, "a") // the pool does not have leaving endpoints
		rep := f.move(s, "b")
		if rep.Outcome != Moved || !rep.Trial || rep.Bytes < testSize || rep.Took > testTokens*testPrefill/4 {
			t.Fatalf("report %+v, want a trial that moves the whole cache in time", rep)
		}
		if s = f.turn("b", s, longTurn, "next"); f.cached("b") < testTokens {
			t.Errorf("only %d tokens of the moved cache were used", f.cached("b"))
		}
		if f.turn("b", s, "x"+longTurn); f.cached("b") > 0 {
			t.Errorf("%d tokens of a cache with another prefix were used", f.cached("b"))
		}
		if rep := f.move(s, "c"); !rep.Trial { // the rate between domains is measured separately
			t.Errorf("report %+v, want a trial", rep)
		}
		f.states["a"] = f.states["c"]
		if rep := f.move(s, "a"); rep.Outcome != Moved || rep.Trial {
			t.Errorf("report %+v, want a move by the measured rates", rep)
		}
	})
}

// Guards against a failed move that delays the request beyond the time limit, leaves a partial cache at the target, counts
// as in flight forever, or is repeated at once from a source that fails or stalls.
func TestFailedMovesEndInPrefill(t *testing.T) {
	for name, c := range map[string]struct {
		source, target standin.CacheFault
		bound          int64
		want, next     Outcome
	}{
		"export fails":       {source: standin.CacheFault{ExportStatus: http.StatusInternalServerError}, want: ExportFailed, next: SourceDown},
		"export is refused":  {source: standin.CacheFault{ExportStatus: http.StatusServiceUnavailable}, want: ExportFailed, next: SourceDown},
		"cache is evicted":   {source: standin.CacheFault{ExportStatus: http.StatusNotFound}, want: CacheGone, next: Unmeasured},
		"source is silent":   {source: standin.CacheFault{StallAfter: testSize / 2}, want: TimedOut, next: SourceDown},
		"connection breaks":  {source: standin.CacheFault{CutAfter: testSize / 2}, want: ExportFailed, next: SourceDown},
		"break without size": {source: standin.CacheFault{CutAfter: testSize / 2, OmitSize: true}, want: ExportFailed, next: SourceDown},
		"too large":          {bound: testSize / 2, want: Oversized, next: TooLarge},
		"larger than stated": {source: standin.CacheFault{OmitSize: true}, bound: testSize / 2, want: Oversized, next: TooLarge},
		"import is refused":  {target: standin.CacheFault{ImportStatus: http.StatusUnprocessableEntity}, want: ImportFailed, next: Unmeasured},
		"target restarts":    {target: standin.CacheFault{CrashOnImport: true}, want: TargetRestarted, next: Unmeasured},
	} {
		t.Run(name, func(t *testing.T) {
			withEngines(t, func(f *fixture) {
				if c.bound > 0 {
					f.mover.spec.Limits.MaxBytes = c.bound
				}
				s := f.turn("a", testSession, longTurn)
				f.engines["a"].SetCacheFault(c.source)
				f.engines["b"].SetCacheFault(c.target)
				rep, limit := f.move(s, "b"), f.mover.spec.Limits.MaxDuration/trialDivisor
				if rep.Outcome != c.want || rep.Took > limit || !rep.Started() {
					t.Errorf("report %+v, want %s within %s", rep, c.want, limit)
				}
				if n := f.engines["b"].CachedSessions(); n != 0 {
					t.Errorf("the target has %d caches after the failed move, want none", n)
				}
				if rep := f.move(s, "b"); rep.Outcome != c.next {
					t.Errorf("report of the next move %+v, want %s", rep, c.next)
				}
				if st := f.mover.State(); st.InFlight != 0 {
					t.Errorf("%d moves in flight after the end of all moves", st.InFlight)
				}
			})
		})
	}
}

// Guards against moves for requests that have no cache to move, and from or to endpoints that must not take part in one.
func TestIneligibleMoves(t *testing.T) {
	withEngines(t, func(f *fixture) {
		s := f.turn("a", testSession, longTurn)
		with := func(change func(*Session)) Session { c := s; change(&c); return c }
		check := func(s Session, target string, want Outcome) {
			t.Helper()
			if rep := f.move(s, target); rep.Outcome != want || rep.Started() {
				t.Errorf("report %+v, want %s", rep, want)
			}
		}
		check(testSession, "b", NoPrevious)
		check(s, "a", SameEndpoint)
		check(with(func(s *Session) { s.Version = "w" }), "b", OtherVersion)
		check(with(func(s *Session) { s.EndpointHash = 1 }), "b", NotListed)
		check(with(func(s *Session) { s.Tokens = minTokens - 1 }), "b", TooShort)
		f.states["b"] = pool.EndpointState{ID: "b", Slots: 10, InFlight: 10}
		check(s, "b", TargetFull)
		f.states["b"] = pool.EndpointState{ID: "b", Slots: 10, InFlight: 9}
		f.states["a"] = pool.EndpointState{ID: "a", Ejected: true}
		check(s, "b", SourceDown)
		f.states["a"] = pool.EndpointState{ID: "a"}
		f.mover.EndpointFailed("a")
		check(s, "b", SourceDown)
		time.Sleep(failureBackoff)
		other := with(func(s *Session) { s.Team = "other" })
		if rep := f.move(other, "b"); rep.Outcome != CacheGone {
			t.Errorf("report on the cache of another team %+v, want cache_gone", rep)
		}
		var m *Mover // moves are turned off
		m.EndpointFailed("a")
		if m.State() != nil {
			t.Error("a nil Mover has a state")
		}
	})
}

// Guards against more moves in flight than the limits allow, and against a move that continues after its request has ended.
func TestMovesInFlight(t *testing.T) {
	withEngines(t, func(f *fixture) {
		s := f.turn("a", testSession, longTurn)
		f.move(s, "b") // measures the rate
		second := f.turn("b", Session{Team: "team", ID: "s2"}, longTurn)
		third := f.turn("c", Session{Team: "team", ID: "s3"}, longTurn)
		ctx, cancel := context.WithCancel(f.t.Context())
		var cancelled *Report
		var wg sync.WaitGroup
		f.engines["a"].SetCacheFault(standin.CacheFault{StallAfter: 1 << 10})
		target := Target{ID: "b", Addr: "b", Domain: "north", Service: "llm", Version: "v", PromptTokens: testTokens}
		wg.Go(func() { cancelled = f.mover.Move(ctx, s, target) })
		time.Sleep(time.Millisecond)
		if rep := f.move(s, "b"); rep.Outcome != SourceBusy {
			t.Errorf("report of a second move from one endpoint %+v, want source_busy", rep)
		}
		wg.Go(func() { f.move(second, "a") })
		time.Sleep(time.Millisecond)
		if rep := f.move(third, "b"); rep.Outcome != TooManyMoves {
			t.Errorf("report of a third move %+v, want too_many_moves", rep)
		}
		start := time.Now()
		cancel()
		wg.Wait()
		if cancelled.Outcome != Cancelled || time.Since(start) > 50*time.Millisecond || f.mover.State().InFlight != 0 {
			t.Errorf("after the request ended: report %+v, state %+v", cancelled, f.mover.State())
		}
	})
}

// Guards against endpoints that are treated as stalled because a move had little time, or because their data comes slowly.
func TestShortLimitIsNoStall(t *testing.T) {
	const ms = time.Millisecond
	if isStalled(40*ms, 40*ms) || isStalled(100*ms, 250*ms) || !isStalled(125*ms, 250*ms) || !isStalled(50*ms, 60*ms) {
		t.Error("a stall was not recognized, or one was seen where there is none")
	}
}

// Guards against requests that wait for one endpoint after the other of an unreachable failure domain.
func TestUnresponsiveDomainIsSkipped(t *testing.T) {
	var s sources
	now := time.Unix(0, 0)
	s.recordUnresponsive("a", "north", now)
	if s.recordUnresponsive("a", "north", now); s.inBackoff("b", "north", now) {
		t.Error("one unresponsive endpoint puts its domain into backoff")
	}
	s.recordUnresponsive("c", "north", now)
	if !s.inBackoff("b", "north", now) || s.inBackoff("d", "south", now) || s.inBackoff("b", "north", now.Add(failureBackoff)) {
		t.Error("two unresponsive endpoints must put their domain into backoff, and no other one, for failureBackoff")
	}
}
