package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// hijacked starts an engine as Start does, opens a connection, sends a request and returns both ends of it.
func hijacked(t *testing.T) (server, caller net.Conn) {
	t.Helper()
	conns := make(chan net.Conn, 1)
	var addr string
	e := nbhttp.NewEngine(nbhttp.Config{
		Name: "test", Network: "tcp", Addrs: []string{"127.0.0.1:0"}, IOMod: nbhttp.IOModBlocking, BlockingReadBufferSize: readBufferSize,
		Listen: func(network, a string) (net.Listener, error) {
			ln, err := net.Listen(network, a)
			if err == nil {
				addr = ln.Addr().String()
			}
			return ln, err
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			conns <- conn
		}),
	})
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Shutdown(context.Background()) })
	caller, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	server = <-conns
	t.Cleanup(func() { _ = server.Close() })
	if err := server.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	return server, caller
}

// Guards against a library that hides a caller's departure from a hijacked connection: the pending read must return and
// writes must fail.
func TestHijackedConnectionReportsDeparture(t *testing.T) {
	server, caller := hijacked(t)
	left := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		left <- err
	}()
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-left; err == nil {
		t.Error("a read returned data after the caller left")
	}
	for n := 0; ; n++ { // the first write may still reach the kernel's buffer
		if _, err := server.Write([]byte("x")); err != nil {
			break
		}
		if n > 1<<20 {
			t.Fatal("writes to a closed connection succeed")
		}
	}
}

// Guards against a write that ignores its deadline, or that buffers without limit, while the caller reads nothing.
func TestHijackedConnectionBlocksAndTimesOut(t *testing.T) {
	server, _ := hijacked(t)
	limitSendBuffer(server)
	if err := server.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	const most = 64 << 20
	var sent int
	var err error
	for buf := make([]byte, 64<<10); err == nil && sent < most; {
		var n int
		n, err = server.Write(buf)
		sent += n
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes written, error %v; want a deadline error", sent, err)
	}
}

// Guards against requests whose header or body fills the memory, and against idle connections that stay for ever.
func TestConnectionLimits(t *testing.T) {
	s := New(Spec{Addr: "127.0.0.1:0", MaxConnections: 10, IdleTimeout: time.Second})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	header := func(length int) string {
		return fmt.Sprintf("POST /unknown HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
	}
	for name, request := range map[string]io.Reader{
		"header": io.MultiReader(bytes.NewReader([]byte("GET / HTTP/1.1\r\nX: ")), bytes.NewReader(bytes.Repeat([]byte("a"), 2*maxReadBytes))),
		"body":   io.MultiReader(bytes.NewReader([]byte(header(2*maxReadBytes))), bytes.NewReader(make([]byte, 2*maxReadBytes))),
		"idle":   bytes.NewReader([]byte(header(0))),
	} {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(conn, request) // the server may close the connection before the end
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			if name != "idle" && resp.StatusCode < 400 {
				t.Errorf("%s: status %d", name, resp.StatusCode)
			}
		}
		if _, err := in.ReadByte(); err == nil { // returns when the server closes the connection
			t.Errorf("%s: the connection carries more data", name)
		}
		_ = conn.Close()
	}
}
