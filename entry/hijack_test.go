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

	"github.com/bramleytrail/bramleytrail/intake"
)

// hijackedConn starts a server with the connections of Server.Start, sends a request whose handler hijacks the connection, and returns both
// ends of the connection.
func hijackedConn(t *testing.T) (server, caller net.Conn) {
	t.Helper()
	conns := make(chan net.Conn, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gated := newGatedListener(ln, newGate(intake.Limits{}, func() Limits { return Limits{} }, nil), 1)
	e := &http.Server{ConnContext: connContext, ConnState: connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		conns <- conn
	})}
	go func() { _ = e.Serve(gated) }() // returns http.ErrServerClosed after Close
	t.Cleanup(func() { _ = e.Close() })
	caller, err = net.Dial("tcp", ln.Addr().String())
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

// Guards against a closed connection that is hidden after Hijack: a blocked read must return an error, and
// writes must fail.
func TestHijackedConnectionReportsDeparture(t *testing.T) {
	server, caller := hijackedConn(t)
	readErr := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		readErr <- err
	}()
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-readErr; err == nil {
		t.Error("a read returned no error after the caller closed the connection")
	}
	for n := 0; ; n++ { // the first writes may still reach the kernel's buffer
		if _, err := server.Write([]byte("x")); err != nil {
			break
		}
		if n > 1<<20 {
			t.Fatal("writes to a closed connection still succeed")
		}
	}
}

// Guards against writes after Hijack that ignore their deadline, or buffer without limit, while the caller
// reads nothing.
func TestHijackedConnectionBlocksAndTimesOut(t *testing.T) {
	server, _ := hijackedConn(t)
	limitSendBuffer(server)
	if err := server.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	const maxSent = 64 << 20
	var sent int
	var err error
	for buf := make([]byte, 64<<10); err == nil && sent < maxSent; {
		var n int
		n, err = server.Write(buf)
		sent += n
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes written, error %v; want %v", sent, err, os.ErrDeadlineExceeded)
	}
}

// Guards against headers and bodies without a size limit, which could exhaust the memory, and against idle connections that
// are never closed.
func TestConnectionLimits(t *testing.T) {
	s := New(Spec{Addr: "127.0.0.1:0", MaxConnections: 10, IdleTimeout: time.Second})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	const tooManyBytes = maxBodyBytes + maxHeaderBytes
	header := func(length int) string {
		return fmt.Sprintf("POST /unknown HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
	}
	for name, request := range map[string]io.Reader{
		"header": io.MultiReader(bytes.NewReader([]byte("GET / HTTP/1.1\r\nX: ")), bytes.NewReader(bytes.Repeat([]byte("a"), 2*tooManyBytes))),
		"body":   io.MultiReader(bytes.NewReader([]byte(header(2*tooManyBytes))), bytes.NewReader(make([]byte, 2*tooManyBytes))),
		"idle":   bytes.NewReader([]byte(header(0))),
	} {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(conn, request) // fails if the server closes the connection first
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			if name != "idle" && resp.StatusCode < 400 {
				t.Errorf("%s: status %d, want an error status", name, resp.StatusCode)
			}
		}
		if _, err := reader.ReadByte(); err == nil { // returns when the server closes the connection
			t.Errorf("%s: the server sent more data instead of closing the connection", name)
		}
		_ = conn.Close()
	}
}
