package capacity

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/local"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Binaries holds the paths of the programs under test.
type Binaries struct {
	Daemon  string
	StandIn string
}

// fleetSpec describes the deployment that startFleet starts.
type fleetSpec struct {
	Daemons   int // processes to start
	Endpoints int // simulated by the stand-in
	Versions  int
	Teams     int
	Flags     []string // additional flags of the daemons
	Unlisted  bool     // endpoints are absent from the host list until resizeHostList adds them
}

// fleet is a running deployment: daemon processes, and one stand-in process that simulates the platform and the endpoints.
type fleet struct {
	spec        fleetSpec
	binaries    Binaries
	dir         string
	standIn     *process
	platformURL string
	adminURL    string
	members     []*member
	listed      []hostlist.Host // as last set by resizeHostList; not all have a process
	endpoints   []hostlist.Host
	revision    uint64 // highest published configuration revision
}

// member is one daemon process of a fleet.
type member struct {
	*process
	host         hostlist.Host
	callerAddr   string // host:port for callers
	operatorAddr string // host:port of the operator's interface, with metrics and profiles
}

// hostIDsByHash returns IDs for the entry hosts of a failure domain, sorted by their hash. The two hosts with the lowest
// hashes are the watchers of their domain. Assigning the IDs in this order, first to daemons with a process, then to
// hosts without one, ensures that the watchers have a process.
func hostIDsByHash(domain string) []string {
	const names = 400
	out := make([]string, names)
	for i := range out {
		out[i] = fmt.Sprintf("%s-entry-%d", domain, i)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return out
}

// maxStartAttempts limits how often startFleet tries to start a fleet.
const maxStartAttempts = 3

// errOldRevision means that a daemon's configuration revision is older than expected.
var errOldRevision = errors.New("configuration revision is outdated")

// errProcessExited means that a process exited before it was stopped.
var errProcessExited = errors.New("process exited")

// startFleet starts a deployment and waits until its daemons have the configuration. If a process exits, it tries again with
// other ports, because another program may take a free port before the process opens it. The caller ends the fleet with
// stop or abort.
func startFleet(ctx context.Context, b Binaries, spec fleetSpec) (*fleet, error) {
	for try := 1; ; try++ {
		f, err := startFleetOnce(ctx, b, spec)
		if err == nil || try == maxStartAttempts || !errors.Is(err, errProcessExited) {
			return f, err
		}
	}
}

func startFleetOnce(ctx context.Context, b Binaries, spec fleetSpec) (f *fleet, err error) {
	f = &fleet{spec: spec, binaries: b}
	defer func() {
		if err != nil {
			f.abort()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "bramleycap"); err != nil {
		return f, err
	}
	if err := os.WriteFile(f.keyFile(), []byte(local.SessionKey), 0o600); err != nil {
		return f, err
	}
	if err := f.startStandIn(ctx); err != nil {
		return f, err
	}
	ports, err := freePorts(3 * spec.Daemons)
	if err != nil {
		return f, err
	}
	for i := range spec.Daemons {
		domain := domainName(i % domains)
		m := &member{callerAddr: ports[3*i], operatorAddr: ports[3*i+2]}
		m.host = hostlist.Host{
			ID: hostIDsByHash(domain)[i/domains], Role: hostlist.RoleEntry, Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i/domains%4),
			State: hostlist.StateLive, Addr: ports[3*i+1],
		}
		f.members = append(f.members, m)
	}
	if err := f.changeHosts(ctx, f.hosts(f.members), nil); err != nil {
		return f, err
	}
	if _, err := f.publish(ctx, newConfiguration(spec.Versions, spec.Teams, "0")); err != nil {
		return f, err
	}
	for _, m := range f.members {
		if err := f.startMember(m); err != nil {
			return f, err
		}
	}
	return f, f.waitForRevision(ctx, f.members)
}

func (f *fleet) keyFile() string { return filepath.Join(f.dir, "session-key") }

// startStandIn starts the stand-in, waits until it responds, and reads the list of its endpoints.
func (f *fleet) startStandIn(ctx context.Context) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	f.platformURL, f.adminURL = "http://"+ports[0], "http://"+ports[1]
	args := []string{"--listen", ports[0], "--admin-listen", ports[1], "--endpoints", fmt.Sprint(f.spec.Endpoints), "--service", service}
	for i := range f.spec.Versions {
		args = append(args, "--version", versionName(i))
	}
	for _, d := range domainNames() {
		args = append(args, "--domain", d)
	}
	args = append(args, "--slots", "0")
	if f.spec.Unlisted {
		args = append(args, "--unlisted")
	}
	if f.standIn, err = startProcess(f.binaries.StandIn, args...); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var exited error
	err = local.Wait(ctx, func() bool {
		if exited = f.standIn.exited(); exited != nil {
			return true
		}
		data, err := httpGet(ctx, f.adminURL+"/admin/endpoints")
		return err == nil && json.Unmarshal(data, &f.endpoints) == nil
	})
	return errors.Join(exited, err)
}

// startMember starts the process of m. It does not wait until the daemon is ready.
func (f *fleet) startMember(m *member) (err error) {
	args := []string{
		"--id", m.host.ID, "--deployment", filepath.Base(f.dir), "--domain", m.host.Domain, "--rack", m.host.Rack, "--listen", m.callerAddr, "--peer-listen", m.host.Addr,
		"--operator-listen", m.operatorAddr, "--store", f.platformURL, "--hosts", f.platformURL, "--session-key-file", f.keyFile(), "--log-level", "error",
	}
	m.process, err = startProcess(f.binaries.Daemon, append(args, f.spec.Flags...)...)
	return err
}

func (f *fleet) hosts(members []*member) []hostlist.Host {
	var out []hostlist.Host
	for _, m := range members {
		out = append(out, m.host)
	}
	return out
}

// resizeHostList sets the host list to the given numbers of daemons and endpoints. Listed daemons without a process have the
// address of one that runs, so that calls between daemons are answered as in a full deployment.
func (f *fleet) resizeHostList(ctx context.Context, daemons, endpoints int) error {
	put := f.hosts(f.members)
	put = append(put, f.endpoints[:min(endpoints, len(f.endpoints))]...)
	for i := len(f.members); i < daemons; i++ {
		domain := domainName(i % domains)
		put = append(put, hostlist.Host{
			ID: hostIDsByHash(domain)[i/domains], Role: hostlist.RoleEntry, Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i/domains%8),
			State: hostlist.StateLive, Addr: f.members[i%len(f.members)].host.Addr,
		})
	}
	keep := map[string]bool{}
	for _, h := range put {
		keep[h.ID] = true
	}
	var remove []string
	for _, h := range f.listed {
		if !keep[h.ID] {
			remove = append(remove, h.ID)
		}
	}
	f.listed = put
	return f.changeHosts(ctx, put, remove)
}

// changeRack changes the rack of one listed endpoint, which creates a new revision of the host list.
func (f *fleet) changeRack(ctx context.Context, n int) error {
	h := f.endpoints[n%len(f.endpoints)]
	if !slices.ContainsFunc(f.listed, func(l hostlist.Host) bool { return l.ID == h.ID }) {
		return fmt.Errorf("change the rack of endpoint %s: not in the host list", h.ID)
	}
	h.Rack = fmt.Sprintf("rack-%d", n)
	return f.changeHosts(ctx, []hostlist.Host{h}, nil)
}

func (f *fleet) changeHosts(ctx context.Context, put []hostlist.Host, remove []string) error {
	return f.post(ctx, "/admin/hosts", standin.HostChange{Put: put, Remove: remove}, nil)
}

// publish publishes a configuration and returns its revision.
func (f *fleet) publish(ctx context.Context, set object.Set) (uint64, error) {
	var rev struct{ Number uint64 }
	err := f.post(ctx, "/admin/publish", set, &rev)
	f.revision = max(f.revision, rev.Number)
	return rev.Number, err
}

// setOutage makes the platform's key-value store and host list unavailable or available.
func (f *fleet) setOutage(ctx context.Context, store, hosts bool) error {
	return f.post(ctx, "/admin/outage", standin.Outage{Store: store, Hosts: hosts}, nil)
}

// setTiming sets the length of the endpoints' answers in tokens and the delay before each token.
func (f *fleet) setTiming(ctx context.Context, answerTokens int64, tokenDelay time.Duration) error {
	return f.post(ctx, "/admin/endpoints", standin.EndpointChange{TokenDelay: tokenDelay, AnswerTokens: answerTokens}, nil)
}

// post sends in as JSON to the stand-in's admin interface and decodes the response into out unless that is nil.
func (f *fleet) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.adminURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	reply, err := doRequest(req)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(reply, out)
}

// platformCalls returns the number of calls to the platform since its start, by caller and kind.
func (f *fleet) platformCalls(ctx context.Context) (map[string]map[string]int, error) {
	data, err := httpGet(ctx, f.adminURL+"/admin/calls")
	if err != nil {
		return nil, err
	}
	out := map[string]map[string]int{}
	return out, json.Unmarshal(data, &out)
}

// waitForRevision waits until the members have the last published configuration. It fails if a member exits.
func (f *fleet) waitForRevision(ctx context.Context, members []*member) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var exited, outdated error
	err := local.Wait(ctx, func() bool {
		exited = firstExited(members)
		outdated = f.checkRevision(ctx, members, f.revision)
		return exited != nil || outdated == nil
	})
	if err != nil {
		err = errors.Join(outdated, err)
	}
	return errors.Join(exited, err)
}

// firstExited returns an error for the first member that has exited, for example because another program took its port.
func firstExited(members []*member) error {
	for _, m := range members {
		if err := m.exited(); err != nil {
			return fmt.Errorf("daemon %s: %w", m.host.ID, err)
		}
	}
	return nil
}

// checkRevision returns an error that names the members whose configuration is older than revision number.
func (f *fleet) checkRevision(ctx context.Context, members []*member, number uint64) error {
	var wg sync.WaitGroup
	errs := make([]error, len(members))
	for i, m := range members {
		wg.Go(func() {
			values, err := readMetrics(ctx, m.operatorAddr)
			if have := values["bramley_config_revision"]; err != nil || have < float64(number) {
				errs[i] = fmt.Errorf("daemon %s has configuration revision %g, want %d: %w", m.host.ID, have, number, cmp.Or(err, errOldRevision))
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// watchers returns for each member's host ID whether that daemon watches the key-value store and the host list for its
// failure domain.
func (f *fleet) watchers() map[string]bool {
	seen := map[string]int{}
	out := map[string]bool{}
	for _, m := range f.members { // sorted by hash within a domain
		seen[m.host.Domain]++
		out[m.host.ID] = seen[m.host.Domain] <= 2
	}
	return out
}

// stop sends SIGTERM to all daemons at once, then to the stand-in, and removes the fleet's directory. It returns an error
// if a process does not exit with code 0.
func (f *fleet) stop() error {
	errs := make([]error, len(f.members))
	var wg sync.WaitGroup
	for i, m := range f.members {
		if m.process != nil {
			wg.Go(func() { errs[i] = m.stop() })
		}
	}
	wg.Wait()
	errs = append(errs, f.standIn.stop(), os.RemoveAll(f.dir))
	return errors.Join(errs...)
}

// abort kills all processes and removes the fleet's directory. It may be called after stop.
func (f *fleet) abort() {
	for _, m := range f.members {
		if m.process != nil {
			m.kill()
		}
	}
	if f.standIn != nil {
		f.standIn.kill()
	}
	_ = os.RemoveAll(f.dir) // the caller reports the error that led here
}

// hostRevision returns the current revision of the platform's host list.
func (f *fleet) hostRevision(ctx context.Context) (uint64, error) {
	data, err := httpGet(ctx, f.adminURL+"/admin/hosts")
	if err != nil {
		return 0, err
	}
	var list hostlist.List
	err = json.Unmarshal(data, &list)
	return list.Revision, err
}
