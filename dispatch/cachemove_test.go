package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// cacheMoveClient is an engine client whose cache imports take 100 ms and then return the result of finishImport.
type cacheMoveClient struct {
	scriptedClient
	finishImport func() (boot string, err error)
	boot         string // boot ID in load reports
	importedTo   string // address of the newest import
	sent         []engine.Request
	sentTo       []string
}

func (c *cacheMoveClient) Stream(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	c.sent, c.sentTo = append(c.sent, r), append(c.sentTo, addr)
	return c.scriptedClient.Stream(ctx, addr, r)
}

func (c *cacheMoveClient) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{Boot: c.boot, Completed: 100}, nil
}

func (c *cacheMoveClient) ExportCache(context.Context, string, string) (*engine.CacheExport, error) {
	return &engine.CacheExport{Body: io.NopCloser(strings.NewReader("kv")), Size: 2}, nil
}

func (c *cacheMoveClient) ImportCache(ctx context.Context, addr, _ string, _ io.Reader, _ int64) (string, error) {
	c.importedTo = addr
	select {
	case <-time.After(100 * time.Millisecond):
		return c.finishImport()
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Guards against a request that, after a cache move, is sent to an endpoint which may no longer run it, is sent twice
// or keeps its slot. This happens if the endpoint or the configuration changes during the move. Also guards against a
// move that is not tried, recorded or cancelled.
func TestRequestAfterMove(t *testing.T) {
	type scenario struct {
		client *cacheMoveClient
		in     *Input
		list   *hostlist.List
		cancel context.CancelFunc
		pool   *pool.Pool
	}
	succeeds := func(*scenario) (string, error) { return "b", nil }
	fails := func(*scenario) (string, error) { return "", engine.ErrBroken }
	leaves := func(w *scenario) (string, error) {
		for i := range w.list.Hosts {
			if h := &w.list.Hosts[i]; h.ID == w.client.importedTo {
				h.State = hostlist.StateLeaving
			}
		}
		w.pool.SetHosts(*w.list, time.Now())
		return "b", nil
	}
	withdraws := func(w *scenario) (string, error) {
		w.in.Refresh = func(*config.View) (*config.View, []choose.Candidate, error) {
			return nil, nil, result.Newf(result.NoVersion, "")
		}
		return "b", nil
	}
	for name, c := range map[string]struct {
		finishImport func(*scenario) (string, error)
		slots        int
		report       cachemove.Outcome
		code         result.Code
		elsewhere    bool
	}{
		"moved":           {finishImport: succeeds, slots: 10, report: cachemove.Moved},
		"import fails":    {finishImport: fails, slots: 10, report: cachemove.ImportFailed},
		"last slots":      {finishImport: succeeds, slots: 1, report: cachemove.TargetFull},
		"target restarts": {finishImport: func(*scenario) (string, error) { return "b2", nil }, slots: 10, report: cachemove.TargetRestarted, elsewhere: true},
		"restarts without answer": {finishImport: func(w *scenario) (string, error) { w.client.boot = "b2"; return fails(w) }, slots: 10,
			report: cachemove.ImportFailed, elsewhere: true},
		"target leaves":        {finishImport: leaves, slots: 10, report: cachemove.Moved, elsewhere: true},
		"version is withdrawn": {finishImport: withdraws, slots: 10, code: result.NoVersion},
		"caller leaves":        {finishImport: func(w *scenario) (string, error) { w.cancel(); return "b", nil }, slots: 10, code: result.CallerGone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				never := func(*rand.Rand) error { return nil }
				w := &scenario{client: &cacheMoveClient{scriptedClient: scriptedClient{rnd: rand.New(rand.NewPCG(1, 1)), fail: never, cut: never}, boot: "b"}}
				f, p, in := newFixture(w.client, 2, object.EndpointLimits{Slots: c.slots, ColdSlots: c.slots})
				for _, id := range []string{"llm-0", "llm-1"} {
					p.RecordLoad(id, engine.Load{Boot: "b"}, time.Now())
				}
				w.in, w.pool, w.list = &in, p, &hostlist.List{Hosts: []hostlist.Host{{ID: "e", Role: hostlist.RoleEntry, Domain: "d"}}}
				for id, state := range map[string]hostlist.State{"old": hostlist.StateLeaving, "llm-0": hostlist.StateLive, "llm-1": hostlist.StateLive} {
					w.list.Hosts = append(w.list.Hosts, hostlist.Host{
						ID: id, Addr: id, Role: hostlist.RoleEndpoint, Domain: "d", State: state, Service: "llm", Versions: []string{"v"},
					})
				}
				var ctx context.Context
				ctx, w.cancel = context.WithCancel(t.Context())
				defer w.cancel()
				// The filter copies its input, so the copy's Refresh calls the one that the scenario may replace.
				in.Refresh = func(v *config.View) (*config.View, []choose.Candidate, error) { return v, in.Candidates, nil }
				outer := in
				outer.Refresh = func(v *config.View) (*config.View, []choose.Candidate, error) { return in.Refresh(v) }
				w.client.finishImport = func() (string, error) { return c.finishImport(w) }
				list := func() *hostlist.List { l := *w.list; return &l }
				f.spec.CacheMover = cachemove.New(cachemove.Spec{Client: w.client, Directory: cachemove.NewPoolDirectory(p, list, time.Now), Now: time.Now,
					Limits: cachemove.Limits{MaxMoves: 1, MaxMovesPerSource: 1, MaxBytes: 1 << 20, MaxDuration: time.Second}})
				outer.RequestID, outer.Tokens = "r", 2000
				outer.Cache = cachemove.Session{Team: "t", ID: "s", Version: "v", EndpointHash: cachemove.HashEndpoint("old"), Tokens: 2000}
				a, err := f.Do(ctx, outer)
				if err != nil {
					if code := result.From(err).Code; code != c.code || code == result.NoVersion && (len(w.client.sent) > 0 || result.From(err).Ran != result.NotRun) {
						t.Errorf("error %v after %d calls; want code %d, and no call if the version was withdrawn", err, len(w.client.sent), c.code)
					}
				} else {
					checkMoved(t, a, w.client, c.report, c.elsewhere)
					a.Close()
				}
				synctest.Wait()
				for _, s := range p.Dump(time.Now(), 10) {
					if s.InFlight != 0 || s.Tokens != 0 {
						t.Errorf("%s: %d in flight, %d tokens reserved after the request", s.ID, s.InFlight, s.Tokens)
					}
				}
			})
		})
	}
}

func checkMoved(t *testing.T, a *Answer, c *cacheMoveClient, want cachemove.Outcome, elsewhere bool) {
	t.Helper()
	first := a.Attempts()[0]
	if first.Cache == nil || first.Cache.Outcome != want || len(c.sent) != 1 || len(a.Attempts()) != 1 {
		t.Errorf("cache report %+v after %d calls; want outcome %s and one call", first.Cache, len(c.sent), want)
		return
	}
	if elsewhere != (first.Endpoint != first.Cache.Target) {
		t.Errorf("request sent to %s after a cache move to %s; want another endpoint: %v", first.Endpoint, first.Cache.Target, elsewhere)
	}
	if c.sent[0].Session != a.in.Cache.CacheName("v") || c.sentTo[0] != first.Endpoint {
		t.Errorf("request %+v sent to %s; want the session's cache name and endpoint %s", c.sent[0], c.sentTo[0], first.Endpoint)
	}
	if p := a.CacheLocation(); p.Endpoint != cachemove.HashEndpoint(first.Endpoint) || p.Tokens != 2001 {
		t.Errorf("cache location %+v; want endpoint %s and 2001 tokens", p, first.Endpoint)
	}
}
