package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// addressedConn is a connection from an address that remembers whether it was closed.
type addressedConn struct {
	net.Conn
	addr   net.TCPAddr
	closed bool
}

func (c *addressedConn) RemoteAddr() net.Addr { return &c.addr }
func (c *addressedConn) Close() error         { c.closed = true; return nil }

func connFrom(ip string) *addressedConn {
	return &addressedConn{addr: net.TCPAddr{IP: net.ParseIP(ip), Port: 5000}}
}

// Guards against strangers that push out the connections of daemons, and against connections that stay counted.
func TestConnectionsOfStrangersAreBounded(t *testing.T) {
	b := newInbound()
	b.setHosts([]hostlist.Host{{ID: "d1", Role: hostlist.RoleEntry, Addr: "10.0.0.1:8081"}, {ID: "e1", Role: hostlist.RoleEndpoint, Addr: "10.0.0.2:80"}})
	daemon := connFrom("10.0.0.1")
	if slots, reason := b.add(daemon); reason != "" || cap(slots) != listedSlots {
		t.Errorf("a daemon gets %d slots, reason %q", cap(slots), reason)
	}
	var strangers []*addressedConn
	for n := range 3 * maxUnlisted {
		c := connFrom(fmt.Sprintf("10.0.0.%d", 2+n%2))
		if slots, reason := b.add(c); (reason != "") != (n >= maxUnlisted) || cap(slots) != unlistedSlots {
			t.Errorf("stranger %d gets %d slots, reason %q", n, cap(slots), reason)
		}
		strangers = append(strangers, c)
	}
	for n, c := range strangers {
		if want := n < 2*maxUnlisted; c.closed != want {
			t.Errorf("stranger %d is closed: %t", n, c.closed)
		}
	}
	if daemon.closed || len(b.conns) != 1+maxUnlisted {
		t.Errorf("%d connections, that of the daemon is closed: %t", len(b.conns), daemon.closed)
	}
	b.setHosts([]hostlist.Host{{ID: "d2", Role: hostlist.RoleEntry, Addr: "10.0.0.2:8081"}})
	if len(b.unlisted) != maxUnlisted/2 {
		t.Errorf("%d connections of strangers after half of them were listed", len(b.unlisted))
	}
	for _, c := range append(strangers, daemon) {
		b.remove(c)
	}
	if len(b.conns)+len(b.unlisted) != 0 {
		t.Errorf("%d connections are left", len(b.conns))
	}
}

// FuzzMessageReader guards against reading that differs from that of package gob, and against memory for lengths that are only announced.
func FuzzMessageReader(f *testing.F) {
	var valid bytes.Buffer
	if err := gob.NewEncoder(&valid).Encode(DigestArgs{ID: "d1", Docs: []DocumentID{{Name: "a", Number: 300}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xfc, 0, 0xff, 0xff, 0xff, 1, 2, 3})
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		r := &messageReader{source: bytes.NewReader(data), conn: near, remaining: maxMessageBytes}
		var out bytes.Buffer
		_, err := io.Copy(&out, r)
		if !bytes.HasPrefix(data, out.Bytes()) {
			t.Errorf("read %x of %x", out.Bytes(), data)
		}
		if err == nil && out.Len() != len(data) {
			t.Errorf("read %d of %d bytes without an error", out.Len(), len(data))
		}
	})
}
