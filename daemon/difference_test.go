package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/peer"
)

func hostsDocument(t testing.TB, list hostlist.List) peer.Document {
	t.Helper()
	body, err := encodeHosts(list)
	if err != nil {
		t.Fatal(err)
	}
	return peer.Document{DocumentID: peer.DocumentID{Name: docHosts, Number: list.Revision, Digest: declare.Digest(body)}, Body: body}
}

// Guards against a difference from a peer that stops a daemon, or that leads to another list than the one it names.
func FuzzHostsDifference(f *testing.F) {
	from := hostsDocument(f, hostlist.List{Revision: 7, Hosts: []hostlist.Host{{ID: "a", Role: hostlist.RoleEntry}, {ID: "b"}, {ID: "c"}}})
	to := hostsDocument(f, hostlist.List{Revision: 9, Hosts: []hostlist.Host{{ID: "a", Role: hostlist.RoleEntry}, {ID: "b", State: hostlist.StateLeaving}, {ID: "d"}}})
	diff, err := differ{}.Diff(from, to)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(diff)
	f.Add(diff[:len(diff)/2])
	f.Add([]byte(`{"revision":9,"remove":["c","c","x"]}`))
	f.Add([]byte(`null`))
	if body, err := (differ{}).Patch(from, diff, to.DocumentID); err != nil || !bytes.Equal(body, to.Body) {
		f.Fatalf("the difference does not give the list: %v", err)
	}
	if _, err := (differ{}).Patch(to, diff, from.DocumentID); !errors.Is(err, errIdentity) {
		f.Fatalf("%v; want a list of another identity to be refused", err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if body, err := (differ{}).Patch(from, data, to.DocumentID); err == nil && !bytes.Equal(body, to.Body) {
			t.Errorf("%s leads to another list", data)
		}
	})
}

// endpoints returns the endpoints that complete a list of 1,210 hosts.
func endpoints(n int) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range n {
		hosts = append(hosts, hostlist.Host{
			ID: fmt.Sprintf("llm-%04d", i), Role: hostlist.RoleEndpoint, Domain: fmt.Sprintf("d%d", i%5), Rack: fmt.Sprintf("rack-%d", i/40), State: hostlist.StateLive,
			Addr: fmt.Sprintf("10.%d.%d.%d:8000", i%5, i%17, i%250), Service: "llm", Versions: []string{fmt.Sprintf("model-%d-v%d", i%9, i%2)},
		})
	}
	return hosts
}

// sent returns the bytes that the daemons sent to each other.
func (f *fleet) sent(daemons int) (bytes int) {
	for i := range daemons {
		bytes += f.net.Traffic(fmt.Sprint("host-", i)).Bytes
	}
	return bytes
}

// Guards against changes of the host list that take more than a daemon's 5 KB a second, and against an endpoint that is
// not known as leaving everywhere within 3 s. The restart of a domain of 242 hosts within a minute is 8 changes a second.
func TestHostListChangeBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, changes, perSecond = 12, 96, 8
		const budget = 5000                  // bytes a second, sent and received
		const maxStorm = budget / 2          // each byte sent is received
		const maxChange = budget / perSecond // so that the changes would fit one by one
		f := newFleet(t)
		defer f.stop()
		f.grow(daemons, 3)
		hosts := endpoints(1210 - daemons)
		f.list.Update(hosts, nil)
		time.Sleep(settleTime)
		during := func(seconds int, scenario func()) int {
			start, before := time.Now(), f.sent(daemons)
			scenario()
			time.Sleep(time.Duration(seconds)*time.Second - time.Since(start))
			return f.sent(daemons) - before
		}
		quiet := during(20, func() {})
		const singles = 10 // their mean varies less than one
		one := during(20, func() {
			for i := range singles {
				f.list.SetState(fmt.Sprintf("llm-%04d", 5*i+1), hostlist.StateLeaving)
				time.Sleep(20 * time.Second / singles)
			}
		})
		f.wantHosts(t)
		storm := during(20, func() {
			for i := range changes {
				f.list.SetState(fmt.Sprintf("llm-%04d", 5*i), hostlist.StateLeaving)
				time.Sleep(time.Second / perSecond)
			}
			time.Sleep(3 * time.Second)
			f.wantHosts(t)
		})
		perChange, perSec := (one-quiet)/daemons/singles, (storm-quiet)/daemons/(changes/perSecond)
		t.Logf("sent by a daemon: %d B/s quiet, %d B a change, %d B/s more at %d changes a second", quiet/daemons/20, perChange, perSec, perSecond)
		if perChange > maxChange || perSec > maxStorm {
			t.Errorf("%d B a change, want at most %d; %d B/s, want at most %d", perChange, maxChange, perSec, maxStorm)
		}
	})
}

// wantHosts checks that each daemon has the platform's list.
func (f *fleet) wantHosts(t *testing.T) {
	t.Helper()
	for _, p := range f.parts {
		if list := p.docs.list.Load(); list == nil || !sameHosts(list.Hosts, f.list.Snapshot().Hosts) {
			t.Errorf("%s does not have the newest list", p.host.ID)
		}
	}
}
