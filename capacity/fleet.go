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

// Binaries are the paths of the programs.
type Binaries struct {
	Daemon  string
	StandIn string
}

// fleetSpec describes a deployment.
type fleetSpec struct {
	Daemons   int // started as processes
	Endpoints int // served by the stand-in
	Versions  int
	Teams     int
	Flags     []string // further flags of the daemons
	Unlisted  bool     // endpoints are listed later
}

// fleet is a running deployment of processes.
type fleet struct {
	spec      fleetSpec
	binaries  Binaries
	dir       string
	standIn   *process
	platform  string
	admin     string
	members   []*member
	listed    []hostlist.Host // entries without a process
	endpoints []hostlist.Host
	revision  uint64
}

// member is one daemon.
type member struct {
	*process
	host     hostlist.Host
	caller   string // addresses
	operator string
}

// identities returns names of daemons of a domain by their hash, lowest first. The first two of a domain are its
// watchers, so started daemons take the first names and entries without a process the later ones.
func identities(domain string) []string {
	const names = 400
	out := make([]string, names)
	for i := range out {
		out[i] = fmt.Sprintf("%s-entry-%d", domain, i)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return out
}

// startTries is the number of attempts to start a fleet.
const startTries = 3

// errLate says that a daemon lacks a revision.
var errLate = errors.New("late")

// errEnded says that a process has ended too early.
var errEnded = errors.New("process ended")

// startFleet starts a deployment and waits until its daemons are ready. It tries again with other ports if a process
// ends, since another program can take a free port before the process opens it.
func startFleet(ctx context.Context, b Binaries, spec fleetSpec) (*fleet, error) {
	for try := 1; ; try++ {
		f, err := tryFleet(ctx, b, spec)
		if err == nil || try == startTries || !errors.Is(err, errEnded) {
			return f, err
		}
	}
}

func tryFleet(ctx context.Context, b Binaries, spec fleetSpec) (f *fleet, err error) {
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
		m := &member{caller: ports[3*i], operator: ports[3*i+2]}
		m.host = hostlist.Host{
			ID: identities(domain)[i/domains], Role: hostlist.RoleEntry, Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i/domains%4),
			State: hostlist.StateLive, Addr: ports[3*i+1],
		}
		f.members = append(f.members, m)
	}
	if err := f.changeHosts(ctx, f.hosts(f.members), nil); err != nil {
		return f, err
	}
	if _, err := f.publish(ctx, newSet(spec.Versions, spec.Teams, "0")); err != nil {
		return f, err
	}
	for _, m := range f.members {
		if err := f.startMember(m); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx, f.members)
}

func (f *fleet) keyFile() string { return filepath.Join(f.dir, "session-key") }

func (f *fleet) startStandIn(ctx context.Context) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	f.platform, f.admin = "http://"+ports[0], "http://"+ports[1]
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
	var ended error
	err = local.Wait(ctx, func() bool {
		if ended = f.standIn.ended(); ended != nil {
			return true
		}
		data, err := get(ctx, f.admin+"/admin/endpoints")
		return err == nil && json.Unmarshal(data, &f.endpoints) == nil
	})
	return errors.Join(ended, err)
}

func (f *fleet) startMember(m *member) (err error) {
	args := []string{
		"--id", m.host.ID, "--deployment", filepath.Base(f.dir), "--domain", m.host.Domain, "--rack", m.host.Rack, "--listen", m.caller, "--peer-listen", m.host.Addr,
		"--operator-listen", m.operator, "--store", f.platform, "--hosts", f.platform, "--session-key-file", f.keyFile(), "--log-level", "error",
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

// resize lists the given numbers of daemons and endpoints. Daemons beyond those that run are entries with the address of
// one that runs, so that calls between daemons are answered as in a whole deployment.
func (f *fleet) resize(ctx context.Context, daemons, endpoints int) error {
	put := f.hosts(f.members)
	put = append(put, f.endpoints[:min(endpoints, len(f.endpoints))]...)
	for i := len(f.members); i < daemons; i++ {
		domain := domainName(i % domains)
		put = append(put, hostlist.Host{
			ID: identities(domain)[i/domains], Role: hostlist.RoleEntry, Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i/domains%8),
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

// touch changes the rack of one endpoint in the list, which makes a new revision of the list.
func (f *fleet) touch(ctx context.Context, n int) error {
	h := f.endpoints[n%len(f.endpoints)]
	if !slices.ContainsFunc(f.listed, func(l hostlist.Host) bool { return l.ID == h.ID }) {
		return fmt.Errorf("endpoint %s is not listed", h.ID)
	}
	h.Rack = fmt.Sprintf("rack-%d", n)
	return f.changeHosts(ctx, []hostlist.Host{h}, nil)
}

func (f *fleet) changeHosts(ctx context.Context, put []hostlist.Host, remove []string) error {
	return f.post(ctx, "/admin/hosts", standin.HostChange{Put: put, Remove: remove}, nil)
}

func (f *fleet) publish(ctx context.Context, set object.Set) (uint64, error) {
	var rev struct{ Number uint64 }
	err := f.post(ctx, "/admin/publish", set, &rev)
	f.revision = max(f.revision, rev.Number)
	return rev.Number, err
}

func (f *fleet) outage(ctx context.Context, store, hosts bool) error {
	return f.post(ctx, "/admin/outage", standin.Outage{Store: store, Hosts: hosts}, nil)
}

func (f *fleet) timing(ctx context.Context, answer int64, delay time.Duration) error {
	return f.post(ctx, "/admin/endpoints", standin.EndpointChange{TokenDelay: delay, AnswerTokens: answer}, nil)
}

func (f *fleet) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.admin+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	reply, err := send(req)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(reply, out)
}

// calls returns the calls to the platform by caller and kind.
func (f *fleet) calls(ctx context.Context) (map[string]map[string]int, error) {
	data, err := get(ctx, f.admin+"/admin/calls")
	if err != nil {
		return nil, err
	}
	out := map[string]map[string]int{}
	return out, json.Unmarshal(data, &out)
}

// waitReady waits until the members have the newest revision.
func (f *fleet) waitReady(ctx context.Context, members []*member) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var ended, late error
	err := local.Wait(ctx, func() bool {
		ended = firstEnded(members)
		late = f.lacksRevision(ctx, members, f.revision)
		return ended != nil || late == nil
	})
	if err != nil {
		err = errors.Join(late, err)
	}
	return errors.Join(ended, err)
}

// firstEnded returns an error if a member has ended, for example because another program took its port.
func firstEnded(members []*member) error {
	for _, m := range members {
		if err := m.ended(); err != nil {
			return fmt.Errorf("%s: %w", m.host.ID, err)
		}
	}
	return nil
}

// lacksRevision returns an error that names the members without the revision.
func (f *fleet) lacksRevision(ctx context.Context, members []*member, number uint64) error {
	var wg sync.WaitGroup
	errs := make([]error, len(members))
	for i, m := range members {
		wg.Go(func() {
			values, err := metrics(ctx, m.operator)
			if have := values["bramley_config_revision"]; err != nil || have < float64(number) {
				errs[i] = fmt.Errorf("%s has revision %g of %d, %w", m.host.ID, have, number, cmp.Or(err, errLate))
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// watchers returns the members that watch the platform's services.
func (f *fleet) watchers() map[string]bool {
	seen := map[string]int{}
	out := map[string]bool{}
	for _, m := range f.members { // in the order of their hashes within a domain
		seen[m.host.Domain]++
		out[m.host.ID] = seen[m.host.Domain] <= 2
	}
	return out
}

// stop ends all daemons by SIGTERM at once, then the stand-in.
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

func (f *fleet) abort() {
	for _, m := range f.members {
		if m.process != nil {
			m.kill()
		}
	}
	if f.standIn != nil {
		f.standIn.kill()
	}
	_ = os.RemoveAll(f.dir) // the first error is reported
}

// hostRevision returns the revision of the platform's host list.
func (f *fleet) hostRevision(ctx context.Context) (uint64, error) {
	data, err := get(ctx, f.admin+"/admin/hosts")
	if err != nil {
		return 0, err
	}
	var list hostlist.List
	err = json.Unmarshal(data, &list)
	return list.Revision, err
}
