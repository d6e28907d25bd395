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

// movable is an engine client whose imports take 100 ms and end as the test decides.
type movable struct {
	scripted
	imported func() (boot string, err error)
	boot     string // in load reports
	target   string // of the newest import
	sent     []engine.Request
	sentTo   []string
}

func (c *movable) Stream(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	c.sent, c.sentTo = append(c.sent, r), append(c.sentTo, addr)
	return c.scripted.Stream(ctx, addr, r)
}

func (c *movable) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{Boot: c.boot, Completed: 100}, nil
}

func (c *movable) ExportCache(context.Context, string, string) (*engine.CacheExport, error) {
	return &engine.CacheExport{Body: io.NopCloser(strings.NewReader("kv")), Size: 2}, nil
}

func (c *movable) ImportCache(ctx context.Context, addr, _ string, _ io.Reader, _ int64) (string, error) {
	c.target = addr
	select {
	case <-time.After(100 * time.Millisecond):
		return c.imported()
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Guards against a request that is sent where it may no longer run because of the time that a move took, that is sent
// twice, or that keeps its slot, and against a move that is not tried, recorded or cancelled.
func TestRequestAfterMove(t *testing.T) {
	type world struct {
		client *movable
		in     *Input
		list   *hostlist.List
		cancel context.CancelFunc
		pool   *pool.Pool
	}
	fine := func(*world) (string, error) { return "b", nil }
	failed := func(*world) (string, error) { return "", engine.ErrBroken }
	leave := func(w *world) (string, error) {
		for i := range w.list.Hosts {
			if h := &w.list.Hosts[i]; h.ID == w.client.target {
				h.State = hostlist.StateLeaving
			}
		}
		w.pool.SetHosts(*w.list, time.Now())
		return "b", nil
	}
	withdraw := func(w *world) (string, error) {
		w.in.Renew = func(*config.View) (*config.View, []choose.Candidate, error) {
			return nil, nil, result.Newf(result.NoVersion, "")
		}
		return "b", nil
	}
	for name, c := range map[string]struct {
		imported  func(*world) (string, error)
		slots     int
		report    cachemove.Outcome
		code      result.Code
		elsewhere bool
	}{
		"moved":           {imported: fine, slots: 10, report: cachemove.Moved},
		"import fails":    {imported: failed, slots: 10, report: cachemove.ImportFailed},
		"last slots":      {imported: fine, slots: 1, report: cachemove.TargetFull},
		"target restarts": {imported: func(*world) (string, error) { return "b2", nil }, slots: 10, report: cachemove.TargetRestarted, elsewhere: true},
		"restarts without answer": {imported: func(w *world) (string, error) { w.client.boot = "b2"; return failed(w) }, slots: 10,
			report: cachemove.ImportFailed, elsewhere: true},
		"target leaves":        {imported: leave, slots: 10, report: cachemove.Moved, elsewhere: true},
		"version is withdrawn": {imported: withdraw, slots: 10, code: result.NoVersion},
		"caller leaves":        {imported: func(w *world) (string, error) { w.cancel(); return "b", nil }, slots: 10, code: result.CallerGone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				never := func(*rand.Rand) error { return nil }
				w := &world{client: &movable{scripted: scripted{rnd: rand.New(rand.NewPCG(1, 1)), fail: never, cut: never}, boot: "b"}}
				f, p, in := newFixture(w.client, 2, object.EndpointLimits{Slots: c.slots, ColdSlots: c.slots})
				for _, id := range []string{"llm-0", "llm-1"} {
					p.Report(id, engine.Load{Boot: "b"}, time.Now())
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
				// The filter has its own copy of the input; Renew goes through this one.
				in.Renew = func(v *config.View) (*config.View, []choose.Candidate, error) { return v, in.Candidates, nil }
				outer := in
				outer.Renew = func(v *config.View) (*config.View, []choose.Candidate, error) { return in.Renew(v) }
				w.client.imported = func() (string, error) { return c.imported(w) }
				list := func() *hostlist.List { l := *w.list; return &l }
				f.spec.Moves = cachemove.New(cachemove.Spec{Client: w.client, Fleet: cachemove.NewEndpoints(p, list, time.Now), Now: time.Now,
					Limits: cachemove.Limits{Moves: 1, PerSource: 1, Bytes: 1 << 20, Time: time.Second}})
				outer.RequestID, outer.Tokens = "r", 2000
				outer.Cache = cachemove.Session{Team: "t", ID: "s", Version: "v", Endpoint: cachemove.Hash("old"), Tokens: 2000}
				a, err := f.Do(ctx, outer)
				if err != nil {
					if code := result.From(err).Code; code != c.code || code == result.NoVersion && (len(w.client.sent) > 0 || result.From(err).Ran != result.NotRun) {
						t.Errorf("%v after %d calls, want code %d", err, len(w.client.sent), c.code)
					}
				} else {
					checkMoved(t, a, w.client, c.report, c.elsewhere)
					a.Close()
				}
				synctest.Wait()
				for _, s := range p.Dump(time.Now(), 10) {
					if s.InFlight != 0 || s.Tokens != 0 {
						t.Errorf("%s: %d in flight, %d tokens are left", s.ID, s.InFlight, s.Tokens)
					}
				}
			})
		})
	}
}

func checkMoved(t *testing.T, a *Answer, c *movable, want cachemove.Outcome, elsewhere bool) {
	t.Helper()
	first := a.Attempts()[0]
	if first.Cache == nil || first.Cache.Outcome != want || len(c.sent) != 1 || len(a.Attempts()) != 1 {
		t.Errorf("report %+v, %d calls; want %s and one call", first.Cache, len(c.sent), want)
		return
	}
	if elsewhere != (first.Endpoint != first.Cache.Target) {
		t.Errorf("sent to %s after a move to %s", first.Endpoint, first.Cache.Target)
	}
	if c.sent[0].Session != a.in.Cache.Name("v") || c.sentTo[0] != first.Endpoint {
		t.Errorf("request %+v", c.sent[0])
	}
	if p := a.CachePlace(); p.Endpoint != cachemove.Hash(first.Endpoint) || p.Tokens != 2001 {
		t.Errorf("place %+v", p)
	}
}
