// Package notice sends short one-way messages between daemons as datagrams. A lost one costs little and none is answered,
// so that net/rpc, which waits for replies on connections, does not fit.
package notice

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// maxBytes bounds a message. It fits in one datagram on every link.
const maxBytes = 512

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
	// Session is in use on the old version for the given time.
	Session uint64        `msgpack:"n,omitempty"`
	For     time.Duration `msgpack:"t,omitempty"`
}

// Exchange sends and receives messages.
type Exchange struct {
	conn    *net.UDPConn
	receive func(Message)

	mu    sync.Mutex
	peers []*net.UDPAddr
}

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

// SetPeers replaces the addresses of the other daemons. Those that are no address are left out.
func (x *Exchange) SetPeers(addrs []string) {
	var peers []*net.UDPAddr
	for _, a := range addrs {
		if udp, err := net.ResolveUDPAddr("udp4", a); err == nil && a != x.Addr() {
			peers = append(peers, udp)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
}

// Send sends a message to all other daemons. The first error is returned; the others get the message all the same.
func (x *Exchange) Send(m Message) error {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > maxBytes {
		return fmt.Errorf("message of %d bytes, the limit is %d", len(data), maxBytes)
	}
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	for _, p := range peers {
		if _, sendErr := x.conn.WriteToUDP(data, p); sendErr != nil && err == nil {
			err = fmt.Errorf("send message: %w", sendErr)
		}
	}
	return err
}

// Close closes the port.
func (x *Exchange) Close() { _ = x.conn.Close() }

func (x *Exchange) run() {
	buf := make([]byte, maxBytes)
	for {
		n, _, err := x.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of one datagram, such as a peer that is gone
		}
		if m, ok := decode(buf[:n]); ok {
			x.receive(m)
		}
	}
}

// decode reads a message. Bytes of others are passed over.
func decode(data []byte) (Message, bool) {
	var m Message
	if err := msgpack.Unmarshal(data, &m); err != nil || m.Service == "" || m.For < 0 || m.Age < 0 {
		return Message{}, false
	}
	return m, true
}
