package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

const (
	testSettle  = 3 * time.Second
	testService = "llm"
)

func testView(lim object.EndpointLimits, largest int64, domains int) *config.View {
	v := &config.View{
		Services: map[string]*object.Service{testService: {Name: testService, Type: object.ServiceModel, Limits: lim}},
		Teams:    map[string]*object.Team{"t": {Limits: object.TeamLimits{MaxTokens: largest}}},
		Domains:  map[string]*object.FailureDomain{},
	}
	for i := range domains {
		name := fmt.Sprintf("d%d", i)
		v.Domains[name] = &object.FailureDomain{Name: name, State: object.DomainIn}
	}
	return v
}

func entryHost(i, domains int) hostlist.Host {
	return hostlist.Host{ID: fmt.Sprintf("entry-%d", i), Role: hostlist.RoleEntry, State: hostlist.StateLive, Domain: fmt.Sprintf("d%d", i%domains)}
}

func endpointHost(i, domains, versions int) hostlist.Host {
	return hostlist.Host{
		ID: fmt.Sprintf("llm-%d", i), Role: hostlist.RoleEndpoint, State: hostlist.StateLive, Addr: fmt.Sprint("addr-", i),
		Domain: fmt.Sprintf("d%d", i%domains), Service: testService, Versions: []string{fmt.Sprintf("v%d", i%versions)},
	}
}

func newTestPool(self string, seed uint64) *Pool {
	return New(Spec{Self: self, Domain: "d0", Settle: testSettle, Rand: rand.New(rand.NewPCG(seed, 1)).Uint64})
}

// fleet is a set of daemons that see changes of membership and limits at different times.
type fleet struct {
	now         time.Time
	view        *config.View
	domains     int
	daemons     []*testDaemon
	endpoints   []hostlist.Host
	joined      []bool                // members in the host list
	lastChanges [][2]time.Time        // times of the last two changes of each member
	maxLimits   object.EndpointLimits // maximum of the limits that any daemon applies
	pending     []*membershipChange
}

type testDaemon struct {
	pool     *Pool
	present  []bool // membership as seen by this daemon
	lastSeen []int  // serial of the newest change of each member that this daemon saw
}

// membershipChange is a change of one daemon's membership that another daemon sees within the settle time.
type membershipChange struct {
	at       time.Time
	observer int // index of the daemon that sees it
	member   int
	present  bool
	serial   int
}

func (f *fleet) host(i int) hostlist.Host { return entryHost(i, f.domains) }

func (f *fleet) setHosts(d *testDaemon) {
	var list hostlist.List
	for i, in := range d.present {
		if in {
			list.Hosts = append(list.Hosts, f.host(i))
		}
	}
	list.Hosts = append(list.Hosts, f.endpoints...)
	d.pool.SetHosts(list, f.now)
}

// toggle adds or removes a member. Each daemon sees the change at a random time within the settle time, independently
// of other changes. Changes of different members are thus seen in different orders, and some states of the list are
// never seen.
func (f *fleet) toggle(t *rapid.T, member, serial int) {
	f.joined[member] = !f.joined[member]
	f.lastChanges[member] = [2]time.Time{f.lastChanges[member][1], f.now}
	for i := range f.daemons {
		delay := time.Duration(rapid.IntRange(0, int(testSettle/time.Millisecond)-1).Draw(t, "delay")) * time.Millisecond
		f.pending = append(f.pending, &membershipChange{f.now.Add(delay), i, member, f.joined[member], serial})
	}
}

func (f *fleet) deliverChanges() {
	f.pending = slices.DeleteFunc(f.pending, func(e *membershipChange) bool {
		if e.at.After(f.now) {
			return false
		}
		d := f.daemons[e.observer]
		if e.serial > d.lastSeen[e.member] {
			d.lastSeen[e.member] = e.serial
			d.present[e.member] = e.present
			f.setHosts(d)
		}
		return true
	})
}

// checkShares fails if the shares of all daemons exceed the limits of an endpoint, cold or warm.
func (f *fleet) checkShares(t *rapid.T) {
	for _, h := range f.endpoints {
		var cold, warm, tokens int64
		for _, d := range f.daemons {
			tab := d.pool.table.Load()
			e := tab.byID[h.ID]
			if e == nil {
				continue
			}
			r := tab.rules[testService]
			e.confirmedAt = time.Time{}
			cold += e.slotShare(r, f.now)
			e.confirmedAt, e.completed = f.now, int64(r.limits.WarmAfter)
			warm += e.slotShare(r, f.now)
			tokens += e.tokenShare(r, f.now)
		}
		if cold > int64(f.maxLimits.ColdSlots) || warm > int64(f.maxLimits.Slots) || tokens > f.maxLimits.Tokens {
			t.Fatalf("%s: shares add up to %d cold slots, %d slots and %d tokens; limits %+v", h.ID, cold, warm, tokens, f.maxLimits)
		}
	}
}

// Guards against shares that add up to more than an endpoint's limit while daemons join and leave and each daemon sees
// the changes at a different time and in a different order.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		lim := object.EndpointLimits{Slots: slots, ColdSlots: rapid.IntRange(1, slots).Draw(t, "cold"), Tokens: rapid.Int64Range(1, 5000).Draw(t, "tokens"), WarmAfter: 4}
		f := &fleet{now: time.Unix(1e9, 0), domains: rapid.IntRange(1, 4).Draw(t, "domains"), maxLimits: lim, joined: make([]bool, n), lastChanges: make([][2]time.Time, n)}
		f.view = testView(lim, rapid.Int64Range(1, 6000).Draw(t, "largest"), f.domains)
		for i := range rapid.IntRange(1, 3).Draw(t, "endpoints") {
			f.endpoints = append(f.endpoints, endpointHost(i, f.domains, 1))
		}
		for i := range n {
			d := &testDaemon{newTestPool(f.host(i).ID, uint64(i)), make([]bool, n), make([]int, n)}
			d.pool.SetView(f.view, f.now)
			f.daemons = append(f.daemons, d)
		}
		for serial := 1; serial <= 25; serial++ {
			m := rapid.IntRange(0, n-1).Draw(t, "member")
			// A member must not change three times within this period; see departedSettleTimes.
			if f.now.Sub(f.lastChanges[m][0]) > departedSettleTimes*testSettle {
				f.toggle(t, m, serial)
			}
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "step")) * time.Millisecond)
				f.deliverChanges()
				f.checkShares(t)
			}
		}
	})
}

// Guards against exceeded limits, and against token shares that never recover, when a published change of the limits
// reaches the daemons at different times.
func TestSharesDuringChangeOfLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) object.EndpointLimits {
			s := rapid.IntRange(1, 64).Draw(t, name+" slots")
			return object.EndpointLimits{Slots: s, ColdSlots: rapid.IntRange(1, s).Draw(t, name+" cold"), Tokens: rapid.Int64Range(1, 5000).Draw(t, name+" tokens"), WarmAfter: 4}
		}
		older, newer := draw("older"), draw("newer")
		n := rapid.IntRange(1, 20).Draw(t, "daemons")
		f := &fleet{now: time.Unix(1e9, 0), domains: 3, endpoints: []hostlist.Host{endpointHost(0, 3, 1)}}
		for i := range n {
			d := &testDaemon{pool: newTestPool(f.host(i).ID, uint64(i)), present: make([]bool, n)}
			for j := range n {
				d.present[j] = true
			}
			d.pool.SetView(testView(older, 100, 3), f.now)
			f.setHosts(d)
			f.daemons = append(f.daemons, d)
		}
		f.maxLimits = object.EndpointLimits{Slots: max(older.Slots, newer.Slots), ColdSlots: max(older.ColdSlots, newer.ColdSlots), Tokens: max(older.Tokens, newer.Tokens)}
		start := f.now
		at := make([]time.Duration, n)
		for i := range at {
			at[i] = time.Duration(rapid.IntRange(0, int(oldLimitsTTL/time.Second)-1).Draw(t, "at")) * time.Second
		}
		for s := range 2*int(oldLimitsTTL/time.Second) + 1 {
			f.now = start.Add(time.Duration(s) * time.Second)
			for i, d := range f.daemons {
				if at[i] == time.Duration(s)*time.Second {
					d.pool.SetView(testView(newer, 200, 3), f.now)
				}
			}
			f.checkShares(t)
		}
		f.maxLimits = newer
		f.checkShares(t)
	})
}

// Guards against slots that belong to no daemon once the membership has settled, and against a partitioned failure
// domain without a share of its own endpoints.
func TestSettledSharesLeaveNoSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		n := rapid.IntRange(domains, 40).Draw(t, "daemons")
		h := endpointHost(rapid.IntRange(0, 1000).Draw(t, "endpoint"), domains, 1)
		var m members
		m.departed = map[string]departedDaemon{}
		var hosts []hostlist.Host
		for i := range n {
			hosts = append(hosts, entryHost(i, domains))
		}
		m.update(hosts, time.Unix(1e9, 0))
		for _, limit := range []int64{int64(slots), 1} {
			var sum, local int64
			for _, d := range hosts {
				s := assignmentFor(d.ID, h, m.listed).share(limit, slots)
				sum += s
				if d.Domain == h.Domain {
					local += s
				}
			}
			if sum != limit || local == 0 {
				t.Fatalf("limit %d: shares add up to %d, %d of them in the endpoint's domain", limit, sum, local)
			}
		}
	})
}

// Guards against a number of endpoints per daemon that grows with the fleet, and against daemons without an endpoint of
// a version. The fleet has its target size with 128 slots: 1.6 million tokens per second at 61 ms between tokens are
// 116 streams per replica.
func TestEndpointsPerDaemonAtTarget(t *testing.T) {
	const daemons, replicas, versions, domains, slots = 370, 840, 18, 5, 128
	var m members
	m.departed = map[string]departedDaemon{}
	var hosts []hostlist.Host
	for i := range daemons {
		hosts = append(hosts, entryHost(i, domains))
	}
	m.update(hosts, time.Unix(1e9, 0))
	total := make([]int, daemons)
	byVersion := make([][versions]int, daemons)
	for r := range replicas {
		h := endpointHost(r, domains, versions)
		for d := range daemons {
			if assignmentFor(hosts[d].ID, h, m.listed).hasShare(slots) {
				total[d]++
				byVersion[d][r%versions]++
			}
		}
	}
	missing := 0
	var counts []int
	for d := range byVersion {
		for _, n := range byVersion[d] {
			counts = append(counts, n)
			if n == 0 {
				missing++
			}
		}
	}
	slices.Sort(total)
	slices.Sort(counts)
	t.Logf("endpoints per daemon: min %d, median %d, max %d; per daemon and version: min %d, 1%% %d, median %d, max %d; without any %d of %d",
		total[0], total[daemons/2], total[daemons-1], counts[0], counts[len(counts)/100], counts[len(counts)/2], counts[len(counts)-1], missing, len(counts))
	// At most slots/minShare daemons share an endpoint, so a daemon has replicas*slots/minShare/daemons on average.
	if bound := 2 * replicas * (slots / minShare) / daemons; total[daemons-1] > bound {
		t.Errorf("a daemon has %d endpoints; want at most %d", total[daemons-1], bound)
	}
}

// Guards against work beyond the cold limit at an endpoint that restarted without notice. One second after the last
// sign of life of the old process, all daemons together may use only the cold slots, even if old reports arrive late.
func TestColdAgainWithoutNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		lim := object.EndpointLimits{Slots: 24, ColdSlots: 5, WarmAfter: 4}
		start := time.Unix(1e9, 0)
		f := &fleet{now: start, domains: 2, endpoints: []hostlist.Host{endpointHost(0, 2, 1)}}
		for i := range n {
			d := &testDaemon{pool: newTestPool(f.host(i).ID, uint64(i)), present: []bool{true, true, true, true, true, true}}
			d.pool.SetView(testView(lim, 1, 2), f.now)
			f.setHosts(d)
			f.daemons = append(f.daemons, d)
		}
		restart := start.Add(10 * time.Second)
		for range 40 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "step")) * time.Millisecond)
			d := f.daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			asked := f.now.Add(-time.Duration(rapid.IntRange(0, 1900).Draw(t, "age")) * time.Millisecond)
			if asked.Before(restart) { // answered by the old process and read late
				d.pool.RecordLoad("llm-0", engine.Load{Boot: "a", Completed: 100}, asked)
			} else {
				d.pool.RecordLoad("llm-0", engine.Load{Boot: "b"}, asked)
			}
			if !f.now.After(restart.Add(confirmationTTL)) {
				continue
			}
			var sum int64
			for _, d := range f.daemons {
				tab := d.pool.table.Load()
				sum += tab.byID["llm-0"].slotShare(tab.rules[testService], f.now)
			}
			if sum > int64(lim.ColdSlots) {
				t.Fatalf("%v after the restart, shares add up to %d; the endpoint has %d cold slots", f.now.Sub(restart), sum, lim.ColdSlots)
			}
		}
	})
}
