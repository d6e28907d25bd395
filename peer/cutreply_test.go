package peer

import (
	"bytes"
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/poison"
)

// recordedConn keeps a copy of what was read.
type recordedConn struct {
	net.Conn
	mu   sync.Mutex
	read bytes.Buffer
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.Write(p[:n])
	return n, err
}

// replayConn is a connection that delivers fixed bytes after the first write and ends.
type replayConn struct {
	net.Conn
	sent chan struct{}
	once sync.Once
	data *bytes.Reader
}

func (c *replayConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.sent) })
	return len(p), nil
}
func (c *replayConn) Read(p []byte) (int, error) { <-c.sent; return c.data.Read(p) }
func (c *replayConn) Close() error               { return nil }

// Guards against a reply of a peer that is used although its connection ended within it.
func TestReplyCutAtAnyByte(t *testing.T) {
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nopHandler{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Offer(Document{DocumentID: DocumentID{Name: "config", Number: 7, Digest: strings.Repeat("f", 64)}}); err != nil {
		t.Fatal(err)
	}
	for name, connect := range map[string]func(net.Conn) *rpc.Client{
		"compressed":   func(c net.Conn) *rpc.Client { return rpc.NewClientWithCodec(newClientCodec(c, nil)) },
		"uncompressed": func(c net.Conn) *rpc.Client { return rpc.NewClient(c) },
	} {
		t.Run(name, func(t *testing.T) {
			args := DigestArgs{From: "b"}
			a, b := net.Pipe()
			var wg sync.WaitGroup
			wg.Go(func() { n.server.ServeCodec(serverCodec{newCodec(b, nil)}) })
			recorded := &recordedConn{Conn: a}
			c := connect(recorded)
			var whole DigestReply
			if err := c.Call(serviceName+".Digest", args, &whole); err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
			wg.Wait()
			recorded.mu.Lock()
			data := bytes.Clone(recorded.read.Bytes())
			recorded.mu.Unlock()
			cut := 0
			for size := range len(data) {
				c := connect(&replayConn{sent: make(chan struct{}), data: bytes.NewReader(data[:size])})
				var got DigestReply
				if err := c.Call(serviceName+".Digest", args, &got); err != nil {
					cut++
				} else if !reflect.DeepEqual(got, whole) {
					t.Errorf("%d of %d bytes give the reply %+v, want %+v", size, len(data), got, whole)
				}
				_ = c.Close()
			}
			if cut < len(data)/2 || reflect.DeepEqual(whole, DigestReply{}) {
				t.Errorf("%d of %d cut replies are errors; the whole reply is %+v", cut, len(data), whole)
			}
		})
	}
}
