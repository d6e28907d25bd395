package gateway

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/release"
)

// twoVersions holds endpoint "e2" of the new version, and others of the old one.
type twoVersions struct{ releaseDocuments }

func (twoVersions) Endpoint(e kv.Entry, now time.Time) (hostlist.Host, error) {
	host, err := fakeDocuments{}.Endpoint(e, now)
	if e.Key == "e2" {
		host.Release = "v2"
	}
	return host, err
}

// waitingFleet is two daemons that serve a release with a duration of a minute. Answers take 3 s, so that none counts as quick before the
// completion is due.
type waitingFleet struct {
	daemons [2]*Gateway
	stores  [2]*gatedStore
	logs    [2]*bytes.Buffer
	shared  *memkv.Store
	order   time.Time
	failing bool // whether half of the new version's answers fail
}

func newWaitingFleet(t *testing.T) *waitingFleet {
	f := &waitingFleet{shared: memkv.New(), order: time.Now()}
	write(t, f.shared, "e1", "a:1")
	write(t, f.shared, "e2", "a:2")
	network := &datagramNet{conns: map[string]*datagramConn{}}
	for i := range f.daemons {
		f.stores[i] = &gatedStore{Store: f.shared}
		g := testGateway(f.stores[i])
		g.spec.Name, g.spec.Documents, g.spec.Exposure, g.spec.LinkBytes = "d"+strconv.Itoa(i), twoVersions{}, release.Limit{Share: 0.15, Slack: 30}, slowLink
		f.logs[i] = &bytes.Buffer{}
		g.log.Logger.SetOutput(f.logs[i])
		conn := network.listen(i)
		g.spec.PeerAddr = conn.addr.String()
		g.exchange.Store(notice.New(conn, g.exchangeSpec()))
		write(t, f.shared, memberPrefix+g.spec.Name, string(g.memberValue()))
		f.daemons[i] = g
	}
	for _, g := range f.daemons {
		go g.view.run()
	}
	time.Sleep(2 * time.Second)
	write(t, f.shared, testOrderKey, "v2")
	f.order = time.Now()
	for _, g := range f.daemons {
		go g.releases.run()
	}
	return f
}

// play sends 40 requests a second until a time after the order.
func (f *waitingFleet) play(until time.Duration) {
	rng := rand.New(rand.NewPCG(uint64(until), 40))
	for ; time.Since(f.order) < until; time.Sleep(25 * time.Millisecond) {
		g := f.daemons[rng.IntN(2)]
		if g.ctx.Err() != nil {
			continue
		}
		a := attempt("v1", "e1", false)
		if required, _ := g.releases.Assign(g.config.View(), "s", rng.Uint64(), false, false); required != "" {
			a = attempt(required, "e2", f.failing && rng.IntN(2) == 0)
		}
		a.Request, a.Latency = strconv.FormatUint(rng.Uint64(), 10), 3*time.Second
		if a.Status != 200 {
			a.Latency = 100 * time.Millisecond
		}
		g.releases.begin(a)
		time.AfterFunc(a.Latency, func() { g.releases.end(a) })
	}
}

func (f *waitingFleet) stored(t *testing.T) object.ReleaseState {
	e, err := f.shared.Get(t.Context(), testStatusKey)
	if err != nil && err != kv.ErrNotFound {
		t.Fatal(err)
	}
	return object.ReleaseState(e.Value)
}

func (f *waitingFleet) close() {
	for i, g := range f.daemons {
		if g.ctx.Err() == nil {
			f.stop(i)
		}
	}
	time.Sleep(time.Minute) // all that waits for a time ends
}

func (f *waitingFleet) stop(i int) {
	f.daemons[i].cancel()
	f.daemons[i].exchange.Load().Close()
}

func (f *waitingFleet) cutStore(away bool) {
	for _, s := range f.stores {
		s.away.Store(away)
	}
}

// Guards against a wait for evidence that ends in a completion of a bad version, or of a sound one after its deadline, because the store
// fails or the daemon that writes the state dies meanwhile; and against a wait that no log line or metric tells of.
func TestFailuresDuringWaitForEvidence(t *testing.T) {
	const due, deadline, ms = 58 * time.Second, time.Minute, time.Millisecond // the completion is due from 57.3 s on
	nothing := func(*waitingFleet) {}
	cut, mend := func(f *waitingFleet) { f.cutStore(true) }, func(f *waitingFleet) { f.cutStore(false) }
	for name, tc := range map[string]struct {
		fail, mend func(f *waitingFleet)
		mendAt     time.Duration
		bad        bool
		badFrom    time.Duration
		want       object.ReleaseState
		ends       []string // possible ends of the second daemon's wait
	}{
		"nothing fails":                       {fail: nothing, mend: nothing, want: object.ReleaseCompleted, ends: []string{endedByDeadline, endedByOthers}},
		"store fails":                         {fail: cut, mend: mend, mendAt: 59400 * ms, want: object.ReleaseCompleted, ends: []string{endedByDeadline, endedByOthers}},
		"writer dies":                         {fail: func(f *waitingFleet) { f.stop(0) }, mend: nothing, want: object.ReleaseCompleted, ends: []string{endedByDeadline}},
		"bad":                                 {fail: nothing, mend: nothing, bad: true, badFrom: due, want: object.ReleaseRolledBack, ends: []string{endedByRevert, endedByOthers}},
		"bad, store fails":                    {fail: cut, mend: mend, mendAt: 59400 * ms, bad: true, badFrom: due, want: object.ReleaseRolledBack, ends: []string{endedByRevert, endedByOthers}},
		"bad, writer dies":                    {fail: func(f *waitingFleet) { f.stop(0) }, mend: nothing, bad: true, badFrom: due, want: object.ReleaseRolledBack, ends: []string{endedByRevert}},
		"bad after the decision, store fails": {fail: cut, mend: mend, mendAt: 62 * time.Second, bad: true, badFrom: 59600 * ms, want: object.ReleaseRolledBack, ends: []string{endedByDeadline, endedByOthers}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWaitingFleet(t)
				defer f.close()
				f.play(due)
				if p := f.daemons[1].releases.phase(releaseOf(f.daemons[1].config.View(), "s")); p != release.Promoted || f.stored(t) != object.ReleaseRunning {
					t.Fatalf("phase %s, stored %q while the completion is due and must wait", p, f.stored(t))
				}
				tc.fail(f)
				f.play(tc.badFrom)
				f.failing = tc.bad
				f.play(tc.mendAt)
				tc.mend(f)
				f.play(deadline)
				if tc.bad {
					f.play(deadline + 10*time.Second)
				}
				if got := f.stored(t); got != tc.want {
					t.Errorf("stored %q, want %q", got, tc.want)
				}
				var metrics bytes.Buffer
				f.daemons[1].spec.Metrics.Write(&metrics)
				if log := f.logs[1].String(); !slices.ContainsFunc(tc.ends, func(end string) bool {
					return strings.Contains(log, "end="+end) && strings.Contains(metrics.String(), `bramley_release_wait_seconds_count{service="s",end="`+end+`"} 1`)
				}) {
					t.Errorf("want a wait that ended by %v; log:\n%s", tc.ends, log)
				}
			})
		})
	}
}
