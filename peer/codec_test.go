package peer

import (
	"context"
	"crypto/sha256"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// countedTraffic is a Traffic that adds up bytes and messages.
type countedTraffic struct {
	mu       sync.Mutex
	bytes    map[string]int // by kind and direction, separated by a space
	messages map[string]int // likewise
}

func newCountedTraffic() *countedTraffic {
	return &countedTraffic{bytes: map[string]int{}, messages: map[string]int{}}
}

func (c *countedTraffic) ControlBytes(kind, direction string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes[kind+" "+direction] += n
}

func (c *countedTraffic) ControlMessage(kind, direction string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages[kind+" "+direction]++
}

// takeBytes returns the bytes counted for a key and resets the count.
func (c *countedTraffic) takeBytes(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.bytes[key]
	delete(c.bytes, key)
	return n
}

// nopHandler is a Handler that accepts and discards everything.
type nopHandler struct{}

func (nopHandler) OfferDocument(Document) error          { return nil }
func (nopHandler) KeepBills(ledger.Copy) (string, error) { return "", nil }
func (nopHandler) TakeEvidence(rollout.Evidence) error   { return nil }
func (nopHandler) TakeAnswers(quality.Report) error      { return nil }

// noDial is a dial function for nodes that connect to no peer.
func noDial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }

// maxDigestBytes is the documented size of a digest message, about 100 B, plus the header of net/rpc, which contains
// the method and the sequence number.
const maxDigestBytes = 100 + 30

// Guards against digests that exceed their documented size, and against traffic counters that miss bytes: both ends of
// a connection must count the same.
func TestDigestBytes(t *testing.T) {
	client, server := newCountedTraffic(), newCountedTraffic()
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nopHandler{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
	if err != nil {
		t.Fatal(err)
	}
	docs := []DocumentID{
		{Name: "config", Number: 100_000, Digest: strings.Repeat("f", sha256.Size*2)}, {Name: "hosts", Number: 10_000_000, Digest: strings.Repeat("e", sha256.Size*2)},
	}
	for _, id := range docs {
		if err := n.Offer(Document{DocumentID: id}); err != nil {
			t.Fatal(err)
		}
	}
	a, b := net.Pipe()
	var wg sync.WaitGroup
	wg.Go(func() { n.server.ServeCodec(serverCodec{newCodec(b, server)}) })
	c := rpc.NewClientWithCodec(newClientCodec(a, client))
	for i := range 3 {
		var reply DigestReply
		if err := c.Call(serviceName+".Digest", DigestArgs{From: "10.200.100.100:18081", Docs: n.Documents()}, &reply); err != nil {
			t.Fatal(err)
		}
		request, response := client.takeBytes("peer/digest out"), client.takeBytes("peer/digest in")
		if got := server.takeBytes("peer/digest in"); got != request {
			t.Errorf("call %d: %d bytes sent, %d received", i, request, got)
		}
		t.Logf("call %d: request %d bytes, response %d bytes", i, request, response)
		// The first message of a connection is larger, as gob describes the types in it.
		if i > 0 && (request > maxDigestBytes || response > maxDigestBytes || request == 0 || response == 0) {
			t.Errorf("call %d: request %d bytes, response %d bytes; want at most %d", i, request, response, maxDigestBytes)
		}
	}
	_ = c.Close()
	wg.Wait()
	if client.messages["peer/digest out"] != 3 || server.messages["peer/digest in"] != 3 {
		t.Errorf("messages counted: %v sent, %v received", client.messages, server.messages)
	}
}

// Guards against a peer whose message has no end, or takes far more memory than bytes on the connection: the daemon would keep all of it.
func TestLargestMessageIsBounded(t *testing.T) {
	for name, connect := range map[string]func(net.Conn) *rpc.Client{
		"compressed":   func(c net.Conn) *rpc.Client { return rpc.NewClientWithCodec(newClientCodec(c, nil)) },
		"uncompressed": func(c net.Conn) *rpc.Client { return rpc.NewClient(c) },
	} {
		for _, size := range []int{maxMessageBytes / 2, 2 * maxMessageBytes} {
			n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nopHandler{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
			if err != nil {
				t.Fatal(err)
			}
			a, b := net.Pipe()
			var wg sync.WaitGroup
			wg.Go(func() { n.server.ServeCodec(serverCodec{newCodec(b, nil)}) })
			c := connect(a)
			err = c.Call(serviceName+".Digest", DigestArgs{From: strings.Repeat("x", size)}, &DigestReply{})
			if accepted := err == nil; accepted != (size < maxMessageBytes) {
				t.Errorf("%s message of %d bytes: error %v", name, size, err)
			}
			_ = c.Close()
			wg.Wait()
		}
	}
}

// Guards against a server that can't talk to daemons of an earlier version, which do not compress their connections.
// Both versions run during a rolling upgrade.
func TestServerAcceptsUncompressedClients(t *testing.T) {
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nopHandler{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, b := net.Pipe()
	var wg sync.WaitGroup
	wg.Go(func() { n.server.ServeCodec(serverCodec{newCodec(b, nil)}) })
	c := rpc.NewClient(a)
	if err := c.Call(serviceName+".Digest", DigestArgs{From: "b"}, &DigestReply{}); err != nil {
		t.Error(err)
	}
	_ = c.Close()
	wg.Wait()
}
