package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
)

// Guards against a daemon that starts after a restore with content older than that of its peers, or waits for peers that don't answer.
func TestMinimumDecision(t *testing.T) {
	first := kv.Revision{Era: 1, Number: 50}
	serving := func(name string, version, era uint64, unsettled time.Duration) notice.Minimum {
		return notice.Minimum{From: name, Answered: true, Serving: true, Config: version, Revision: kv.Revision{Era: era, Number: 70}, Unsettled: unsettled}
	}
	starting := func(name string) notice.Minimum { return notice.Minimum{From: name, Answered: true} }
	for name, c := range map[string]struct {
		peers   int
		answers []notice.Minimum
		after   time.Duration
		want    string
	}{
		"no answer yet":             {2, nil, minimumWait - 1, minimumAsking},
		"no answer":                 {2, nil, minimumWait, ""},
		"one lost":                  {2, []notice.Minimum{serving("a", 4, 1, 0)}, minimumWait - 1, minimumAsking},
		"one lost, the other newer": {2, []notice.Minimum{serving("a", 5, 1, 0)}, time.Hour, minimumOlder},
		"all are starting":          {370, []notice.Minimum{starting("a"), starting("b"), starting("c")}, 0, ""},
		"highest version wins":      {3, []notice.Minimum{serving("a", 4, 1, 0), serving("b", 5, 1, 0), starting("c")}, time.Hour, minimumOlder},
		"a peer serves an older":    {3, []notice.Minimum{serving("a", 4, 1, 0), serving("b", 3, 1, 0), starting("c")}, 0, ""},
		"peer in a newer era":       {1, []notice.Minimum{serving("a", 4, 2, 0)}, time.Hour, minimumOldEra},
		"peer holds entries":        {1, []notice.Minimum{serving("a", 4, 1, time.Second)}, time.Second - 1, minimumUnsettle},
		"peer held entries":         {1, []notice.Minimum{serving("a", 4, 1, time.Second)}, time.Second, ""},
		"peer in the old era":       {1, []notice.Minimum{serving("a", 4, 0, 0)}, restoreSettle - 1, minimumUnsettle},
		"peer was in the old era":   {1, []notice.Minimum{serving("a", 4, 0, 0)}, restoreSettle, ""},
	} {
		now := time.Now()
		s := minimumState{askedAt: now, peers: c.peers, answers: map[string]notice.Minimum{}}
		for _, a := range c.answers {
			s.add(a, first, now)
		}
		if _, reason := s.check(4, first, now.Add(c.after)); reason != c.want {
			t.Errorf("%s: %q, want %q", name, reason, c.want)
		}
	}
}

// startingFleet runs daemons that start with a store in era 1 with configuration 4. The last one serves configuration 5 if serving is set,
// and gets messages only after a time.
func startingFleet(t *testing.T, daemons int, serving bool, silent time.Duration, check func(t *testing.T, list []*Gateway, store *memkv.Store)) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		write(t, store, configKey, "4")
		network := &datagramNet{conns: map[string]*datagramConn{}}
		var list []*Gateway
		var conns []*datagramConn
		for i := range daemons {
			g := testGateway(&meteredStore{Store: store})
			g.config = &config.Holder{}
			g.spec.Documents, g.spec.Name, g.spec.Propagation = orderDocuments{}, fmt.Sprintf("d%03d", i), time.Second
			conns = append(conns, network.listen(i))
			g.spec.PeerAddr = conns[i].addr.String()
			g.exchange.Store(notice.New(conns[i], g.exchangeSpec()))
			write(t, store, memberPrefix+g.spec.Name, string(g.memberValue()))
			list = append(list, g)
			defer func() { g.cancel(); g.exchange.Load().Close() }()
		}
		last := daemons - 1
		if silent > 0 {
			addr := conns[last].addr.String()
			delete(network.conns, addr)
			time.AfterFunc(silent, func() {
				network.mu.Lock()
				defer network.mu.Unlock()
				network.conns[addr] = conns[last]
			})
		}
		backup := store.Snapshot()
		if serving {
			write(t, store, configKey, "5")
			go list[last].view.run()
			time.Sleep(time.Second)
		}
		store.RestoreInNewEra(backup)
		for i, g := range list {
			if !serving || i < last {
				go g.view.run()
			}
		}
		check(t, list, store)
	})
}

// Guards against daemons that become ready late because all of them start at once, and have nobody who knows more.
func TestAllDaemonsStartAtOnce(t *testing.T) {
	startingFleet(t, 40, false, 0, func(t *testing.T, list []*Gateway, _ *memkv.Store) {
		time.Sleep(20 * time.Millisecond)
		for _, g := range list {
			if !g.Ready() {
				t.Errorf("daemon %s is not ready", g.spec.Name)
			}
		}
	})
}

// Guards against a daemon that serves an older configuration because the first questions were lost, or that is not ready in time later.
func TestLostQuestionIsRepeated(t *testing.T) {
	startingFleet(t, 2, true, time.Second+400*time.Millisecond, func(t *testing.T, list []*Gateway, store *memkv.Store) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if list[0].Ready() {
				t.Fatal("ready with an older configuration")
			}
		}
		write(t, store, configKey, "6")
		time.Sleep(time.Second)
		if n := list[0].config.Revision().Number; n != 6 || !list[0].Ready() {
			t.Errorf("configuration %d, ready %t, after the operators wrote version 6", n, list[0].Ready())
		}
	})
}
