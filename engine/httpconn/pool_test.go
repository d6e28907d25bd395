package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// server answers each request on a connection with what answer returns for its number; an empty answer closes the
// connection.
type server struct {
	net.Listener
	requests chan string // identity of each request
}

func newServer(t *testing.T, answer func(conn, request int, id string) string) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln, make(chan string, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for conn := 1; ; conn++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, conn, answer)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, conn int, answer func(conn, request int, id string) string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Id")
		s.requests <- id
		text := answer(conn, n, id)
		if _, err := io.WriteString(c, text); err != nil || text == "" {
			return
		}
	}
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newTestPool() *Pool {
	return New(Spec{Dial: (&net.Dialer{}).DialContext, MaxIdle: 4, IdleTimeout: time.Minute, Now: time.Now})
}

func get(p *Pool, s *server, id string, fresh bool) (string, error) {
	resp, err := p.Do(context.Background(), s.Addr().String(), &Request{
		Method: http.MethodGet, Host: "h", Target: "/x", Header: http.Header{"Id": {id}}, Fresh: fresh,
		Mine: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a request that is sent again by itself after its connection turned out to be closed.
func TestNoRequestIsSentTwice(t *testing.T) {
	s := newServer(t, func(_, n int, id string) string {
		if n == 2 {
			return ""
		}
		return whole(id, "body")
	})
	p := newTestPool()
	if _, err := get(p, s, "one", false); err != nil {
		t.Fatal(err)
	}
	if _, err := get(p, s, "two", false); err == nil {
		t.Error("a request whose connection was closed has an answer")
	}
	close(s.requests)
	seen := map[string]int{}
	for id := range s.requests {
		seen[id]++
	}
	if seen["two"] != 1 {
		t.Errorf("the request arrived %d times", seen["two"])
	}
}

// Guards against the late answer to an earlier request that is taken for the answer to this one.
func TestForeignAnswer(t *testing.T) {
	s := newServer(t, func(_, n int, id string) string {
		switch n {
		case 1:
			return whole(id, "first")
		case 2:
			return whole("one", "extra") + whole(id, "second")
		default:
			return whole("a", "x") + whole("b", "y")
		}
	})
	p := newTestPool()
	for i, want := range []string{"first", "second"} {
		if got, err := get(p, s, []string{"one", "two"}[i], false); err != nil || got != want {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
	if _, err := get(p, s, "three", false); !IsForeign(err) {
		t.Errorf("two answers to other requests: %v", err)
	}
}

// Guards against bytes after a whole answer that are read as the answer to the next request.
func TestBytesAfterAnswer(t *testing.T) {
	s := newServer(t, func(_, n int, id string) string {
		if n == 1 {
			return whole(id, "body") + "garbage"
		}
		return whole(id, "body")
	})
	p := newTestPool()
	for _, id := range []string{"one", "two", "three"} {
		if got, err := get(p, s, id, false); err != nil || got != "body" {
			t.Errorf("%s: %q, %v", id, got, err)
		}
	}
}

// Guards against a kept connection that was closed by its endpoint and is used again.
func TestClosedConnectionNotUsed(t *testing.T) {
	s := newServer(t, func(_, _ int, id string) string { return whole(id, "body") })
	p := newTestPool()
	if _, err := get(p, s, "one", false); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	c := p.idle[s.Addr().String()][0]
	p.mu.Unlock()
	_ = c.Conn.(*net.TCPConn).CloseRead()
	if quiet(c.Conn) {
		t.Error("a connection whose reading side is closed counts as open")
	}
	if got, err := get(p, s, "two", false); err != nil || got != "body" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against a connection that was used before where a new one is asked for.
func TestFreshConnection(t *testing.T) {
	s := newServer(t, func(conn, _ int, id string) string { return whole(id, fmt.Sprint(conn)) })
	p := newTestPool()
	for i, fresh := range []bool{false, false, true} {
		want := []string{"1", "1", "2"}[i]
		if got, err := get(p, s, fmt.Sprint(i), fresh); err != nil || got != want {
			t.Errorf("request %d on connection %q, %v, want %s", i, got, err, want)
		}
	}
}

// Guards against an early answer after which the connection is used while the rest of the body is due.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
			if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
				_, _ = io.WriteString(c, whole("", "early")) // the test reads it
			}
		}
	}()
	p := newTestPool()
	resp, err := p.Do(context.Background(), ln.Addr().String(), &Request{Method: http.MethodPost, Host: "h", Target: "/", Body: []byte(strings.Repeat("b", 32<<20))})
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || string(data) != "early" {
		t.Errorf("got %q, %v", data, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle[ln.Addr().String()]); n != 0 {
		t.Errorf("%d connections kept whose request was not sent whole", n)
	}
	(<-accepted).Close()
}

// Guards against a caller that waits for an endpoint after it has left.
func TestContextEndsExchange(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	s := newServer(t, func(int, int, string) string { <-block; return "" })
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("caller left")
	go func() {
		<-s.requests
		cancel(cause)
	}()
	_, err := newTestPool().Do(ctx, s.Addr().String(), &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
	if !errors.Is(err, cause) {
		t.Errorf("got %v", err)
	}
}

// Guards against a failure to connect that is taken for a request that may have run.
func TestDialError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	var dial *DialError
	if _, err := newTestPool().Do(context.Background(), addr, &Request{Method: http.MethodGet, Host: "h", Target: "/"}); !errors.As(err, &dial) {
		t.Errorf("got %v", err)
	}
}
