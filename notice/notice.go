// Package notice exchanges short one-way messages between daemons as UDP datagrams. A lost message costs little and none is
// answered, so net/rpc, which waits for replies on connections, does not fit.
package notice

import (
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/admission"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/scaling"
	"github.com/bramleytrail/bramleytrail/usage"
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
	Service string      `msgpack:"s,omitempty"`
	Order   kv.Revision `msgpack:"o,omitempty"`
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
	// Session is in use on the release's old version for the time InUseFor. SessionTeam is its team, see keyed.OwnerOf; daemons of earlier
	// versions do not send it.
	Session     uint64        `msgpack:"n,omitempty"`
	SessionTeam uint32        `msgpack:"nt,omitempty"`
	InUseFor    time.Duration `msgpack:"t,omitempty"`
	// Endpoint was sent a prompt whose prefill takes about the time Work.
	Endpoint string        `msgpack:"d,omitempty"`
	Work     time.Duration `msgpack:"w,omitempty"`
	// Revision is the revision of the store's content at the sender, read at the time Age before the message was sent. Changes
	// are all changes after the revision After up to Revision; there are none if both are the same.
	Revision kv.Revision `msgpack:"r,omitempty"`
	After    kv.Revision `msgpack:"u,omitempty"`
	Changes  []Change    `msgpack:"c,omitempty"`
	// PolledAt is the sender's time of the poll that read the changes, in Unix nanoseconds. It orders the messages about the store
	// from one sender.
	PolledAt int64 `msgpack:"k,omitempty"`
	// Estimates are derived from the requests of the daemon From.
	Estimates []pool.Estimate `msgpack:"x,omitempty"`
	// Reports are load reports of endpoints, sent with Estimates.
	Reports []pool.PeerReport `msgpack:"lr,omitempty"`
	// Teams are sums of From's requests by team, in a message with Estimates.
	Teams []admission.TeamSums `msgpack:"j,omitempty"`
	// Crashes are records of the daemon From about requests at endpoints that crashed.
	Crashes []poison.Record `msgpack:"h,omitempty"`
	// Suspect says that the requests of Crashes met several crashes. Minor says that Crashes are sent again or are in favor of requests or
	// parts, or that Session is no longer in use.
	Suspect bool `msgpack:"z,omitempty"`
	Minor   bool `msgpack:"m,omitempty"`
	// StoreRecovered says that the store answers the sender again after an outage.
	StoreRecovered bool `msgpack:"y,omitempty"`
	// Duty is a report to the holder of the deployment's duties.
	Duty *Duty `msgpack:"q,omitempty"`
	// Minimum asks what the store's content must not fall below, or answers that.
	Minimum *Minimum `msgpack:"e,omitempty"`
	// Batch holds messages that are sent as one; the other fields are then unused.
	Batch []Message `msgpack:"g,omitempty"`
}

// Change is a change of an entry of the store. Value is omitted if the receivers must read the entry from the store.
type Change struct {
	Key      string      `msgpack:"k"`
	Value    []byte      `msgpack:"v,omitempty"`
	Revision kv.Revision `msgpack:"r"`
	Deleted  bool        `msgpack:"d,omitempty"`
}

// Duty is what a daemon reports to the holder of the deployment's duties, or a part of it.
type Duty struct {
	From        string `msgpack:"f"`
	Incarnation int64  `msgpack:"i"` // start of From in Unix nanoseconds
	// At is From's estimate of true time in Unix nanoseconds when it made the report, the time Waited before it was sent. Adjusted is
	// the number of corrections of the estimate.
	At       int64         `msgpack:"a"`
	Waited   time.Duration `msgpack:"w,omitempty"`
	Adjusted int           `msgpack:"j,omitempty"`
	// Usage holds counts of requests. Demands is the load of services; HasDemands says that the report is about it, even if there is none.
	Usage      []usage.Window   `msgpack:"u,omitempty"`
	Demands    []scaling.Demand `msgpack:"d,omitempty"`
	HasDemands bool             `msgpack:"h,omitempty"`
	// Correction is sent by the holder: the receiver's estimate is to be corrected by it, if that has been corrected Adjusted times
	// before.
	Correction time.Duration `msgpack:"c,omitempty"`
}

// Minimum is a question of a daemon that starts, or the answer of another one: what the content of a restored store must not fall below.
type Minimum struct {
	From string `msgpack:"f"`
	// Question identifies the question and its answers.
	Question uint64 `msgpack:"q"`
	// Answered tells an answer from a question. Serving says that From has a configuration in force; the fields below are zero otherwise.
	Answered bool `msgpack:"a,omitempty"`
	Serving  bool `msgpack:"s,omitempty"`
	// Config is the version of the configuration in force, and Revision that of the store's content in force.
	Config   uint64      `msgpack:"c,omitempty"`
	Revision kv.Revision `msgpack:"r,omitempty"`
	// Unsettled is the time for which From still holds what the restored store has differently.
	Unsettled time.Duration `msgpack:"u,omitempty"`
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
	// AnswerMinimum returns the answer to a question about the minimum, which is sent to the address from which the question came; false
	// for none. It may be nil and must not block.
	AnswerMinimum func(Minimum) (Minimum, bool)
	// Domain is the failure domain of this daemon, and LinkBytes the bandwidth of its host's link in bytes a second; 0 if not known.
	Domain    string
	LinkBytes int64
	// OnSend and OnReceive are called with each datagram and its size in bytes, without the headers of UDP and IP. OnDrop is called with the
	// number of datagrams that were not sent because of a bound. They may be nil and must not block.
	OnSend, OnReceive func(k Kind, bytes int)
	OnDrop            func(k Kind, copies int)
	// Random returns numbers in [0, 1), which decide on the relays; nil for the runtime's generator.
	Random func() float64
}

// random returns the next random number.
func (s *Spec) random() float64 {
	if s.Random != nil {
		return s.Random()
	}
	return mathrand.Float64()
}

// Exchange sends messages to other daemons and receives theirs on one UDP port. What it sends is bounded, in all and for each Kind; messages
// beyond the bounds wait for a short time and are then dropped. Its methods may be called concurrently.
type Exchange struct {
	conn PacketConn
	spec Spec

	mu      sync.Mutex
	peers   *peers
	outbox  outbox
	timer   *time.Timer     // calls drain at wakeAt
	wakeAt  time.Time       // zero if nothing waits
	batches map[Kind]*batch // that collect messages
	closed  bool
}

// batch holds messages of one kind that are sent as one to the daemons of a failure domain.
type batch struct {
	domain  string
	list    []Message
	arrived []time.Time // when each of list was added
	size    int         // sum of the encoded sizes in bytes
}

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
	if s.OnDrop == nil {
		s.OnDrop = nothing
	}
	x := &Exchange{conn: conn, spec: s, peers: newPeers(nil, ""), batches: map[Kind]*batch{}}
	x.outbox.setBase(baseRate(s.LinkBytes, 0), time.Now())
	go x.receiveLoop()
	return x
}

// Addr returns the local address.
func (x *Exchange) Addr() string { return x.conn.LocalAddr().String() }

// SetPeers replaces the list of other daemons. Those without a valid address, and this daemon itself, are left out.
func (x *Exchange) SetPeers(all []Peer) {
	p := newPeers(all, x.Addr())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = p
	x.outbox.setBase(baseRate(x.spec.LinkBytes, len(p.in(x.spec.Domain))), time.Now())
}

// SendAll sends messages to all other daemons, in their order. domain is the sender's failure domain; other domains get the messages
// through the same relays. An error does not keep a message from the remaining daemons.
func (x *Exchange) SendAll(domain string, list ...Message) error {
	return errors.Join(x.SendToDomain(domain, list...), x.SendToOtherDomains(domain, list...))
}

// SendToDomain sends messages to the daemons of one failure domain.
func (x *Exchange) SendToDomain(domain string, list ...Message) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.send(x.peers.in(domain), list)
}

// SendToPeer sends messages to one daemon. They are dropped if it is not known.
func (x *Exchange) SendToPeer(name string, list ...Message) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if addr := x.peers.names[name]; addr != nil {
		return x.send([]*net.UDPAddr{addr}, list)
	}
	return nil
}

// SendToOtherDomains sends messages to all failure domains except the given one. They go only to some relays of each domain, which
// forward them there, so that the traffic between domains does not grow with the number of daemons.
func (x *Exchange) SendToOtherDomains(domain string, list ...Message) error {
	list = slices.Clone(list)
	for i := range list {
		list[i].Relay = true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.send(x.peers.relays(domain, x.spec.random), list)
}

// SendBatched is SendToDomain with a delay of batchDelay, after which the messages of a kind collected meanwhile are sent as one. This
// keeps the number of datagrams of a relay small, however many daemons there are. The error may be that of sending an earlier batch.
func (x *Exchange) SendBatched(domain string, m Message) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	kind := m.Kind()
	b := x.batches[kind]
	if b != nil && (b.domain != domain || b.size+len(data) > maxBatchBytes) {
		err = x.flush(kind)
		b = nil
	}
	if b == nil {
		b = &batch{domain: domain}
		x.batches[kind] = b
		time.AfterFunc(batchDelay, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.batches[kind] == b {
				_ = x.flush(kind) // messages are one-way, and later ones make up for a lost one
			}
		})
	}
	b.list, b.arrived = append(b.list, m), append(b.arrived, time.Now())
	b.size += len(data)
	return err
}

// maxBatchBytes bounds the encoded messages of a batch; the rest of MaxMessageBytes is for the encoding of the batch itself.
const maxBatchBytes = MaxMessageBytes * 3 / 4

// flush sends the messages collected for a kind. The caller holds mu.
func (x *Exchange) flush(kind Kind) error {
	b := x.batches[kind]
	delete(x.batches, kind)
	for i := range b.list {
		b.list[i] = b.list[i].delayed(time.Since(b.arrived[i]))
	}
	m := Message{Batch: b.list}
	if len(b.list) == 1 {
		m = b.list[0]
	}
	return x.send(x.peers.in(b.domain), []Message{m})
}

// encode returns a message as it is sent.
func encode(m Message) ([]byte, error) {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, fmt.Errorf("encode message to peers: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("message to peers is %d bytes long, the limit is %d", len(data), MaxMessageBytes)
	}
	return data, nil
}

// send queues messages for some daemons and sends what the bounds allow. The caller holds mu.
func (x *Exchange) send(to []*net.UDPAddr, list []Message) error {
	if x.closed {
		return net.ErrClosed
	}
	for _, m := range list {
		data, err := encode(m)
		if err != nil {
			return err
		}
		x.countDropped(m.Kind(), x.outbox.add(m, data, to, time.Now()))
	}
	return x.drain()
}

// countDropped counts copies that were not sent.
func (x *Exchange) countDropped(k Kind, copies int) {
	if copies > 0 {
		x.spec.OnDrop(k, copies)
	}
}

// minPause is the shortest time between two rounds of sending what waits, so that few of them are needed.
const minPause = 5 * time.Millisecond

// drain sends the copies that the bounds allow now, and arranges for the others. It returns the first error. The caller holds mu.
func (x *Exchange) drain() (err error) {
	now := time.Now()
	for _, k := range Kinds() {
		x.countDropped(k, x.outbox.expire(k, now))
	}
	for {
		d, ok, wait := x.outbox.next(now)
		if !ok {
			x.arrange(wait)
			return err
		}
		x.spec.OnSend(d.kind, len(d.data))
		if _, sendErr := x.conn.WriteToUDP(d.data, d.to); sendErr != nil && err == nil {
			err = fmt.Errorf("send message to peer %s: %w", d.to, sendErr)
		}
	}
}

// arrange calls drain after a time, or earlier if that was arranged before. A time of 0 stands for never. The caller holds mu.
func (x *Exchange) arrange(wait time.Duration) {
	if wait == 0 {
		return
	}
	wait = max(wait, minPause)
	at := time.Now().Add(wait)
	switch {
	case x.timer == nil:
		x.timer = time.AfterFunc(wait, x.wake)
	case !x.wakeAt.IsZero() && x.wakeAt.Before(at):
		return
	default:
		x.timer.Reset(wait)
	}
	x.wakeAt = at
}

// wake sends what has waited.
func (x *Exchange) wake() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wakeAt = time.Time{}
	if !x.closed {
		_ = x.drain() // the error concerns one of many copies
	}
}

// Close closes the port and ends receiving. Messages that still wait are lost.
func (x *Exchange) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	_ = x.conn.Close()
}

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
			if m.Minimum != nil && !m.Minimum.Answered {
				x.answerMinimum(*m.Minimum, from)
				continue
			}
			x.spec.Handle(m)
		}
	}
}

// answerMinimum answers a question about the minimum. The asking daemon may be new, so that its address is not that of a known daemon.
func (x *Exchange) answerMinimum(question Minimum, from *net.UDPAddr) {
	if x.spec.AnswerMinimum == nil {
		return
	}
	answer, ok := x.spec.AnswerMinimum(question)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.send([]*net.UDPAddr{from}, []Message{{Minimum: &answer}}) // the question is asked again, also of other daemons
}

// isPeer reports whether an address is that of a known daemon. Only such a daemon's messages about the store, estimates,
// duties and crashes are accepted, and only its messages are relayed.
func (x *Exchange) isPeer(from *net.UDPAddr) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers.known[from.String()]
}

// decode returns the valid messages of a datagram. It ignores datagrams that are not messages. If the sender is not a known
// daemon, it also drops messages about the store, with estimates, crashes, reports or a minimum, to be relayed, or in a batch.
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
		peerOnly := !inner.Revision.IsZero() || inner.Duty != nil || inner.Minimum != nil && inner.Minimum.Answered || inner.Relay || len(inner.Estimates) > 0 || len(inner.Crashes) > 0 || len(m.Batch) > 0
		return !inner.valid() || peerOnly && !fromPeer || inner.Relay && len(m.Batch) > 0
	})
}

// valid reports whether a message has a subject and values that are in range.
func (m *Message) valid() bool {
	if m.InUseFor < 0 || m.Age < 0 || m.Work < 0 || len(m.Batch) > 0 {
		return false
	}
	if m.Duty != nil {
		return m.Duty.From != "" && m.Duty.Waited >= 0
	}
	if m.Minimum != nil {
		return m.Minimum.From != "" && m.Minimum.Unsettled >= 0
	}
	if !m.Revision.IsZero() {
		return m.After.Compare(m.Revision) <= 0 && len(m.Changes) <= MaxChanges
	}
	return m.Service != "" || m.From != "" && (len(m.Estimates) > 0 || len(m.Crashes) > 0 && len(m.Crashes) <= MaxCrashes)
}
