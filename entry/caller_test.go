package entry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"testing"
	"time"
)

// countingConn is a connection that counts writes and stores what was written.
type countingConn struct {
	net.Conn
	writes int
	sent   bytes.Buffer
}

func (c *countingConn) Write(p []byte) (int, error)        { c.writes++; return c.sent.Write(p) }
func (c *countingConn) SetWriteDeadline(_ time.Time) error { return nil }

// Guards against several small packets for one event, and against events that stay in a buffer.
func TestEventIsOneWrite(t *testing.T) {
	conn := &countingConn{}
	c := &streamCaller{conn: conn, stallTimeout: time.Minute, aborted: &atomic.Bool{}}
	if err := c.Begin(http.StatusOK, http.Header{}); err != nil {
		t.Fatal(err)
	}
	for i, size := range []int{300, chunkBufferSize / 2, 1} {
		before := conn.writes
		conn.sent.Reset()
		event := bytes.Repeat([]byte{byte('a' + i)}, size)
		if _, err := c.Write(event); err != nil {
			t.Fatal(err)
		}
		if n := conn.writes - before; n != 1 {
			t.Errorf("an event of %d bytes took %d writes", size, n)
		}
		if got, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(&conn.sent), int64(size))); err != nil || !bytes.Equal(got, event) {
			t.Errorf("an event of %d bytes: %d bytes were sent, or they differ; error %v", size, len(got), err)
		}
	}
}

// BenchmarkEventToCaller measures the write of a 300-byte event to a loopback connection.
func BenchmarkEventToCaller(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		if conn, err := ln.Accept(); err == nil {
			_, _ = io.Copy(io.Discard, conn) // returns when the connection is closed
		}
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	c := &streamCaller{conn: conn, stallTimeout: time.Minute, aborted: &atomic.Bool{}}
	if err := c.Begin(http.StatusOK, http.Header{}); err != nil {
		b.Fatal(err)
	}
	event := bytes.Repeat([]byte("a"), 300)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(event); err != nil {
			b.Fatal(err)
		}
	}
}
