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

// stoppedDutyTTL is the time to live of the daemons' duty leases.
const stoppedDutyTTL = 900 * time.Millisecond

// platformProxy is the platform as one daemon sees it. It records the daemon's calls and can hold one of them.
type platformProxy struct {
	platform http.Handler

	mu       sync.Mutex
	recorded []platformCall
	held     *heldCall
}

// platformCall is a recorded call with the status of its response.
type platformCall struct {
	method string
	path   string
	status int
}

// heldCall is a write that the proxy holds until release is closed, before or after the store executes it.
type heldCall struct {
	prefix     string // of the URL path
	afterWrite bool
	reached    chan struct{} // closed when the call is held
	release    chan struct{} // closed by the test to let the call continue
	status     chan int      // receives the status of the store's response
}

// holdNextWrite holds the next write of a key with a prefix, before or after the store executes it.
func (a *platformProxy) holdNextWrite(prefix string, afterWrite bool) *heldCall {
	h := &heldCall{prefix: "/v1/keys/" + prefix, afterWrite: afterWrite, reached: make(chan struct{}), release: make(chan struct{}), status: make(chan int, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = h
	return h
}

// takeMatchingHold returns the hold that r matches and removes it, or nil.
func (a *platformProxy) takeMatchingHold(r *http.Request) *heldCall {
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
func (a *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := a.takeMatchingHold(r)
	if h != nil {
		r = r.WithContext(context.WithoutCancel(r.Context())) // the store executes a request that has arrived, even if its caller gives up
		if !h.afterWrite {
			close(h.reached)
			<-h.release
		}
	}
	rec := httptest.NewRecorder()
	a.platform.ServeHTTP(rec, r)
	a.mu.Lock()
	a.recorded = append(a.recorded, platformCall{r.Method, r.URL.Path, rec.Code})
	a.mu.Unlock()
	if h != nil {
		if h.afterWrite {
			close(h.reached)
			<-h.release
		}
		h.status <- rec.Code
	}
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes()) // the daemon may have given up the call
}

// countCalls returns the number of calls with a method and a path prefix, and how many of them had status 200.
func (a *platformProxy) countCalls(method, prefix string) (all, succeeded int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.recorded {
		if c.method == method && strings.HasPrefix(c.path, prefix) {
			all++
			if c.status == http.StatusOK {
				succeeded++
			}
		}
	}
	return all, succeeded
}

// testFleet runs daemons as processes. The platform and the endpoints run in the test's process, where it can hold their calls.
type testFleet struct {
	*local.Deployment
	t       testing.TB
	ctx     context.Context
	members []*member
	proxies []*platformProxy
}

// newTestFleet starts the platform and the endpoints, without daemons. The test's cleanup stops them.
func newTestFleet(tb testing.TB, timeout time.Duration, engine standin.EngineSpec, set object.Set) *testFleet {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	tb.Cleanup(cancel)
	d, err := local.New(nil)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Stop)
	if err := local.DeploySampleSet(ctx, d, 0, engine, set); err != nil {
		tb.Fatal(err)
	}
	return &testFleet{Deployment: d, t: tb, ctx: ctx}
}

// startPair starts two daemons, the second one after the first has acquired the duties. ownerFlags are flags of the first.
func startPair(t *testing.T, engine standin.EngineSpec, ownerFlags ...string) *testFleet {
	t.Helper()
	f := newTestFleet(t, testTimeout, engine, local.SampleSet())
	f.start("entry-1", local.SampleDomainA, ownerFlags...)
	for _, name := range []string{"rating", "rollout"} {
		f.wait("the first daemon holds duty "+name, func() bool { return f.dutyHolder(name) != "" })
	}
	f.start("entry-2", local.SampleDomainB)
	return f
}

// start starts a daemon process, lists its host and waits until it serves a request.
func (f *testFleet) start(id, domain string, flags ...string) {
	f.t.Helper()
	ports, err := freePorts(3)
	if err != nil {
		f.t.Fatal(err)
	}
	a := &platformProxy{platform: f.Platform.Handler()}
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
	m := &member{callerAddr: ports[0], operatorAddr: ports[2]}
	m.host = hostlist.Host{ID: id, Role: hostlist.RoleEntry, Domain: domain, Rack: id, State: hostlist.StateLive, Addr: ports[1]}
	if m.process, err = startProcess(testBinaries(f.ctx, f.t).Daemon, args...); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(m.kill)
	f.Platform.Hosts.Put(m.host)
	f.members, f.proxies = append(f.members, m), append(f.proxies, a)
	f.wait(id+" serves", func() bool {
		if err := m.exited(); err != nil {
			f.t.Fatal(err)
		}
		chat, err := local.NewClient(m.callerAddr, local.SampleKey).Chat(f.ctx, local.ChatBody("small", "ready "+id, false), nil)
		return err == nil && chat.Status == http.StatusOK
	})
}

// wait waits until cond returns true; what describes the condition.
func (f *testFleet) wait(what string, cond func() bool) {
	f.t.Helper()
	if err := local.Wait(f.ctx, cond); err != nil {
		f.t.Fatalf("wait until %s: %v", what, err)
	}
}

// dutyHolder returns the incarnation of the daemon that holds a duty, or "" if none does.
func (f *testFleet) dutyHolder(name string) string {
	e, err := f.Platform.KV.Get(f.ctx, "duty/"+name)
	if err != nil {
		return ""
	}
	return string(e.Value)
}

// suspend sends SIGSTOP to the first daemon's process and returns when the kernel reports it as stopped.
func (f *testFleet) suspend() {
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

// waitForTakeover waits until the second daemon holds the duties of the suspended one, whose leases have then expired.
func (f *testFleet) waitForTakeover() {
	f.t.Helper()
	for _, name := range []string{"rating", "rollout"} {
		f.wait("duty "+name+" is taken over", func() bool { return strings.HasPrefix(f.dutyHolder(name), "entry-2") })
	}
}

// resume sends SIGCONT to the first daemon's process.
func (f *testFleet) resume() {
	f.t.Helper()
	if err := f.members[0].cmd.Process.Signal(syscall.SIGCONT); err != nil {
		f.t.Fatal(err)
	}
}

// stopAll sends SIGTERM to the daemons, one after the other, and fails the test unless each exits with code 0. A daemon writes
// its bills before it exits.
func (f *testFleet) stopAll() {
	f.t.Helper()
	for _, m := range f.members {
		if err := m.stop(); err != nil {
			f.t.Error(err)
		}
	}
}
