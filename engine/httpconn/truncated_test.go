package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadBytes is more than the buffers of a loopback connection hold, so that an upload is still being written when its response ends.
const uploadBytes = 8 << 20

// startEndpoint serves each connection with serve, which gets the request without its body, and returns the address.
func startEndpoint(t *testing.T, serve func(*net.TCPConn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for line := "start"; strings.TrimSpace(line) != ""; {
					if line, err = r.ReadString('\n'); err != nil {
						return
					}
				}
				serve(c.(*net.TCPConn), r)
			}()
		}
	}()
	return ln.Addr().String()
}

// exchangeBody sends a request with a body of n bytes and returns the body of the response.
func exchangeBody(t *testing.T, p *Pool, addr string, n int) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodPost, Host: "h", Target: "/", Header: http.Header{}, Body: make([]byte, n)})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a body without a length that counts as complete although its endpoint reset the connection during the upload.
func TestResetDuringUpload(t *testing.T) {
	for name, sent := range map[string]string{
		"before the answer":     "",
		"within the head":       "HTTP/1.1 200 OK\r\nA: b",
		"after the head":        "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
		"within the body":       "HTTP/1.1 200 OK\r\nA: b\r\n\r\npart of the bo",
		"after an interim head": "HTTP/1.1 103 Early Hints\r\n\r\n",
		"within a length":       "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart",
		"within chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", after ", pause), func(t *testing.T) {
				t.Parallel()
				addr := startEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
					_, _ = io.WriteString(c, sent)
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				for range 8 {
					if got, err := exchangeBody(t, newTestPool(), addr, uploadBytes); err == nil {
						t.Fatalf("a cut answer with body %q counts as complete", got)
					}
				}
			})
		}
	}
}

// Guards against a body without a length that counts as complete although its endpoint closed the connection without reading the request.
func TestCloseDuringUpload(t *testing.T) {
	for name, unread := range map[string]int64{"nothing read": uploadBytes, "half read": uploadBytes / 2} {
		for ending, halfClosed := range map[string]bool{"closed": false, "half closed": true} {
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				addr := startEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
					_, _ = io.CopyN(io.Discard, r, uploadBytes-unread)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
					if halfClosed {
						_ = c.CloseWrite()
						<-t.Context().Done()
					}
				})
				if got, err := exchangeBody(t, newTestPool(), addr, uploadBytes); err == nil {
					t.Errorf("a cut answer with body %q counts as complete", got)
				}
			})
		}
	}
}

// Guards against a complete body without a length that is rejected, with any size of the request.
func TestCloseAfterRequestIsComplete(t *testing.T) {
	for _, n := range []int{0, 1, maxInlineBody + 1, 100 << 10, uploadBytes} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			addr := startEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, r, int64(n))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of the body")
			})
			for range 8 {
				if got, err := exchangeBody(t, newTestPool(), addr, n); err != nil || got != "all of the body" {
					t.Fatalf("got %q, %v", got, err)
				}
			}
		})
	}
}

// Guards against an upload that ends with an early answer, and against other bytes where the rest of the upload is due.
func TestUploadGoesOnAfterEarlyAnswer(t *testing.T) {
	const length, chunks = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nearly", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n"
	for name, tc := range map[string]struct {
		first, last string
		whole       bool // the upload must arrive in full
	}{
		"length":                           {length, " late", true},
		"chunks":                           {chunks, "5\r\n late\r\n0\r\n\r\n", true},
		"length, answered before the body": {length + " late", "", false},
		"chunks, answered before the body": {chunks + "5\r\n late\r\n0\r\n\r\n", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faults := make(chan string, 8)
			addr := startEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				for {
					_, _ = io.WriteString(c, tc.first)
					if !tc.whole {
						time.Sleep(20 * time.Millisecond) // until the next request could be sent
					}
					body, err := io.ReadAll(io.LimitReader(r, uploadBytes))
					if strings.Trim(string(body), "\x00") != "" || tc.whole && len(body) < uploadBytes {
						faults <- fmt.Sprintf("got %d bytes of the upload, all of them its own: %t", len(body), strings.Trim(string(body), "\x00") == "")
					}
					_, _ = io.WriteString(c, tc.last)
					line := "start"
					for err == nil && strings.TrimSpace(line) != "" {
						line, err = r.ReadString('\n')
					}
					if err != nil {
						return
					}
				}
			})
			p := newTestPool()
			for range 3 {
				if got, err := exchangeBody(t, p, addr, uploadBytes); err != nil || got != "early late" {
					t.Fatalf("got %q, %v", got, err)
				}
			}
			select {
			case fault := <-faults:
				t.Error(fault)
			case <-time.After(100 * time.Millisecond):
			}
		})
	}
}

// Guards against a body without a length that counts as complete when it is read again after the reset was reported.
func TestResetIsReportedAgain(t *testing.T) {
	addr := startEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	resp, err := newTestPool().Do(t.Context(), addr, &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for range 3 {
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Fatal("a reset connection counts as the end of the body")
		}
	}
}

// Guards against a status outside 200 to 599 that is skipped like an interim one or passed on.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-00", "101", "600", "999", "1000", "20", "2x0"} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(fmt.Sprint(status, before != ""), func(t *testing.T) {
				text := before + "HTTP/1.1 " + status + " Status\r\nContent-Length: 0\r\n\r\n"
				addr := startEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) { _, _ = io.WriteString(c, text+okResponse("", "body")) })
				if got, err := exchangeBody(t, newTestPool(), addr, 0); err == nil {
					t.Errorf("got body %q and no error", got)
				}
			})
		}
	}
}

// Guards against a transport that accepts a response which was cut during the upload, or rejects one that is complete.
func TestTransportTellsCutFromComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		read  int64 // bytes of the request's body that the endpoint reads before it answers
		reset bool
		size  int
	}{
		"complete":                   {uploadBytes, false, uploadBytes},
		"complete, short":            {5, false, 5},
		"complete, without a body":   {0, false, 0},
		"reset during the upload":    {0, true, uploadBytes},
		"closed during the upload":   {0, false, uploadBytes},
		"reset after half of it":     {uploadBytes / 2, true, uploadBytes},
		"reset without an upload":    {0, true, 0},
		"reset after a short upload": {5, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, r, tc.read)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
				if tc.reset {
					time.Sleep(5 * time.Millisecond)
					_ = c.SetLinger(0)
				}
			})
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			whole := !tc.reset && tc.read == int64(tc.size)
			for range 8 {
				resp, err := client.Post("http://"+addr, "", strings.NewReader(strings.Repeat("u", tc.size)))
				var data []byte
				if err == nil {
					data, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				if (err == nil) != whole || whole && string(data) != "body" {
					t.Fatalf("got %q, %v; want a complete response: %t", data, err, whole)
				}
			}
		})
	}
}
