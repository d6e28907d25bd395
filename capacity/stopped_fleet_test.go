package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/standin"
)

// stoppedDutyTTL is the time to live of the daemons' leases.
const stoppedDutyTTL = 900 * time.Millisecond

// access is one daemon's access to the platform. It records the calls and can hold one of them.
type access struct {
	platform http.Handler

	mu    sync.Mutex
	calls []platformCall
	held  *heldCall
}

type platformCall struct {
	method string
	path   string
	status int
}

// heldCall is the next write of a key with a prefix. It waits for release before or after it takes effect.
type heldCall struct {
	prefix  string
	after   bool
	reached chan struct{}
	release chan struct{}
	status  chan int
}

// hold holds the next write of a key with a prefix.
func (a *access) hold(prefix string, after bool) *heldCall {
	h := &heldCall{prefix: "/v1/keys/" + prefix, after: after, reached: make(chan struct{}), release: make(chan struct{}), status: make(chan int, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = h
	return h
}

func (a *access) takeHeld(r *http.Request) *heldCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.held
	if h == nil || r.Method != http.MethodPut || !strings.HasPrefix(r.URL.Path, h.prefix) {
		return nil
	}
	a.held = nil
	return h
}

// ServeHTTP implements http.Handler.
func (a *access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := a.takeHeld(r)
	if h != nil {
		r = r.WithContext(context.WithoutCancel(r.Context())) // a request that has arrived takes effect
		if !h.after {
			close(h.reached)
			<-h.release
		}
	}
	rec := httptest.NewRecorder()
	a.platform.ServeHTTP(rec, r)
	a.mu.Lock()
	a.calls = append(a.calls, platformCall{r.Method, r.URL.Path, rec.Code})
	a.mu.Unlock()
	if h != nil {
		if h.after {
			close(h.reached)
			<-h.release
		}
		h.status <- rec.Code
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes()) // the daemon may have given the call up
}

// count returns the number of calls of a method on a path with a prefix, and how many of them succeeded.
func (a *access) count(method, prefix string) (all, succeeded int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.calls {
		if c.method == method && strings.HasPrefix(c.path, prefix) {
			all++
			if c.status == http.StatusOK {
				succeeded++
			}
		}
	}
	return all, succeeded
}

// testFleet has daemons as processes; platform and endpoints are in the test's process, where their calls can be held.
type testFleet struct {
	*local.Deployment
	t       testing.TB
	ctx     context.Context
	members []*member
	access  []*access
}

// newTestFleet starts the platform and the endpoints.
func newTestFleet(tb testing.TB, timeout time.Duration, engine standin.EngineSpec, set object.Set) *testFleet {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	tb.Cleanup(cancel)
	d, err := local.New(nil)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Stop)
	if err := local.SampleWith(ctx, d, 0, engine, set); err != nil {
		tb.Fatal(err)
	}
	return &testFleet{Deployment: d, t: tb, ctx: ctx}
}

// startPair starts daemons one after the other, so that the first one holds the duties that all may hold.
func startPair(t *testing.T, engine standin.EngineSpec, ownerFlags ...string) *testFleet {
	t.Helper()
	f := newTestFleet(t, testTimeout, engine, local.SampleSet())
	f.start("entry-1", local.SampleDomainA, ownerFlags...)
	for _, name := range []string{"rating", "rollout"} {
		f.wait("the first daemon holds duty "+name, func() bool { return f.dutyOwner(name) != "" })
	}
	f.start("entry-2", local.SampleDomainB)
	return f
}

func (f *testFleet) start(id, domain string, flags ...string) {
	f.t.Helper()
	ports, err := freePorts(3)
	if err != nil {
		f.t.Fatal(err)
	}
	a := &access{platform: f.Platform.Handler()}
	srv, err := standin.Serve("127.0.0.1:0", a)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(srv.Close)
	key := filepath.Join(f.t.TempDir(), "session-key")
	if err := os.WriteFile(key, []byte(local.SessionKey), 0o600); err != nil {
		f.t.Fatal(err)
	}
	url := "http://" + srv.Addr
	args := append([]string{
		"--id", id, "--domain", domain, "--rack", id, "--listen", ports[0], "--peer-listen", ports[1], "--operator-listen", ports[2],
		"--store", url, "--hosts", url, "--ratings", url, "--session-key-file", key, "--log-level", "error", "--settle", "0s",
		"--duty-ttl", stoppedDutyTTL.String(), "--rating-interval", "100ms", "--bill-interval", "500ms", "--claim-writes", "1000",
	}, flags...)
	m := &member{caller: ports[0], operator: ports[2]}
	m.host = hostlist.Host{ID: id, Role: hostlist.RoleEntry, Domain: domain, Rack: id, State: hostlist.StateLive, Addr: ports[1]}
	if m.process, err = startProcess(testBinaries(f.ctx, f.t).Daemon, args...); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(m.kill)
	f.Platform.Hosts.Put(m.host)
	f.members, f.access = append(f.members, m), append(f.access, a)
	f.wait(id+" serves", func() bool {
		if err := m.ended(); err != nil {
			f.t.Fatal(err)
		}
		chat, err := local.NewClient(m.caller, local.SampleKey).Chat(f.ctx, local.ChatBody("small", "ready "+id, false), nil)
		return err == nil && chat.Status == http.StatusOK
	})
}

func (f *testFleet) wait(what string, cond func() bool) {
	f.t.Helper()
	if err := local.Wait(f.ctx, cond); err != nil {
		f.t.Fatalf("%s: %v", what, err)
	}
}

// dutyOwner returns the incarnation that holds a duty, empty for none.
func (f *testFleet) dutyOwner(name string) string {
	e, err := f.Platform.KV.Get(f.ctx, "duty/"+name)
	if err != nil {
		return ""
	}
	return string(e.Value)
}

// pause stops the first daemon's process and returns when the system shows it as stopped.
func (f *testFleet) pause() {
	f.t.Helper()
	p := f.members[0].cmd.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		f.t.Fatal(err)
	}
	f.wait("the process is stopped", func() bool {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
		_, rest, _ := strings.Cut(string(data), ") ")
		return err == nil && strings.HasPrefix(rest, "T")
	})
}

// outlastLeases waits until the second daemon holds the duties of the stopped one, whose leases have then ended.
func (f *testFleet) outlastLeases() {
	f.t.Helper()
	for _, name := range []string{"rating", "rollout"} {
		f.wait("duty "+name+" is taken over", func() bool { return strings.HasPrefix(f.dutyOwner(name), "entry-2") })
	}
}

func (f *testFleet) proceed() {
	f.t.Helper()
	if err := f.members[0].cmd.Process.Signal(syscall.SIGCONT); err != nil {
		f.t.Fatal(err)
	}
}

// stopAll ends the daemons by SIGTERM, which must write their bills and end with exit code 0.
func (f *testFleet) stopAll() {
	f.t.Helper()
	for _, m := range f.members {
		if err := m.stop(); err != nil {
			f.t.Error(err)
		}
	}
}
