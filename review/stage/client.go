package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, attempt string
	header                map[string]string
	body                  string
	deadline              time.Duration
}

// text returns the request as it is sent.
func (r *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n",
		r.method, r.path, r.attempt, r.deadline.Milliseconds(), apiKey)
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// answer is what a client got.
type answer struct {
	status   int // 0 for none
	seal     bool
	body     string
	complete bool
	close    bool // the connection will not be kept
	err      error
}

// String returns the answer as a line of the record has it.
func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case !a.complete:
		return fmt.Sprintf("%d, cut after %d bytes (%v)", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, complete, %d bytes", a.status, len(a.body))
}

// exchange sends a request on an open connection and reads the answer, until the deadline of the request.
func exchange(c net.Conn, in *bufio.Reader, r *request) (a answer) {
	_ = c.SetDeadline(time.Now().Add(r.deadline)) // fails on a closed connection, as does the write
	if _, err := io.WriteString(c, r.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(c, in, r)
}

// readAnswer reads the answer to a request that was sent, until its deadline from now on.
func readAnswer(c net.Conn, in *bufio.Reader, r *request) (a answer) {
	_ = c.SetDeadline(time.Now().Add(r.deadline)) // fails on a closed connection, as does the read
	resp, err := http.ReadResponse(in, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("X-Response-Seal") != "", body: string(body), complete: err == nil, close: resp.Close, err: err}
}

// ask sends a request on a connection of its own.
func ask(ctx context.Context, m *machine, r *request) answer {
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	c, err := m.dial(ctx)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	return exchange(c, bufio.NewReader(c), r)
}
