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

// countedTraffic adds up traffic by direction and kind.
type countedTraffic struct {
	mu       sync.Mutex
	bytes    map[string]int
	messages map[string]int
}

func newTraffic() *countedTraffic {
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

func (c *countedTraffic) take(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.bytes[key]
	delete(c.bytes, key)
	return n
}

type nothing struct{}

func (nothing) OfferDocument(Document) error          { return nil }
func (nothing) KeepBills(ledger.Copy) (string, error) { return "", nil }
func (nothing) TakeEvidence(rollout.Evidence) error   { return nil }
func (nothing) TakeAnswers(quality.Report) error      { return nil }

func noDial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }

// maxDigestBytes is the size of a digest message on the design page, about 100 B, and the header of net/rpc, which names
// the method and numbers the call.
const maxDigestBytes = 100 + 30

// Guards against a digest that outgrows its stated size, and against bytes that the counters lose: what one end sends
// the other receives.
func TestDigestBytes(t *testing.T) {
	client, server := newTraffic(), newTraffic()
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nothing{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
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
		request, response := client.take("peer/digest out"), client.take("peer/digest in")
		if got := server.take("peer/digest in"); got != request {
			t.Errorf("call %d: %d bytes sent, %d received", i, request, got)
		}
		t.Logf("call %d: request %d bytes, response %d bytes", i, request, response)
		// The first message of a connection describes its types.
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

// Guards against a daemon of an earlier version, which does not compress its connections, that is not understood while
// the daemons are replaced one after the other.
func TestServerUnderstandsPlainClients(t *testing.T) {
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nothing{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
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
