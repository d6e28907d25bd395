package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/peer"
)

// withFleet runs a scenario with 12 daemons in 3 failure domains, after revision 1 is in force at all of them.
func withFleet(t *testing.T, scenario func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.grow(12, 3)
		if _, err := f.publish("first"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(convergenceTime)
		scenario(t, f)
		for _, v := range f.violations {
			t.Error(v)
		}
	})
}

// mustPublish publishes a revision and fails the test on an error.
func (f *fleet) mustPublish(label string) config.Revision {
	f.t.Helper()
	r, err := f.publish(label)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// wantEverywhere waits for the given time and checks that exactly r is in force at each daemon.
func (f *fleet) wantEverywhere(within time.Duration, r config.Revision) {
	f.t.Helper()
	time.Sleep(within)
	if l := f.lagging(r); len(l) > 0 {
		f.t.Errorf("revision %d is not in force everywhere after %v: %v", r.Number, within, l)
	}
}

// Guards against a daemon that waits for the key-value store although a peer has the revision. The store goes down right
// after a publication, and daemons start during the outage, some of them while the host list is down as well.
func TestRevisionSpreadsDuringOutage(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.partition(map[string]bool{"d1": true, "d2": true}, nil) // only d0 can read the publication from the platform
		r := f.mustPublish("second")
		synctest.Wait()
		f.store.Faults.SetDown(true)
		f.wantEverywhere(3*time.Second, r)
		late := f.start("late", "d1")
		f.fakeHosts.Put(late.host)
		f.wantEverywhere(3*time.Second, r)
		f.fakeHosts.SetDown(true)
		f.start("seeded", "d2", "host-0")
		unseeded := f.start("blind", "d2")
		time.Sleep(3 * time.Second)
		if l := f.lagging(r); len(l) != 1 || unseeded.docs.spec.Config.View() != nil {
			t.Errorf("daemons without the revision: %v; want only the one without seeds, which waits for the host list", l)
		}
		f.fakeHosts.SetDown(false)
		f.wantEverywhere(3*time.Second, r)
	})
}

// Guards against a failure domain that misses a change while it is partitioned from the platform but not from its peers, and
// against one partitioned from both that reverts to an older revision or does not catch up afterwards.
func TestCutOffDomainCatchesUp(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.partition(map[string]bool{"d1": true}, nil)
		f.wantEverywhere(3*time.Second, f.mustPublish("second"))
		f.fakeHosts.Put(hostlist.Host{ID: "endpoint", Role: hostlist.RoleEndpoint, State: hostlist.StateLeaving})
		time.Sleep(3 * time.Second)
		for _, d := range f.daemons {
			if h := d.docs.hostList.Load().Hosts; h[0].ID != "endpoint" || h[0].State != hostlist.StateLeaving {
				t.Errorf("%s does not know that the endpoint is leaving", d.host.ID)
			}
		}
		f.partition(map[string]bool{"d1": true}, map[string]bool{"d1": true})
		third := f.mustPublish("third")
		time.Sleep(convergenceTime)
		if l := f.lagging(third); len(l) != 4 {
			t.Errorf("daemons without the revision: %v; want the 4 of the partitioned domain", l)
		}
		f.heal()
		f.wantEverywhere(convergenceTime, third)
	})
}

// Guards against daemons that revert to an older revision when the key-value store is restored with older data or none, and
// against losing an operator's revision that was published on top of the older data.
func TestServiceWithOlderData(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		older := f.store.Snapshot()
		f.mustPublish("second")
		third := f.mustPublish("third")
		time.Sleep(convergenceTime)
		f.store.Faults.SetDown(true)
		f.store.Restore(older)
		f.store.Faults.SetDown(false)
		conflicting := f.mustPublish("conflicting") // number 2 again
		f.wantEverywhere(convergenceTime, third)
		if s := f.stored(); s.Digest != third.Digest {
			t.Errorf("revision %d is stored; want %d", s.Number, third.Number)
		}
		if _, err := f.store.Get(context.Background(), config.ReplacedKey(conflicting)); err != nil {
			t.Errorf("the replaced revision was not saved: %v", err)
		}
		// Daemons and store have different revisions with number 4. The same one must win everywhere, also in the store.
		older = f.store.Snapshot()
		mine := f.mustPublish("mine")
		time.Sleep(convergenceTime)
		f.store.Faults.SetDown(true)
		f.store.Restore(older)
		f.store.Faults.SetDown(false)
		theirs := f.mustPublish("theirs")
		winner := mine
		if theirs.Newer(mine) {
			winner = theirs
		}
		f.wantEverywhere(convergenceTime, winner)
		f.store.Restore(memkv.New().Snapshot()) // all data lost
		time.Sleep(2 * convergenceTime)
		if s := f.stored(); s.Digest != winner.Digest {
			t.Errorf("revision %d is stored after the service lost everything; want %d", s.Number, winner.Number)
		}
	})
}

// Guards against relying on a watch after the store was restored to older data and has since passed the watch position
// again with other writes: a watch from that position returns nothing.
func TestWatchPositionPassedAgain(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		older := f.store.Snapshot()
		second := f.mustPublish("second")
		time.Sleep(convergenceTime)
		f.store.Faults.SetDown(true)
		f.store.Restore(older)
		f.store.Faults.SetDown(false)
		for _, key := range []string{"a", "b", "c"} {
			if _, err := f.store.CAS(context.Background(), key, nil, kv.Revision{}, 0); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * convergenceTime)
		if s := f.stored(); s.Digest != second.Digest {
			t.Errorf("revision %d is stored; want %d written back", s.Number, second.Number)
		}
	})
}

// Guards against putting an invalid stored set in force, in whole or in part, and against a rejected set that blocks the next
// valid one. Also guards against a peer's document whose number differs from that of its revision.
func TestInvalidStoredSetIsRefused(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := f.newest()
		bad := revision(t, 2, "") // no region
		data, err := bad.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		e, err := f.store.Get(context.Background(), config.Key)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.CAS(context.Background(), config.Key, data, e.Revision, 0); err != nil {
			t.Fatal(err)
		}
		f.wantEverywhere(convergenceTime, first)
		f.wantEverywhere(3*time.Second, f.mustPublish("third"))
		forged := revision(t, 4, "forged")
		doc := peer.Document{DocumentID: peer.DocumentID{Name: docConfig, Number: 9, Digest: forged.Digest}}
		if doc.Body, err = forged.Marshal(); err != nil {
			t.Fatal(err)
		}
		if f.daemons[0].node.Offer(doc) == nil {
			t.Error("a document with another revision's number was accepted")
		}
	})
}

// Guards against ignoring a host list service that has restarted with lower revisions, and against a list without entry
// hosts, as a service has right after its start, that removes every endpoint.
func TestHostListStartsAnew(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		restarted := hostlist.NewFake()
		restarted.Put(hostlist.Host{ID: "e", Role: hostlist.RoleEndpoint, State: hostlist.StateLive})
		f.replaceHosts(restarted)
		time.Sleep(2 * convergenceTime)
		if n := len(f.daemons[0].docs.hostList.Load().Hosts); n != 12 {
			t.Errorf("a list without entry hosts is in force: %d hosts", n)
		}
		for _, d := range f.daemons[:10] {
			restarted.Put(d.host)
		}
		time.Sleep(convergenceTime)
		restarted.SetState("e", hostlist.StateLeaving)
		time.Sleep(3 * time.Second)
		for _, d := range f.daemons {
			hosts := d.docs.hostList.Load().Hosts
			if len(hosts) != 11 || hosts[0].State != hostlist.StateLeaving {
				t.Errorf("%s has %d hosts, the endpoint is %s; want 11 hosts and a leaving endpoint", d.host.ID, len(hosts), hosts[0].State)
			}
		}
	})
}

// replaceHosts replaces the host list service. Pending calls fail.
func (f *fleet) replaceHosts(s hostlist.Source) {
	for _, d := range f.daemons {
		d.gate.setBlocked(true)
		d.gate.mu.Lock()
		d.gate.hosts = s
		d.gate.mu.Unlock()
	}
	synctest.Wait()
	for _, d := range f.daemons {
		d.gate.setBlocked(false)
	}
	f.hosts = s
}

// Guards against missing changes because the connection of a pending watch, or of a pending read of the host list, has stalled.
// If the connections of all watchers stall, no daemon would receive the change.
func TestSilentWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.grow(10, 5)
		f.mustPublish("first")
		time.Sleep(2 * convergenceTime)
		for _, d := range f.daemons {
			d.gate.stallConnections()
		}
		n := f.mustPublish("second")
		f.fakeHosts.Put(hostlist.Host{ID: "e", Role: hostlist.RoleEndpoint, State: hostlist.StateLive})
		time.Sleep(3 * time.Second)
		for _, d := range f.daemons {
			if got := d.docs.spec.Config.Revision(); got.Number != n.Number {
				t.Errorf("%s has revision %d, want %d", d.host.ID, got.Number, n.Number)
			}
			if hosts := d.docs.hostList.Load().Hosts; len(hosts) != 11 {
				t.Errorf("%s has %d hosts, want 11", d.host.ID, len(hosts))
			}
		}
	})
}

// Guards against a number of platform calls that grows with the number of daemons. Only two daemons of each failure domain are
// watchers: they repeat their watch every 1.5 s and read the value every 30 s.
func TestPlatformCallsDependOnDomainsOnly(t *testing.T) {
	for _, daemons := range []int{10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stop()
			f.grow(daemons, 5)
			f.mustPublish("first")
			time.Sleep(2 * convergenceTime)
			before := f.store.Faults.Counts()
			time.Sleep(300 * time.Second)
			after := f.store.Faults.Counts()
			const watchers = 2 * 5
			for c, want := range map[memkv.Call]int{memkv.CallWatch: watchers * 200, memkv.CallGet: watchers * 10} {
				if n := after[c] - before[c]; n != want {
					t.Errorf("%d daemons: %d calls of %s in 300 s; want %d", daemons, n, c, want)
				}
			}
		})
	}
}
