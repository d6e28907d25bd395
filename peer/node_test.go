package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
	"github.com/bramleytrail/bramleytrail/standin"
)

// handler accepts documents except those with the body "bad".
type handler struct {
	mu      sync.Mutex
	offered []peer.DocumentID
}

func (h *handler) OfferDocument(d peer.Document) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offered = append(h.offered, d.DocumentID)
	if string(d.Body) == "bad" {
		return errors.New("set has findings")
	}
	return nil
}

func (h *handler) KeepBills(ledger.Copy) (string, error) { return "", nil }

func (h *handler) TakeEvidence(rollout.Evidence) error { return nil }

func (h *handler) TakeAnswers(quality.Report) error { return nil }

// group is a set of nodes on a network in memory.
type group struct {
	net      *standin.MemNet
	hosts    []hostlist.Host
	nodes    []*peer.Node
	handlers []*handler
	tables   []*poison.Table
}

func newGroup(t *testing.T, daemons, domains int) *group {
	g := &group{net: standin.NewMemNet()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range daemons {
		id := fmt.Sprintf("host-%d", i)
		h := hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEntry, Domain: fmt.Sprintf("domain-%d", i%domains), State: hostlist.StateLive}
		hd := &handler{}
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		table := poison.NewTable()
		n, err := peer.New(peer.Spec{
			Self: h, Handler: hd, Poison: table, Log: log, Now: time.Now, Rand: rng.Int64N, Dial: g.net.Dial(id),
		}, g.net.Listen(id))
		if err != nil {
			t.Fatal(err)
		}
		g.hosts, g.nodes, g.handlers = append(g.hosts, h), append(g.nodes, n), append(g.handlers, hd)
		g.tables = append(g.tables, table)
	}
	for _, n := range g.nodes {
		n.Start()
		n.SetHosts(g.hosts)
	}
	return g
}

func (g *group) close() {
	for _, n := range g.nodes {
		n.Close()
	}
	time.Sleep(time.Second) // lets dials in progress end
}

func (g *group) having(number uint64) int {
	count := 0
	for _, n := range g.nodes {
		if d, ok := n.Document("config"); ok && d.Number == number {
			count++
		}
	}
	return count
}

func (g *group) traffic() (sum standin.Traffic) {
	for _, h := range g.hosts {
		t := g.net.Traffic(h.Addr)
		sum.Messages, sum.Bytes = sum.Messages+t.Messages, sum.Bytes+t.Bytes
	}
	return sum
}

func document(number uint64, body string) peer.Document {
	return peer.Document{DocumentID: peer.DocumentID{Name: "config", Number: number, Digest: fmt.Sprintf("%064d", number)}, Body: []byte(body)}
}

func offer(t *testing.T, n *peer.Node, d peer.Document) {
	t.Helper()
	if err := n.Offer(d); err != nil {
		t.Fatal(err)
	}
}

// Guards against a cost of the exchange that grows with the number of daemons, and against more than two watchers in a
// failure domain. A daemon starts about one exchange a second, which is one message from it and one reply from its peer.
func TestExchangeCostIsFlat(t *testing.T) {
	const seconds = 120
	for _, daemons := range []int{5, 10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, daemons, 5)
			defer g.close()
			offer(t, g.nodes[0], document(1, "one"))
			time.Sleep(20 * time.Second)
			before := g.traffic()
			time.Sleep(seconds * time.Second)
			after := g.traffic()
			messages := float64(after.Messages-before.Messages) / seconds / float64(daemons)
			bytes := (after.Bytes - before.Bytes) / seconds / daemons
			t.Logf("%d daemons: %.2f messages and %d bytes a second from each", daemons, messages, bytes)
			// Two messages an exchange; the interval has a jitter of a fifth, and types are described once a connection.
			if messages < 1.6 || messages > 2.5 {
				t.Errorf("%d daemons: %.2f messages a second from each; want about 2", daemons, messages)
			}
			const budget = 5000 // bytes a second, from the scale target
			if bytes > budget {
				t.Errorf("%d daemons: %d bytes a second from each; the budget is %d", daemons, bytes, budget)
			}
			watching := 0
			for _, n := range g.nodes {
				if n.Watching() {
					watching++
				}
			}
			if want := min(daemons, 2*5); watching != want {
				t.Errorf("%d daemons: %d watch; want %d", daemons, watching, want)
			}
		})
	}
}

// Guards against a document that passes no check and is fetched again and again, or keeps a later one from being taken.
func TestRejectedDocumentDoesNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, 1)
		defer g.close()
		g.nodes[0].Close()
		// A peer with another check accepts and offers what the others refuse.
		lax := laxNode(t, g)
		defer lax.Close()
		lax.SetHosts(g.hosts)
		offer(t, lax, document(5, "bad"))
		time.Sleep(20 * time.Second)
		if n := g.handlers[1].count(5); n != 1 {
			t.Errorf("the rejected document was offered %d times; want once", n)
		}
		offer(t, lax, document(6, "good"))
		time.Sleep(2 * time.Second)
		if d, _ := g.nodes[1].Document("config"); d.Number != 6 {
			t.Errorf("document %d in force; want 6", d.Number)
		}
	})
}

type laxHandler struct{ handler }

func (*laxHandler) OfferDocument(peer.Document) error { return nil }

func laxNode(t *testing.T, g *group) *peer.Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := g.hosts[0]
	n, err := peer.New(peer.Spec{Self: h, Handler: &laxHandler{}, Poison: poison.NewTable(), Log: log, Now: time.Now, Dial: g.net.Dial(h.Addr)}, g.net.Listen(h.Addr))
	if err != nil {
		t.Fatal(err)
	}
	n.Start()
	return n
}

func (h *handler) count(number uint64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, id := range h.offered {
		if id.Number == number {
			n++
		}
	}
	return n
}

// Guards against a change that waits for a connection that has gone silent while new ones work. Every connection that is
// open when the change is made is silent for good.
func TestSilentConnectionsDelayAChangeByLessThan3s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 30, 3)
		defer g.close()
		offer(t, g.nodes[0], document(1, "one"))
		time.Sleep(20 * time.Second)
		g.net.Silence()
		offer(t, g.nodes[0], document(2, "two"))
		time.Sleep(3 * time.Second)
		if n := g.having(2); n != len(g.nodes) {
			t.Errorf("%d of %d daemons have the change after 3 s", n, len(g.nodes))
		}
	})
}

// Guards against a failure domain without a watcher while the host list still shows its dead or paused watchers as live,
// and against more than two at the end.
func TestSilentWatchersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, 1)
		defer g.close()
		time.Sleep(20 * time.Second)
		paused := map[string]bool{}
		for round := range 3 {
			paused = maps.Clone(paused) // the mode set before still reads the other one
			for i, n := range g.nodes {
				if n.Watching() {
					paused[g.hosts[i].Addr] = true
				}
			}
			frozen := paused
			g.net.SetMode(func(from, to string) standin.Link {
				if frozen[from] || frozen[to] {
					return standin.Freeze
				}
				return standin.Pass
			})
			time.Sleep(20 * time.Second)
			if n := g.watching(paused); n != 2 {
				t.Errorf("round %d: %d of the running daemons watch; want 2", round, n)
			}
		}
		g.net.SetMode(func(_, _ string) standin.Link { return standin.Pass })
		time.Sleep(30 * time.Second)
		if n := g.watching(nil); n != 2 {
			t.Errorf("%d daemons watch after all have woken up; want 2", n)
		}
	})
}

func (g *group) watching(except map[string]bool) int {
	count := 0
	for i, n := range g.nodes {
		if !except[g.hosts[i].Addr] && n.Watching() {
			count++
		}
	}
	return count
}

// Guards against a dial to a host that does not answer that blocks the choice of peers and calls to others.
func TestDialDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := standin.NewMemNet()
		hung := make(chan struct{})
		var once sync.Once
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "hung" {
				once.Do(func() { close(hung) })
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return mem.Dial("a")(ctx, addr)
		}
		self := hostlist.Host{ID: "a", Addr: "a", Domain: "d", Role: hostlist.RoleEntry, State: hostlist.StateLive}
		n, err := peer.New(peer.Spec{Self: self, Handler: &handler{}, Poison: poison.NewTable(), Log: logrus.New(), Now: time.Now, Dial: dial}, mem.Listen("a"))
		if err != nil {
			t.Fatal(err)
		}
		n.Start()
		defer time.Sleep(time.Second) // lets the dial end
		defer n.Close()
		n.SetHosts([]hostlist.Host{self, {ID: "hung", Addr: "hung", Domain: "d", Role: hostlist.RoleEntry, State: hostlist.StateLive}})
		<-hung
		start := time.Now()
		n.Peers()
		if waited := time.Since(start); waited != 0 {
			t.Errorf("the choice of peers waited %v for a dial", waited)
		}
	})
}

// Guards against a request that crashes no endpoint but was present at three crashes, and is refused at daemons other than
// the one at which it got further; also if the records meet connections that have gone silent.
func TestClearedRequestIsKnownToAll(t *testing.T) {
	const fingerprint = 1
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 5, 1)
			defer g.close()
			time.Sleep(20 * time.Second)
			for i := range poison.MaxCrashes {
				g.nodes[0].ReportCrash(poison.Record{Fingerprint: fingerprint, Crash: fmt.Sprintf("endpoint/%d", i)})
			}
			time.Sleep(time.Second)
			if !g.tables[1].Refused(fingerprint, time.Now()) {
				t.Fatal("the crashes are not known")
			}
			if silent {
				g.net.Silence()
			}
			g.nodes[0].ReportCleared(g.tables[0].Clear(fingerprint, time.Now()))
			time.Sleep(20 * time.Second)
			for i, table := range g.tables {
				if table.Refused(fingerprint, time.Now()) {
					t.Errorf("silent %t: daemon %d refuses the request", silent, i)
				}
			}
		})
	}
}

// Guards against a report of a crash that returns before the peers have the record, so that a repeat of the request through
// a nearby daemon crashes one more endpoint, and against one that waits more than 200 ms for peers that are silent.
func TestCrashIsKnownWhenItsReportReturns(t *testing.T) {
	const longest = 200 * time.Millisecond
	for _, silent := range []time.Duration{longest / 2, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 5, 1)
			defer g.close()
			time.Sleep(20 * time.Second)
			g.net.SetMode(func(_, _ string) standin.Link { return standin.Freeze })
			time.AfterFunc(silent, func() { g.net.SetMode(func(_, _ string) standin.Link { return standin.Pass }) })
			start := time.Now()
			g.nodes[0].ReportCrash(poison.Record{Fingerprint: 1, Crash: "endpoint/boot"})
			if took := time.Since(start); took != min(silent, longest) {
				t.Errorf("the report took %s with peers that are silent for %s", took, silent)
			}
			peers := g.nodes[0].Peers()
			for i, h := range g.hosts {
				if known := g.tables[i].Crashes(1, time.Now()) == 1; slices.Contains(peers, h.Addr) && known != (silent < longest) {
					t.Errorf("after %s of silence, %s knows of the crash: %t", silent, h.ID, known)
				}
			}
			time.Sleep(silent)
		})
	}
}
