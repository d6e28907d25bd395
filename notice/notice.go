// Package notice exchanges short one-way messages between daemons as UDP datagrams. A lost message costs little and none is
// answered, so net/rpc, which waits for replies on connections, does not fit.
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

	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
)

// MaxMessageBytes is the largest encoded size of a message. A datagram of this size is sent in a few packets.
const MaxMessageBytes = 8 << 10

// MaxChanges is the largest number of changes in one message.
const MaxChanges = 64

// MaxCrashes is the largest number of crash records in one message, each with as many prompt parts as a record may have.
const MaxCrashes = 32

// Message is a message from one daemon to others. It is about a release, an endpoint, changes in the store or estimates; the fields
// of the other subjects are zero and are omitted from the encoding.
type Message struct {
	// Service and Order identify a release.
	Service string `msgpack:"s,omitempty"`
	Order   uint64 `msgpack:"o,omitempty"`
	// Age is the time since the release was ordered, as far as the sender knows; see also Revision.
	Age time.Duration `msgpack:"a,omitempty"`
	// Phase is the phase that the release has reached; empty for a message about a session.
	Phase string `msgpack:"p,omitempty"`
	// From is the sending daemon, for a message about the store, with Evidence or with Estimates. Evidence of the release is
	// encoded as package release does.
	From     string `msgpack:"f,omitempty"`
	Evidence []byte `msgpack:"v,omitempty"`
	// Incarnation is the time at which From started, in Unix nanoseconds, for a message with Evidence.
	Incarnation int64 `msgpack:"i,omitempty"`
	// Domain is the failure domain whose daemons' evidence is summed up in Evidence; empty if it is that of From alone.
	Domain string `msgpack:"b,omitempty"`
	// Relay asks the receiver to forward the message to the daemons of its failure domain.
	Relay bool `msgpack:"l,omitempty"`
	// Session is in use on the release's old version for the time InUseFor.
	Session  uint64        `msgpack:"n,omitempty"`
	InUseFor time.Duration `msgpack:"t,omitempty"`
	// Endpoint was sent a prompt whose prefill takes about the time Work.
	Endpoint string        `msgpack:"d,omitempty"`
	Work     time.Duration `msgpack:"w,omitempty"`
	// Revision is the revision of the store's content at the sender, read at the time Age before the message was sent. Changes
	// are all changes after the revision After up to Revision; there are none if both are the same.
	Revision uint64   `msgpack:"r,omitempty"`
	After    uint64   `msgpack:"u,omitempty"`
	Changes  []Change `msgpack:"c,omitempty"`
	// PolledAt is the sender's time of the poll that read the changes, in Unix nanoseconds. It orders the messages about the store
	// from one sender.
	PolledAt int64 `msgpack:"k,omitempty"`
	// Estimates are derived from the requests of the daemon From.
	Estimates []pool.Estimate `msgpack:"x,omitempty"`
	// Crashes are records of the daemon From about requests at endpoints that crashed.
	Crashes []poison.Record `msgpack:"h,omitempty"`
	// StoreRecovered says that the store answers the sender again after an outage.
	StoreRecovered bool `msgpack:"y,omitempty"`
	// Batch holds messages that are sent as one; the other fields are then unused.
	Batch []Message `msgpack:"g,omitempty"`
}

// Change is a change of an entry of the store. Value is omitted if the receivers must read the entry from the store.
type Change struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision uint64 `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

// PacketConn sends and receives datagrams. *net.UDPConn implements it.
type PacketConn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, addr *net.UDPAddr) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Spec configures an Exchange.
type Spec struct {
	// Handle is called with each valid message, one at a time.
	Handle func(Message)
	// OnSend and OnReceive are called with each datagram and its size in bytes, without the headers of UDP and IP. They may be nil.
	OnSend, OnReceive func(k Kind, bytes int)
}

// Exchange sends messages to other daemons and receives theirs on one UDP port. Its methods may be called concurrently.
type Exchange struct {
	conn PacketConn
	spec Spec

	mu    sync.Mutex
	peers []peer

	batchMu     sync.Mutex
	batch       []Message // that wait to be sent as one to the daemons of batchDomain
	batchSize   int       // sum of the encoded sizes in bytes
	batchDomain string
}

// Peer is another daemon and the address of its Exchange.
type Peer struct{ Name, Domain, Addr string }

// peer is a Peer with its resolved address.
type peer struct {
	Peer
	addr  *net.UDPAddr
	relay bool // relays messages of other failure domains within its own
}

// RelaysPerDomain is the number of daemons of each failure domain that relay messages of other domains to the rest of their
// domain. With two of them, messages still arrive while one is frozen or partitioned.
const RelaysPerDomain = 2

// batchDelay is the time for which SendBatched collects messages.
const batchDelay = 50 * time.Millisecond

// Listen opens a UDP port and starts receiving. It calls handle with each valid message, one at a time. The caller has to Close the
// exchange.
func Listen(addr string, handle func(Message)) (*Exchange, error) {
	return Open(addr, Spec{Handle: handle})
}

// Open is like Listen, with a Spec.
func Open(addr string, s Spec) (*Exchange, error) {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve address for peer messages: %w", err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for peer messages: %w", err)
	}
	return New(conn, s), nil
}

// New starts receiving on a connection, which the exchange owns from then on. The caller has to Close the exchange.
func New(conn PacketConn, s Spec) *Exchange {
	nothing := func(Kind, int) {}
	if s.OnSend == nil {
		s.OnSend = nothing
	}
	if s.OnReceive == nil {
		s.OnReceive = nothing
	}
	x := &Exchange{conn: conn, spec: s}
	go x.receiveLoop()
	return x
}

// Addr returns the local address.
func (x *Exchange) Addr() string { return x.conn.LocalAddr().String() }

// SetPeers replaces the list of other daemons. Those without a valid address, and this daemon itself, are left out. The first
// RelaysPerDomain daemons of each domain, in the order of names, are its relays.
func (x *Exchange) SetPeers(all []Peer) {
	all = slices.SortedFunc(slices.Values(all), func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	var peers []peer
	inDomain := map[string]int{}
	for _, p := range all {
		udp, err := net.ResolveUDPAddr("udp4", p.Addr)
		if err != nil || p.Addr == x.Addr() {
			continue
		}
		peers = append(peers, peer{p, udp, inDomain[p.Domain] < RelaysPerDomain})
		inDomain[p.Domain]++
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
}

// SendAll sends a message to all other daemons. domain is the sender's failure domain; other domains get the message through their
// relays. An error does not keep the message from the remaining daemons.
func (x *Exchange) SendAll(domain string, m Message) error {
	return errors.Join(x.SendToDomain(domain, m), x.SendToOtherDomains(domain, m))
}

// SendToDomain sends a message to the daemons of one failure domain.
func (x *Exchange) SendToDomain(domain string, m Message) error {
	return x.send(m, func(p peer) bool { return p.Domain == domain })
}

// SendToOtherDomains sends a message to all failure domains except the given one. It goes only to the relays of each domain, which
// forward it there, so that the traffic between domains does not grow with the number of daemons.
func (x *Exchange) SendToOtherDomains(domain string, m Message) error {
	m.Relay = true
	return x.send(m, func(p peer) bool { return p.relay && p.Domain != domain })
}

// SendBatched is SendToDomain with a delay of batchDelay, after which the messages collected meanwhile are sent as one. This keeps
// the number of datagrams of a relay small, however many daemons there are. The error may be that of sending an earlier batch.
func (x *Exchange) SendBatched(domain string, m Message) error {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return fmt.Errorf("encode message to peers: %w", err)
	}
	x.batchMu.Lock()
	defer x.batchMu.Unlock()
	if len(x.batch) > 0 && (x.batchDomain != domain || x.batchSize+len(data) > maxBatchBytes) {
		err = x.sendBatch()
	}
	if len(x.batch) == 0 {
		x.batchDomain = domain
		time.AfterFunc(batchDelay, x.flush)
	}
	x.batch = append(x.batch, m)
	x.batchSize += len(data)
	return err
}

// maxBatchBytes bounds the encoded messages of a batch; the rest of MaxMessageBytes is for the encoding of the batch itself.
const maxBatchBytes = MaxMessageBytes * 3 / 4

// flush sends the batch at the end of batchDelay.
func (x *Exchange) flush() {
	x.batchMu.Lock()
	defer x.batchMu.Unlock()
	_ = x.sendBatch() // messages are one-way, and later ones make up for a lost one
}

// sendBatch sends the collected messages, if any. The caller holds batchMu.
func (x *Exchange) sendBatch() error {
	list := x.batch
	x.batch, x.batchSize = nil, 0
	switch len(list) {
	case 0:
		return nil
	case 1:
		return x.SendToDomain(x.batchDomain, list[0])
	default:
		return x.SendToDomain(x.batchDomain, Message{Batch: list})
	}
}

// send sends a message to the peers for which match returns true. After an error it continues with the next peer; the first error
// is returned.
func (x *Exchange) send(m Message, match func(peer) bool) error {
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return fmt.Errorf("encode message to peers: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("message to peers is %d bytes long, the limit is %d", len(data), MaxMessageBytes)
	}
	for _, p := range peers {
		if !match(p) {
			continue
		}
		x.spec.OnSend(m.Kind(), len(data))
		if _, sendErr := x.conn.WriteToUDP(data, p.addr); sendErr != nil && err == nil {
			err = fmt.Errorf("send message to peer %s: %w", p.Name, sendErr)
		}
	}
	return err
}

// Close closes the port and ends receiving. Messages that still wait in a batch are lost.
func (x *Exchange) Close() { _ = x.conn.Close() }

// receiveLoop handles datagrams until the port is closed.
func (x *Exchange) receiveLoop() {
	buf := make([]byte, MaxMessageBytes)
	for {
		n, from, err := x.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // concerns one datagram, such as an ICMP error for a peer that is gone
		}
		list := decode(buf[:n], x.isPeer(from))
		if len(list) > 0 {
			x.spec.OnReceive(list[0].Kind(), n)
		}
		for _, m := range list {
			x.spec.Handle(m)
		}
	}
}

// isPeer reports whether an address is that of a known daemon. Only such a daemon's messages about the store, estimates and
// crashes are accepted, and only its messages are relayed.
func (x *Exchange) isPeer(from *net.UDPAddr) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.ContainsFunc(x.peers, func(p peer) bool { return p.addr.Port == from.Port && p.addr.IP.Equal(from.IP) })
}

// decode returns the valid messages of a datagram. It ignores datagrams that are not messages. If the sender is not a known
// daemon, it also drops messages about the store, with estimates or crashes, to be relayed, or in a batch.
func decode(data []byte, fromPeer bool) []Message {
	var m Message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil
	}
	list := m.Batch
	if len(list) == 0 {
		list = []Message{m}
	}
	return slices.DeleteFunc(list, func(inner Message) bool {
		peerOnly := inner.Revision > 0 || inner.Relay || len(inner.Estimates) > 0 || len(inner.Crashes) > 0 || len(m.Batch) > 0
		return !inner.valid() || peerOnly && !fromPeer || inner.Relay && len(m.Batch) > 0
	})
}

// valid reports whether a message has a subject and values that are in range.
func (m *Message) valid() bool {
	if m.InUseFor < 0 || m.Age < 0 || m.Work < 0 || len(m.Batch) > 0 {
		return false
	}
	if m.Revision > 0 {
		return m.After <= m.Revision && len(m.Changes) <= MaxChanges
	}
	return m.Service != "" || m.From != "" && (len(m.Estimates) > 0 || len(m.Crashes) > 0 && len(m.Crashes) <= MaxCrashes)
}
