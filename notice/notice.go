// Package notice sends short one-way messages between daemons as datagrams. A lost one costs little and none is answered,
// so that net/rpc, which waits for replies on connections, does not fit.
package notice

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/pool"
)

// MaxBytes bounds a message. A datagram of this size is sent in a few packets.
const MaxBytes = 8 << 10

// MaxChanges bounds the changes in one message.
const MaxChanges = 64

// Message is what daemons tell each other. Unused fields are left out.
type Message struct {
	// Service and Order name a release.
	Service string `msgpack:"s,omitempty"`
	Order   uint64 `msgpack:"o,omitempty"`
	// Age is the time since the order, as the sender knows it.
	Age time.Duration `msgpack:"a,omitempty"`
	// Phase is a phase that the release has reached; empty for a message about a session.
	Phase string `msgpack:"p,omitempty"`
	// From is the daemon whose evidence of the release the message holds: answers, failures and the sum of latencies, of
	// the new version and of the old one.
	From     string   `msgpack:"f,omitempty"`
	Evidence [6]int64 `msgpack:"e,omitempty"`
	// Domain is the failure domain whose daemons' evidence is summed up in the message; empty for that of From alone.
	Domain string `msgpack:"b,omitempty"`
	// Relay asks the receiver to pass the message on within its failure domain.
	Relay bool `msgpack:"l,omitempty"`
	// Session is in use on the old version for the given time.
	Session uint64        `msgpack:"n,omitempty"`
	For     time.Duration `msgpack:"t,omitempty"`
	// Endpoint gets a prompt that takes Work to read.
	Endpoint string        `msgpack:"d,omitempty"`
	Work     time.Duration `msgpack:"w,omitempty"`
	// Revision is that of the store's content at the sender, Age before the message was sent. Changes are those after the
	// revision After, without gaps; there are none if both are the same.
	Revision uint64   `msgpack:"r,omitempty"`
	After    uint64   `msgpack:"u,omitempty"`
	Changes  []Change `msgpack:"c,omitempty"`
	// Asked orders the messages about the store of one sender, From.
	Asked int64 `msgpack:"k,omitempty"`
	// Estimates are what the requests of the daemon From have shown.
	Estimates []pool.Estimate `msgpack:"x,omitempty"`
	// Regained says that the store answers the sender again.
	Regained bool `msgpack:"y,omitempty"`
	// Batch holds messages that are sent together; the other fields are then unused.
	Batch []Message `msgpack:"g,omitempty"`
}

// Change is a change of an entry of the store.
type Change struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision uint64 `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

// Exchange sends and receives messages.
type Exchange struct {
	conn    *net.UDPConn
	receive func(Message)

	mu    sync.Mutex
	peers []peer

	batchMu   sync.Mutex
	batch     []Message // that wait to be sent together to the daemons of batchIn
	batchSize int       // bytes
	batchIn   string
}

// Peer is another daemon.
type Peer struct{ Name, Domain, Addr string }

type peer struct {
	Peer
	addr  *net.UDPAddr
	relay bool // one of the first of its failure domain
}

// Relays is the number of daemons of a failure domain that messages are sent to if the others get them from these. Two of
// them make up for one that is frozen or cut off.
const Relays = 2

// batchPause is the time for which a message waits for others that are sent together with it.
const batchPause = 50 * time.Millisecond

// Listen opens a port. Messages are given to receive, one at a time.
func Listen(addr string, receive func(Message)) (*Exchange, error) {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("address for messages between daemons: %w", err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for messages between daemons: %w", err)
	}
	x := &Exchange{conn: conn, receive: receive}
	go x.run()
	return x, nil
}

// Addr returns the address that Listen opened.
func (x *Exchange) Addr() string { return x.conn.LocalAddr().String() }

// SetPeers replaces the other daemons. Those without an address are left out.
func (x *Exchange) SetPeers(all []Peer) {
	all = slices.SortedFunc(slices.Values(all), func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	var peers []peer
	inDomain := map[string]int{}
	for _, p := range all {
		udp, err := net.ResolveUDPAddr("udp4", p.Addr)
		if err != nil || p.Addr == x.Addr() {
			continue
		}
		peers = append(peers, peer{p, udp, inDomain[p.Domain] < Relays})
		inDomain[p.Domain]++
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
}

// SendAll sends a message to all other daemons, of which domain is the sender's failure domain. The first error is returned; the
// others get the message all the same.
func (x *Exchange) SendAll(domain string, m Message) error {
	return errors.Join(x.SendIn(domain, m), x.SendBeyond(domain, m))
}

// SendIn sends a message to the daemons of one failure domain.
func (x *Exchange) SendIn(domain string, m Message) error {
	return x.send(m, func(p peer) bool { return p.Domain == domain })
}

// SendBeyond sends a message to the daemons of all failure domains but one. Few daemons of each get the message and pass it on, so that
// the bytes between domains do not grow with the number of daemons.
func (x *Exchange) SendBeyond(domain string, m Message) error {
	m.Relay = true
	return x.send(m, func(p peer) bool { return p.relay && p.Domain != domain })
}

// SendSoon is SendIn with a delay, after which all messages that have come meanwhile are sent as one. A daemon that passes messages on
// so sends few datagrams, however many daemons there are. Errors are those of earlier messages.
func (x *Exchange) SendSoon(domain string, m Message) error {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	x.batchMu.Lock()
	defer x.batchMu.Unlock()
	if len(x.batch) > 0 && (x.batchIn != domain || x.batchSize+len(data) > batchBytes) {
		err = x.sendBatch()
	}
	if len(x.batch) == 0 {
		x.batchIn = domain
		time.AfterFunc(batchPause, x.flush)
	}
	x.batch = append(x.batch, m)
	x.batchSize += len(data)
	return err
}

// batchBytes bounds the messages that are sent together, with room for what holds them together.
const batchBytes = MaxBytes * 3 / 4

func (x *Exchange) flush() {
	x.batchMu.Lock()
	defer x.batchMu.Unlock()
	_ = x.sendBatch() // the messages are one-way: what is lost is made up for by later ones
}

// sendBatch sends what waits. Its caller holds batchMu.
func (x *Exchange) sendBatch() error {
	list := x.batch
	x.batch, x.batchSize = nil, 0
	switch len(list) {
	case 0:
		return nil
	case 1:
		return x.SendIn(x.batchIn, list[0])
	default:
		return x.SendIn(x.batchIn, Message{Batch: list})
	}
}

func (x *Exchange) send(m Message, to func(peer) bool) error {
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > MaxBytes {
		return fmt.Errorf("message of %d bytes, the limit is %d", len(data), MaxBytes)
	}
	for _, p := range peers {
		if !to(p) {
			continue
		}
		if _, sendErr := x.conn.WriteToUDP(data, p.addr); sendErr != nil && err == nil {
			err = fmt.Errorf("send message: %w", sendErr)
		}
	}
	return err
}

// Close closes the port.
func (x *Exchange) Close() { _ = x.conn.Close() }

func (x *Exchange) run() {
	buf := make([]byte, MaxBytes)
	for {
		n, from, err := x.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of one datagram, such as a peer that is gone
		}
		for _, m := range decode(buf[:n], x.isPeer(from)) {
			x.receive(m)
		}
	}
}

// isPeer reports whether an address is that of another daemon. Nobody else's word on the store counts, or is passed on.
func (x *Exchange) isPeer(from *net.UDPAddr) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.ContainsFunc(x.peers, func(p peer) bool { return p.addr.Port == from.Port && p.addr.IP.Equal(from.IP) })
}

// decode reads the messages of a datagram. Bytes of others are passed over, and of a sender that is no peer, all that concerns the
// store, would be passed on or changes choices of endpoints.
func decode(data []byte, peer bool) []Message {
	var m Message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil
	}
	list := m.Batch
	if len(list) == 0 {
		list = []Message{m}
	}
	return slices.DeleteFunc(list, func(inner Message) bool {
		special := inner.Revision > 0 || inner.Relay || len(inner.Estimates) > 0 || len(m.Batch) > 0
		return !inner.valid() || special && !peer || inner.Relay && len(m.Batch) > 0
	})
}

func (m *Message) valid() bool {
	if m.For < 0 || m.Age < 0 || m.Work < 0 || len(m.Batch) > 0 {
		return false
	}
	if m.Revision > 0 {
		return m.After <= m.Revision && len(m.Changes) <= MaxChanges
	}
	return m.Service != "" || m.From != "" && len(m.Estimates) > 0
}
