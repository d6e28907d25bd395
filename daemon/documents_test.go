package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/peer"
)

// inFleet runs a scenario with 12 daemons in 3 failure domains that have revision 1.
func inFleet(t *testing.T, scenario func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.grow(12, 3)
		if _, err := f.publish("first"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		scenario(t, f)
		for _, v := range f.violations {
			t.Error(v)
		}
	})
}

func (f *fleet) mustPublish(label string) config.Revision {
	f.t.Helper()
	r, err := f.publish(label)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// wantEverywhere waits for a time and checks that each daemon has exactly r.
func (f *fleet) wantEverywhere(within time.Duration, r config.Revision) {
	f.t.Helper()
	time.Sleep(within)
	if l := f.lagging(r); len(l) > 0 {
		f.t.Errorf("revision %d after %v: %v", r.Number, within, l)
	}
}

// Guards against a daemon that waits for the key-value service although a peer has the revision: the service goes down
// right after a publication, and a daemon starts during the outage, also when the host list is down too.
func TestRevisionSpreadsDuringOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.cut(map[string]bool{"d1": true, "d2": true}, nil) // only d0 sees the publication itself
		r := f.mustPublish("second")
		synctest.Wait()
		f.store.Faults.SetDown(true)
		f.wantEverywhere(3*time.Second, r)
		late := f.start("late", "d1")
		f.list.Put(late.host)
		f.wantEverywhere(3*time.Second, r)
		f.list.SetDown(true)
		f.start("seeded", "d2", "host-0")
		blind := f.start("blind", "d2")
		time.Sleep(3 * time.Second)
		if l := f.lagging(r); len(l) != 1 || blind.docs.spec.Config.View() != nil {
			t.Errorf("%v; want only the daemon without seeds to wait for the host list", l)
		}
		f.list.SetDown(false)
		f.wantEverywhere(3*time.Second, r)
	})
}

// Guards against a failure domain that is cut off from the platform but not from its peers and misses a change, and
// against one cut off from both that goes back or does not catch up.
func TestCutOffDomainCatchesUp(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.cut(map[string]bool{"d1": true}, nil)
		f.wantEverywhere(3*time.Second, f.mustPublish("second"))
		f.list.Put(hostlist.Host{ID: "endpoint", Role: hostlist.RoleEndpoint, State: hostlist.StateLeaving})
		time.Sleep(3 * time.Second)
		for _, p := range f.parts {
			if h := p.docs.list.Load().Hosts; h[0].ID != "endpoint" || h[0].State != hostlist.StateLeaving {
				t.Errorf("%s does not know that the endpoint is leaving", p.host.ID)
			}
		}
		f.cut(map[string]bool{"d1": true}, map[string]bool{"d1": true})
		third := f.mustPublish("third")
		time.Sleep(settleTime)
		if l := f.lagging(third); len(l) != 4 {
			t.Errorf("%v; want the 4 daemons of the domain that is cut off", l)
		}
		f.heal()
		f.wantEverywhere(settleTime, third)
	})
}

// Guards against a service that comes back with older data, or without any, and takes daemons back with it, and against an
// operator's revision that is lost without a trace because it was published on top of the older data.
func TestServiceWithOlderData(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		older := f.store.Snapshot()
		f.mustPublish("second")
		third := f.mustPublish("third")
		time.Sleep(settleTime)
		f.store.Faults.SetDown(true)
		f.store.Restore(older)
		f.store.Faults.SetDown(false)
		conflicting := f.mustPublish("conflicting") // number 2 again
		f.wantEverywhere(settleTime, third)
		if s := f.stored(); s.Digest != third.Digest {
			t.Errorf("revision %d is stored; want %d", s.Number, third.Number)
		}
		if _, err := f.store.Get(context.Background(), config.ReplacedKey(conflicting)); err != nil {
			t.Errorf("the replaced revision is not kept: %v", err)
		}
		// Both sides have number 4: the same one must win everywhere, and in the service.
		older = f.store.Snapshot()
		mine := f.mustPublish("mine")
		time.Sleep(settleTime)
		f.store.Faults.SetDown(true)
		f.store.Restore(older)
		f.store.Faults.SetDown(false)
		theirs := f.mustPublish("theirs")
		winner := mine
		if theirs.Newer(mine) {
			winner = theirs
		}
		f.wantEverywhere(settleTime, winner)
		f.store.Restore(memkv.New().Snapshot()) // all data lost
		time.Sleep(2 * settleTime)
		if s := f.stored(); s.Digest != winner.Digest {
			t.Errorf("revision %d is stored after the service lost everything; want %d", s.Number, winner.Number)
		}
	})
}

// Guards against a restored service that has passed the watch position again with other writes, so that a watch from that
// position shows nothing.
func TestWatchPositionPassedAgain(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		older := f.store.Snapshot()
		second := f.mustPublish("second")
		time.Sleep(settleTime)
		f.store.Faults.SetDown(true)
		f.store.Restore(older)
		f.store.Faults.SetDown(false)
		for _, key := range []string{"a", "b", "c"} {
			if _, err := f.store.CAS(context.Background(), key, nil, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * settleTime)
		if s := f.stored(); s.Digest != second.Digest {
			t.Errorf("revision %d is stored; want %d written back", s.Number, second.Number)
		}
	})
}

// Guards against a set that does not pass the check: it is refused whole, the one in force stays, and the next valid one
// is taken.
func TestInvalidStoredSetIsRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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
		f.wantEverywhere(settleTime, first)
		f.wantEverywhere(3*time.Second, f.mustPublish("third"))
		forged := revision(t, 4, "forged")
		doc := peer.Document{DocumentID: peer.DocumentID{Name: docConfig, Number: 9, Digest: forged.Digest}}
		if doc.Body, err = forged.Marshal(); err != nil {
			t.Fatal(err)
		}
		if f.parts[0].node.Offer(doc) == nil {
			t.Error("a document with another revision's number was accepted")
		}
	})
}

// Guards against a host list that has started anew with lower revisions and is ignored for good, and against an empty one
// that removes every endpoint.
func TestHostListStartsAnew(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		anew := hostlist.NewFake()
		anew.Put(hostlist.Host{ID: "e", Role: hostlist.RoleEndpoint, State: hostlist.StateLive})
		f.replaceHosts(anew)
		time.Sleep(2 * settleTime)
		if n := len(f.parts[0].docs.list.Load().Hosts); n != 12 {
			t.Errorf("a list without entry hosts is in force: %d hosts", n)
		}
		for _, p := range f.parts[:10] {
			anew.Put(p.host)
		}
		time.Sleep(settleTime)
		anew.SetState("e", hostlist.StateLeaving)
		time.Sleep(3 * time.Second)
		for _, p := range f.parts {
			hosts := p.docs.list.Load().Hosts
			if len(hosts) != 11 || hosts[0].State != hostlist.StateLeaving {
				t.Errorf("%s has %d hosts, the endpoint is %s", p.host.ID, len(hosts), hosts[0].State)
			}
		}
	})
}

// replaceHosts replaces the host list service; pending calls end.
func (f *fleet) replaceHosts(s hostlist.Source) {
	for _, p := range f.parts {
		p.gate.set(true)
		p.gate.mu.Lock()
		p.gate.hosts = s
		p.gate.mu.Unlock()
	}
	synctest.Wait()
	for _, p := range f.parts {
		p.gate.set(false)
	}
	f.hosts = s
}

// Guards against a pending watch, or a pending read of the host list, whose connection goes silent: its daemon would learn of
// no change, and if the connections of all watchers do, no daemon would.
func TestSilentWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.grow(10, 5)
		f.mustPublish("first")
		time.Sleep(2 * settleTime)
		for _, p := range f.parts {
			p.gate.silence()
		}
		n := f.mustPublish("second")
		f.list.Put(hostlist.Host{ID: "e", Role: hostlist.RoleEndpoint, State: hostlist.StateLive})
		time.Sleep(3 * time.Second)
		for _, p := range f.parts {
			if got := p.docs.spec.Config.Revision(); got.Number != n.Number {
				t.Errorf("%s has revision %d, want %d", p.host.ID, got.Number, n.Number)
			}
			if hosts := p.docs.list.Load().Hosts; len(hosts) != 11 {
				t.Errorf("%s has %d hosts, want 11", p.host.ID, len(hosts))
			}
		}
	})
}

// Guards against a number of calls to the platform that grows with the number of daemons: two daemons of each failure
// domain have a pending watch, which they make anew each 1.5 s, and read the value once each 30 s.
func TestPlatformCallsDependOnDomainsOnly(t *testing.T) {
	for _, daemons := range []int{10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stop()
			f.grow(daemons, 5)
			f.mustPublish("first")
			time.Sleep(2 * settleTime)
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
