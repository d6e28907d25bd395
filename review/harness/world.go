// Command harness plays the scripted cases of the review: it starts the daemons of the deploy file as separate processes before
// stand-ins of the store, of endpoints and of callers, all on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleytrail/bramleytrail/platform/standin"
)

const (
	callerPort, readyPort, peerPort = 8227, 8220, 7340
	callerHost                      = "a.example"
	callerKey                       = "key-of-the-tenant"
	leaseCheck                      = 100 * time.Millisecond
	heartbeat                       = 1200 * time.Millisecond
	startLimit                      = 15 * time.Second
)

// world is a small deployment with what its servers and callers saw.
type world struct {
	dir     string // temporary
	network string // first three bytes of the loopback addresses
	record  *record
	store   *standin.Store // reached through an address for each daemon
	daemons []*daemon
	stop    chan struct{}
}

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// notef writes a line with the time since the start of the case.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // the verdict does not depend on it
}

// newWorld starts a store that holds a configuration.
func newWorld(rec *record, config map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{dir: dir, network: fmt.Sprintf("127.%d.%d", 130+pid%100, pid/100%250), record: rec, store: standin.NewHandler(), stop: make(chan struct{})}
	go w.every(leaseCheck, func() { w.store.ExpireLeases(time.Now()) })
	data, err := json.Marshal(config)
	if err != nil {
		return w, err
	}
	w.store.Put("op/config", data)
	return w, nil
}

// every calls f at intervals until the world ends.
func (w *world) every(interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f()
		case <-w.stop:
			return
		}
	}
}

// close ends all processes that the world started.
func (w *world) close() {
	close(w.stop)
	for _, d := range w.daemons {
		d.signal(syscall.SIGKILL)
		d.signal(syscall.SIGCONT)
		<-d.ended()
	}
	_ = os.RemoveAll(w.dir) // left-over files in the temporary folder do no harm
}

// endpoint is a server of a service, with its entry in the store.
type endpoint struct {
	w                    *world
	id, service, version string
	slots                int
	listener             net.Listener
	server               *http.Server
	born                 int64

	mu       sync.Mutex
	sequence int
	state    string
	gone     bool
}

// addEndpoint starts an endpoint and keeps its entry up to date.
func (w *world) addEndpoint(id, service, version string, slots int, h http.Handler) (*endpoint, error) {
	ln, err := net.Listen("tcp", w.network+".200:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{w: w, id: id, service: service, version: version, slots: slots, listener: ln, born: time.Now().UnixMilli(), state: "ready"}
	e.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.Header.Get("X-Expected-Instance") != id {
			rw.Header().Set("X-Replica-Id", id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.ServeHTTP(rw, r)
	})}
	go func() { _ = e.server.Serve(ln) }() // ends with stop or the process
	e.beat()
	go w.every(heartbeat, e.beat)
	return e, nil
}

// beat writes the entry.
func (e *endpoint) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return
	}
	e.sequence++
	e.w.store.Put("servers/"+e.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"north","version":%q,"slots":%d,"state":%q,"cold-remaining-ms":0,"sequence":%d,"born":%d}`,
		e.service, e.listener.Addr(), e.version, e.slots, e.state, e.sequence, e.born))
}

// drain announces that the endpoint leaves. It goes on serving.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
}

// end stops the endpoint at once and removes its entry.
func (e *endpoint) end() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.w.store.Remove("servers/" + e.id)
}

// serveStore opens the address at which a daemon reaches the store.
func (w *world) serveStore(d *daemon) (string, error) {
	ln, err := net.Listen("tcp", w.network+".1:0")
	if err != nil {
		return "", err
	}
	h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if d.turnedAway.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	})
	go func() { _ = http.Serve(ln, h) }() // ends with the process
	return ln.Addr().String(), nil
}

// daemon is a process of the gateway.
type daemon struct {
	name, ip string
	env      []string
	log      string
	// turnedAway makes the store answer this daemon 503, without doing anything.
	turnedAway atomic.Bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addDaemon writes the settings of a daemon and starts it.
func (w *world) addDaemon(memoryMB int) (*daemon, error) {
	n := len(w.daemons)
	d := &daemon{name: fmt.Sprintf("front-north-%d", n+1), ip: fmt.Sprintf("%s.%d", w.network, 10+n)}
	d.log = filepath.Join(w.dir, d.name+".log")
	storeAddr, err := w.serveStore(d)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node-name": d.name, "role": "gateway", "machine-class": "front", "serves": []string{"front"}, "ip-address": d.ip,
		"zone": "north", "region": "r", "zones": map[string]string{"north": "r"}, "bootstrap": true,
		"listen-addresses":    map[string]string{"front": fmt.Sprintf("%s:%d", d.ip, callerPort), "ready": fmt.Sprintf("%s:%d", d.ip, readyPort)},
		"internal-port-range": []int{peerPort, peerPort + 15}, "seeds": []string{}, "heartbeat-interval-ms": 1200, "discovery": "platform", "entry": "virtual_ip",
		"limits":          map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": memoryMB, "file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "address-reuse-s": 2, "stability-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-period-s": 8, "loss-slack-ms": 200,
			"config-propagation-ms": 2000, "rollback-slack-ms": 250, "partition-stretch-ms": 5000, "retry-budget-ratio": 0.9, "budget-window-s": 10, "retry-budget-slack": 52,
			"exposure-share": 0.15, "exposure-slack": 30, "rollback-ms": 5000, "cold-overrun": 1.5, "cold-slack": 5, "evacuation-ms": 5000, "recovery-s": 12, "pass-ms": 120, "session-s": 5,
		},
		"platform": map[string]any{"address": storeAddr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.dir, d.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	d.env = []string{"BRAMLEYTRAIL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	w.daemons = append(w.daemons, d)
	return d, d.start()
}

// start starts the process with the command of the deploy file. The kernel ends it when this process ends.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/bramleytrail", "gateway")
	cmd.Env, cmd.Stdout, cmd.Stderr = d.env, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status depends on the signal
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // fails if it has ended
	}
}

// pid returns the ID of the process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// ended returns a channel that is closed at the end of the process.
func (d *daemon) ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// addr returns the address for callers.
func (d *daemon) addr() string { return fmt.Sprintf("%s:%d", d.ip, callerPort) }

// ready reports whether the readiness check succeeds.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/readiness", d.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(startLimit); ; time.Sleep(20 * time.Millisecond) {
		all := true
		for _, d := range w.daemons {
			all = all && d.ready()
		}
		if all {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("daemons not ready within %v", startLimit)
		}
	}
}
