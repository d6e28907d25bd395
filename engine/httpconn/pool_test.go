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

// server answers requests with texts from a function that gets the numbers of the connection and of the request on it.
// An empty text closes the connection.
type server struct {
	net.Listener
	requests chan string // ID of each request, in the order of arrival
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

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newTestPool() *Pool {
	return New(Spec{Dial: (&net.Dialer{}).DialContext, MaxIdle: 4, IdleTimeout: time.Minute, Now: time.Now})
}

func get(p *Pool, s *server, id string, newConn bool) (string, error) {
	resp, err := p.Do(context.Background(), s.Addr().String(), &Request{
		Method: http.MethodGet, Host: "h", Target: "/x", Header: http.Header{"Id": {id}}, NewConn: newConn,
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a request that the client resends on its own after its connection turned out to be closed.
func TestNoRequestIsSentTwice(t *testing.T) {
	s := newServer(t, func(_, n int, id string) string {
		if n == 2 {
			return ""
		}
		return okResponse(id, "body")
	})
	p := newTestPool()
	if _, err := get(p, s, "one", false); err != nil {
		t.Fatal(err)
	}
	if _, err := get(p, s, "two", false); err == nil {
		t.Error("a request whose connection was closed got a response")
	}
	close(s.requests)
	seen := map[string]int{}
	for id := range s.requests {
		seen[id]++
	}
	if seen["two"] != 1 {
		t.Errorf("the request arrived %d times, want once", seen["two"])
	}
}

// Guards against treating the late response to an earlier request as the response to this one.
func TestForeignAnswer(t *testing.T) {
	s := newServer(t, func(_, n int, id string) string {
		switch n {
		case 1:
			return okResponse(id, "first")
		case 2:
			return okResponse("one", "extra") + okResponse(id, "second")
		default:
			return okResponse("a", "x") + okResponse("b", "y")
		}
	})
	p := newTestPool()
	for i, want := range []string{"first", "second"} {
		if got, err := get(p, s, []string{"one", "two"}[i], false); err != nil || got != want {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
	if _, err := get(p, s, "three", false); !IsMismatch(err) {
		t.Errorf("two responses to other requests: got error %v, want a mismatch", err)
	}
}

// Guards against bytes after a complete response that are read as the response to the next request.
func TestBytesAfterAnswer(t *testing.T) {
	s := newServer(t, func(_, n int, id string) string {
		if n == 1 {
			return okResponse(id, "body") + "garbage"
		}
		return okResponse(id, "body")
	})
	p := newTestPool()
	for _, id := range []string{"one", "two", "three"} {
		if got, err := get(p, s, id, false); err != nil || got != "body" {
			t.Errorf("%s: %q, %v", id, got, err)
		}
	}
}

// Guards against reusing an idle connection that its endpoint has closed.
func TestClosedConnectionNotUsed(t *testing.T) {
	s := newServer(t, func(_, _ int, id string) string { return okResponse(id, "body") })
	p := newTestPool()
	if _, err := get(p, s, "one", false); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	c := p.idle[s.Addr().String()][0]
	p.mu.Unlock()
	_ = c.Conn.(*net.TCPConn).CloseRead()
	if isIdle(c.Conn) {
		t.Error("a connection whose read side is closed is treated as open")
	}
	if got, err := get(p, s, "two", false); err != nil || got != "body" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Guards against reusing a connection for a request that requires a new one.
func TestRequestWithNewConn(t *testing.T) {
	s := newServer(t, func(conn, _ int, id string) string { return okResponse(id, fmt.Sprint(conn)) })
	p := newTestPool()
	for i, newConn := range []bool{false, false, true} {
		want := []string{"1", "1", "2"}[i]
		if got, err := get(p, s, fmt.Sprint(i), newConn); err != nil || got != want {
			t.Errorf("request %d used connection %q, error %v; want connection %s", i, got, err, want)
		}
	}
}

// Guards against reusing a connection after an early response, while the rest of the request body has not been sent.
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
				_, _ = io.WriteString(c, okResponse("", "early")) // the test reads it
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
		t.Errorf("%d idle connections kept whose request body was not sent completely", n)
	}
	(<-accepted).Close()
}

// Guards against an exchange that waits for the endpoint after its caller has left.
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
		t.Errorf("got error %v, want the cause of the cancelled context", err)
	}
}

// Guards against a failure to connect that is reported like a request that may have run.
func TestDialError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	var dial *DialError
	if _, err := newTestPool().Do(context.Background(), addr, &Request{Method: http.MethodGet, Host: "h", Target: "/"}); !errors.As(err, &dial) {
		t.Errorf("got error %v, want a *DialError", err)
	}
}
