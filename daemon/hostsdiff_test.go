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

// hostsDocument returns a list as the document that a watcher offers.
func hostsDocument(t testing.TB, list hostlist.List) peer.Document {
	t.Helper()
	body, err := encodeHosts(list)
	if err != nil {
		t.Fatal(err)
	}
	return peer.Document{DocumentID: peer.DocumentID{Name: docHosts, Number: list.Revision, Digest: declare.Digest(body)}, Body: body}
}

// Guards against a diff from a peer that crashes a daemon or produces a list other than the one it names.
func FuzzHostsDifference(f *testing.F) {
	from := hostsDocument(f, hostlist.List{Revision: 7, Hosts: []hostlist.Host{{ID: "a", Role: hostlist.RoleEntry}, {ID: "b"}, {ID: "c"}}})
	to := hostsDocument(f, hostlist.List{Revision: 9, Hosts: []hostlist.Host{{ID: "a", Role: hostlist.RoleEntry}, {ID: "b", State: hostlist.StateLeaving}, {ID: "d"}}})
	diff, err := hostsDiffer{}.Diff(from, to)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(diff)
	f.Add(diff[:len(diff)/2])
	f.Add([]byte(`{"revision":9,"remove":["c","c","x"]}`))
	f.Add([]byte(`null`))
	if body, err := (hostsDiffer{}).Patch(from, diff, to.DocumentID); err != nil || !bytes.Equal(body, to.Body) {
		f.Fatalf("patch does not reproduce the list: %v", err)
	}
	if _, err := (hostsDiffer{}).Patch(to, diff, from.DocumentID); !errors.Is(err, errIdentityMismatch) {
		f.Fatalf("patch to a list with another identity: error %v, want %v", err, errIdentityMismatch)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if body, err := (hostsDiffer{}).Patch(from, data, to.DocumentID); err == nil && !bytes.Equal(body, to.Body) {
			t.Errorf("diff %s was accepted but produces another list", data)
		}
	})
}

// testEndpoints returns n live endpoints in 5 failure domains.
func testEndpoints(n int) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range n {
		hosts = append(hosts, hostlist.Host{
			ID: fmt.Sprintf("llm-%04d", i), Role: hostlist.RoleEndpoint, Domain: fmt.Sprintf("d%d", i%5), Rack: fmt.Sprintf("rack-%d", i/40), State: hostlist.StateLive,
			Addr: fmt.Sprintf("10.%d.%d.%d:8000", i%5, i%17, i%250), Service: "llm", Versions: []string{fmt.Sprintf("model-%d-v%d", i%9, i%2)},
		})
	}
	return hosts
}

// sentBytes returns the total number of bytes that the daemons have sent to each other.
func (f *fleet) sentBytes(daemons int) (bytes int) {
	for i := range daemons {
		bytes += f.net.Traffic(fmt.Sprint("host-", i)).Bytes
	}
	return bytes
}

// Guards against host list changes that exceed a daemon's traffic budget of 5 KB per second, and against an endpoint that is
// not known to be leaving everywhere within 3 s. Restarting a domain of 242 hosts within a minute makes 8 changes per second.
func TestHostListChangeBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, changes, perSecond = 12, 96, 8
		const budget = 5000                  // bytes per second, sent and received
		const maxBurst = budget / 2          // each byte sent by one daemon is received by another
		const maxChange = budget / perSecond // perSecond separate changes must fit in the budget
		f := newFleet(t)
		defer f.stop()
		f.grow(daemons, 3)
		hosts := testEndpoints(1210 - daemons)
		f.fakeHosts.Update(hosts, nil)
		time.Sleep(convergenceTime)
		measure := func(seconds int, scenario func()) int {
			start, before := time.Now(), f.sentBytes(daemons)
			scenario()
			time.Sleep(time.Duration(seconds)*time.Second - time.Since(start))
			return f.sentBytes(daemons) - before
		}
		idle := measure(20, func() {})
		const singleChanges = 10 // the mean of several changes varies less than one
		single := measure(20, func() {
			for i := range singleChanges {
				f.fakeHosts.SetState(fmt.Sprintf("llm-%04d", 5*i+1), hostlist.StateLeaving)
				time.Sleep(20 * time.Second / singleChanges)
			}
		})
		f.wantHosts(t)
		burst := measure(20, func() {
			for i := range changes {
				f.fakeHosts.SetState(fmt.Sprintf("llm-%04d", 5*i), hostlist.StateLeaving)
				time.Sleep(time.Second / perSecond)
			}
			time.Sleep(3 * time.Second)
			f.wantHosts(t)
		})
		perChange, burstPerSecond := (single-idle)/daemons/singleChanges, (burst-idle)/daemons/(changes/perSecond)
		t.Logf("sent by each daemon: %d B/s idle, %d B per change, %d B/s more at %d changes per second", idle/daemons/20, perChange, burstPerSecond, perSecond)
		if perChange > maxChange || burstPerSecond > maxBurst {
			t.Errorf("sent by each daemon: %d B per change, want at most %d; %d B/s, want at most %d", perChange, maxChange, burstPerSecond, maxBurst)
		}
	})
}

// wantHosts checks that each daemon has the current list of the platform.
func (f *fleet) wantHosts(t *testing.T) {
	t.Helper()
	for _, d := range f.daemons {
		if list := d.docs.hostList.Load(); list == nil || !sameHosts(list.Hosts, f.fakeHosts.Snapshot().Hosts) {
			t.Errorf("%s does not have the newest list", d.host.ID)
		}
	}
}
