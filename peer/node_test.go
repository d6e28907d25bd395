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

// handler is a peer.Handler that records the documents offered to it and accepts them, except those with the body
// "bad".
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

// cluster is a set of nodes on an in-memory network.
type cluster struct {
	net      *standin.MemNet
	hosts    []hostlist.Host
	nodes    []*peer.Node
	handlers []*handler
	tables   []*poison.Table
}

// newCluster starts nodes that are spread evenly over the failure domains and know each other.
func newCluster(t *testing.T, daemons, domains int) *cluster {
	c := &cluster{net: standin.NewMemNet()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range daemons {
		id := fmt.Sprintf("host-%d", i)
		h := hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEntry, Domain: fmt.Sprintf("domain-%d", i%domains), State: hostlist.StateLive}
		hd := &handler{}
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		table := poison.NewTable()
		n, err := peer.New(peer.Spec{
			Self: h, Handler: hd, Poison: table, Log: log, Now: time.Now, Rand: rng.Int64N, Dial: c.net.DialerFrom(id),
		}, c.net.Listen(id))
		if err != nil {
			t.Fatal(err)
		}
		c.hosts, c.nodes, c.handlers = append(c.hosts, h), append(c.nodes, n), append(c.handlers, hd)
		c.tables = append(c.tables, table)
	}
	for _, n := range c.nodes {
		n.Start()
		n.SetHosts(c.hosts)
	}
	return c
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Close()
	}
	time.Sleep(time.Second) // dials in progress must end within the synctest bubble
}

// countWithNumber returns the number of nodes that have the given version of the configuration.
func (c *cluster) countWithNumber(number uint64) int {
	count := 0
	for _, n := range c.nodes {
		if d, ok := n.Document("config"); ok && d.Number == number {
			count++
		}
	}
	return count
}

// traffic returns the sum of what all nodes have sent.
func (c *cluster) traffic() (sum standin.Traffic) {
	for _, h := range c.hosts {
		t := c.net.Traffic(h.Addr)
		sum.Messages, sum.Bytes = sum.Messages+t.Messages, sum.Bytes+t.Bytes
	}
	return sum
}

// document returns a version of the configuration.
func document(number uint64, body string) peer.Document {
	return peer.Document{DocumentID: peer.DocumentID{Name: "config", Number: number, Digest: fmt.Sprintf("%064d", number)}, Body: []byte(body)}
}

// offer offers a document to a node, which must accept it.
func offer(t *testing.T, n *peer.Node, d peer.Document) {
	t.Helper()
	if err := n.Offer(d); err != nil {
		t.Fatal(err)
	}
}

// Guards against traffic of each daemon that grows with the number of daemons, and against more than two watchers in a
// failure domain. A daemon starts about one exchange a second, which is one message from it and one reply from its
// peer.
func TestExchangeCostIsFlat(t *testing.T) {
	const seconds = 120
	for _, daemons := range []int{5, 10, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, daemons, 5)
			defer c.close()
			offer(t, c.nodes[0], document(1, "one"))
			time.Sleep(20 * time.Second)
			before := c.traffic()
			time.Sleep(seconds * time.Second)
			after := c.traffic()
			messages := float64(after.Messages-before.Messages) / seconds / float64(daemons)
			bytes := (after.Bytes - before.Bytes) / seconds / daemons
			t.Logf("%d daemons: each sends %.2f messages and %d bytes a second", daemons, messages, bytes)
			// An exchange takes two messages. The interval has a jitter of a fifth, and gob describes types once a connection.
			if messages < 1.6 || messages > 2.5 {
				t.Errorf("%d daemons: each sends %.2f messages a second; want about 2", daemons, messages)
			}
			const budget = 5000 // bytes a second, from the scale target
			if bytes > budget {
				t.Errorf("%d daemons: each sends %d bytes a second; the budget is %d", daemons, bytes, budget)
			}
			watching := 0
			for _, n := range c.nodes {
				if n.Watching() {
					watching++
				}
			}
			if want := min(daemons, 2*5); watching != want {
				t.Errorf("%d daemons: %d watchers; want %d", daemons, watching, want)
			}
		})
	}
}

// Guards against a document that the handler rejects being fetched again and again, or preventing a newer one from
// being accepted.
func TestRejectedDocumentDoesNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		defer c.close()
		c.nodes[0].Close()
		// A peer whose handler accepts everything keeps and offers what the others reject.
		permissive := newPermissiveNode(t, c)
		defer permissive.Close()
		permissive.SetHosts(c.hosts)
		offer(t, permissive, document(5, "bad"))
		time.Sleep(20 * time.Second)
		if n := c.handlers[1].offerCount(5); n != 1 {
			t.Errorf("the rejected document was offered %d times; want once", n)
		}
		offer(t, permissive, document(6, "good"))
		time.Sleep(2 * time.Second)
		if d, _ := c.nodes[1].Document("config"); d.Number != 6 {
			t.Errorf("node has version %d of the document; want 6", d.Number)
		}
	})
}

// permissiveHandler is a handler that accepts all documents.
type permissiveHandler struct{ handler }

func (*permissiveHandler) OfferDocument(peer.Document) error { return nil }

// newPermissiveNode starts a node with a permissiveHandler on the address of the cluster's first host.
func newPermissiveNode(t *testing.T, c *cluster) *peer.Node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := c.hosts[0]
	n, err := peer.New(peer.Spec{Self: h, Handler: &permissiveHandler{}, Poison: poison.NewTable(), Log: log, Now: time.Now, Dial: c.net.DialerFrom(h.Addr)}, c.net.Listen(h.Addr))
	if err != nil {
		t.Fatal(err)
	}
	n.Start()
	return n
}

// offerCount returns how often the document version with this number was offered.
func (h *handler) offerCount(number uint64) int {
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

// Guards against a change that is held up by connections that no longer deliver anything, while new connections work.
// Here, every connection that is open when the change is made is stalled permanently.
func TestSilentConnectionsDelayAChangeByLessThan3s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 30, 3)
		defer c.close()
		offer(t, c.nodes[0], document(1, "one"))
		time.Sleep(20 * time.Second)
		c.net.StallConnections()
		offer(t, c.nodes[0], document(2, "two"))
		time.Sleep(3 * time.Second)
		if n := c.countWithNumber(2); n != len(c.nodes) {
			t.Errorf("%d of %d daemons have received the change after 3 s", n, len(c.nodes))
		}
	})
}

// Guards against a failure domain without watchers while the host list still lists its dead or paused watchers as live,
// and against more than two watchers after the paused ones have resumed.
func TestSilentWatchersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, 1)
		defer c.close()
		time.Sleep(20 * time.Second)
		paused := map[string]bool{}
		for round := range 3 {
			paused = maps.Clone(paused) // the mode function that is still set reads the previous map
			for i, n := range c.nodes {
				if n.Watching() {
					paused[c.hosts[i].Addr] = true
				}
			}
			frozen := paused
			c.net.SetMode(func(from, to string) standin.LinkMode {
				if frozen[from] || frozen[to] {
					return standin.Freeze
				}
				return standin.Pass
			})
			time.Sleep(20 * time.Second)
			if n := c.countWatchers(paused); n != 2 {
				t.Errorf("round %d: %d watchers among the running daemons; want 2", round, n)
			}
		}
		c.net.SetMode(func(_, _ string) standin.LinkMode { return standin.Pass })
		time.Sleep(30 * time.Second)
		if n := c.countWatchers(nil); n != 2 {
			t.Errorf("%d watchers after all daemons have resumed; want 2", n)
		}
	})
}

// countWatchers returns the number of watchers among the nodes whose addresses are not in except.
func (c *cluster) countWatchers(except map[string]bool) int {
	count := 0
	for i, n := range c.nodes {
		if !except[c.hosts[i].Addr] && n.Watching() {
			count++
		}
	}
	return count
}

// Guards against a dial that blocks the selection of peers, and so calls to other hosts, while it waits for a host that
// does not respond.
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
			return mem.DialerFrom("a")(ctx, addr)
		}
		self := hostlist.Host{ID: "a", Addr: "a", Domain: "d", Role: hostlist.RoleEntry, State: hostlist.StateLive}
		n, err := peer.New(peer.Spec{Self: self, Handler: &handler{}, Poison: poison.NewTable(), Log: logrus.New(), Now: time.Now, Dial: dial}, mem.Listen("a"))
		if err != nil {
			t.Fatal(err)
		}
		n.Start()
		defer time.Sleep(time.Second) // the dial must end within the synctest bubble
		defer n.Close()
		n.SetHosts([]hostlist.Host{self, {ID: "hung", Addr: "hung", Domain: "d", Role: hostlist.RoleEntry, State: hostlist.StateLive}})
		<-hung
		start := time.Now()
		n.Peers()
		if waited := time.Since(start); waited != 0 {
			t.Errorf("the selection of peers waited %v for a dial", waited)
		}
	})
}

// Guards against daemons that continue to refuse a request after another daemon has cleared it. Such a request was in
// progress at three crashes but did not cause them. The records must also arrive if the open connections no longer
// deliver anything.
func TestClearedRequestIsKnownToAll(t *testing.T) {
	const fingerprint = 1
	for _, stalled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 5, 1)
			defer c.close()
			time.Sleep(20 * time.Second)
			for i := range poison.MaxCrashes {
				c.nodes[0].ReportCrash(poison.Record{Fingerprint: fingerprint, Crash: fmt.Sprintf("endpoint/%d", i)})
			}
			time.Sleep(time.Second)
			if !c.tables[1].Refused(fingerprint, time.Now()) {
				t.Fatal("the crash records have not reached the other daemon")
			}
			if stalled {
				c.net.StallConnections()
			}
			c.nodes[0].ReportCleared(c.tables[0].Clear(fingerprint, time.Now()))
			time.Sleep(20 * time.Second)
			for i, table := range c.tables {
				if table.Refused(fingerprint, time.Now()) {
					t.Errorf("stalled connections %t: daemon %d refuses the cleared request", stalled, i)
				}
			}
		})
	}
}

// Guards against a crash report that returns before the peers have the record, so that a retry of the request through a
// nearby daemon crashes another endpoint, and against one that waits more than 200 ms for peers that do not respond.
func TestCrashIsKnownWhenItsReportReturns(t *testing.T) {
	const longest = 200 * time.Millisecond
	for _, stallTime := range []time.Duration{longest / 2, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 5, 1)
			defer c.close()
			time.Sleep(20 * time.Second)
			c.net.SetMode(func(_, _ string) standin.LinkMode { return standin.Freeze })
			time.AfterFunc(stallTime, func() { c.net.SetMode(func(_, _ string) standin.LinkMode { return standin.Pass }) })
			start := time.Now()
			c.nodes[0].ReportCrash(poison.Record{Fingerprint: 1, Crash: "endpoint/boot"})
			if took := time.Since(start); took != min(stallTime, longest) {
				t.Errorf("the report took %s with peers that do not respond for %s", took, stallTime)
			}
			peers := c.nodes[0].Peers()
			for i, h := range c.hosts {
				if known := c.tables[i].Crashes(1, time.Now()) == 1; slices.Contains(peers, h.Addr) && known != (stallTime < longest) {
					t.Errorf("with peers that do not respond for %s, %s knows of the crash: %t", stallTime, h.ID, known)
				}
			}
			time.Sleep(stallTime)
		})
	}
}
