package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pipePool returns a pool whose connections have no buffers of their own: what an endpoint has written, the pool has read.
func pipePool(limits Limits, serve func(net.Conn)) *Pool {
	return New(Spec{MaxIdle: 4, IdleTimeout: time.Minute, Now: time.Now, Limits: limits, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far)
		return near, nil
	}})
}

// readRequest reads the head of a request without a body.
func readRequest(c net.Conn) error {
	var seen []byte
	buf := make([]byte, 4<<10)
	for !strings.HasSuffix(string(seen), "\r\n\r\n") {
		n, err := c.Read(buf)
		if err != nil {
			return err
		}
		seen = append(seen, buf[:n]...)
	}
	return nil
}

// flood writes a beginning and then a part again and again until the other end closes, and returns the number of bytes.
func flood(c net.Conn, begin, part string) int64 {
	total := int64(0)
	for text := begin; ; text = part {
		n, err := io.WriteString(c, text)
		total += int64(n)
		if err != nil {
			return total
		}
	}
}

// floods are answers of which a part never ends.
var floods = map[string]struct{ begin, part string }{
	"status line":     {"HTTP/1.1 200 ", "OK"},
	"no HTTP at all":  {"", "\x00\x01garbage"},
	"one header":      {"HTTP/1.1 200 OK\r\nX: ", "value"},
	"name of header":  {"HTTP/1.1 200 OK\r\n", "name"},
	"many headers":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"folded header":   {"HTTP/1.1 200 OK\r\nX: y\r\n", " more\r\n"},
	"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"blank lines":     {"", "\r\n"},
	"foreign body":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"foreign bytes":   {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
	"foreign length":  {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n", "body"},
	"trailers":        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4;", "ext"},
}

func mine(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return r.Header.Get("Id") == id }
}

// Guards against an endpoint that sends a head, or an answer to another request, without end: the daemon would read until
// the deadline and hold all of it.
func TestAnswerWithoutEnd(t *testing.T) {
	limits := Limits{HeadBytes: 4 << 10, HeadLines: 64, ForeignBytes: 8 << 10}
	for name, f := range floods {
		most := int64(limits.HeadBytes) + readBuffer + lineBuffer
		if strings.HasPrefix(name, "foreign") {
			most += limits.ForeignBytes
		}
		t.Run(name, func(t *testing.T) {
			sent := make(chan int64, 1)
			p := pipePool(limits, func(c net.Conn) {
				if readRequest(c) == nil {
					sent <- flood(c, f.begin, f.part)
				}
			})
			_, err := p.Do(t.Context(), "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}, Mine: mine("own")})
			if err == nil {
				t.Fatal("an answer that never begins was returned")
			}
			if n := <-sent; n > most {
				t.Errorf("the endpoint could send %d bytes, more than %d", n, most)
			}
		})
	}
}

// Guards against limits that count bytes of the body, or of earlier exchanges on the same connection.
func TestLimitsAreForHeadsOfOneExchange(t *testing.T) {
	body := strings.Repeat("line\n", 4000)
	p := pipePool(Limits{HeadBytes: 512, HeadLines: 8}, func(c net.Conn) {
		for readRequest(c) == nil {
			if _, err := io.WriteString(c, whole("own", body)); err != nil {
				return
			}
		}
	})
	for range 20 {
		resp, err := p.Do(t.Context(), "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}, Mine: mine("own")})
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(got) != body {
			t.Fatalf("%d bytes of %d, %v", len(got), len(body), err)
		}
	}
}

// Guards against memory that hundreds of broken endpoints take together: each holds an exchange just below the limits.
func TestMemoryOfHeadsWithoutEnd(t *testing.T) {
	const connections, perExchange = 300, 64 << 10
	for _, name := range []string{"status line", "one header", "many headers", "interim answers"} {
		f := floods[name]
		t.Run(name, func(t *testing.T) {
			var stopped atomic.Int64
			stop := make(chan struct{})
			p := pipePool(Limits{}, func(c net.Conn) {
				if readRequest(c) != nil {
					return
				}
				// Stops short of the limits, so that the exchange goes on.
				parts := min(DefaultLimits.HeadBytes/len(f.part), DefaultLimits.HeadLines/2) - 8
				if !strings.Contains(f.part, "\n") {
					parts = DefaultLimits.HeadBytes/len(f.part) - 8
				}
				_, err := io.WriteString(c, f.begin+strings.Repeat(f.part, parts))
				if err == nil {
					stopped.Add(1)
				}
				<-stop
				_ = c.Close()
			})
			before := heap()
			var wg sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan error, connections)
			for range connections {
				wg.Go(func() {
					_, err := p.Do(ctx, "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
					failed <- err
				})
			}
			for stopped.Load() < connections {
				select {
				case err := <-failed:
					t.Fatalf("an exchange below the limits ended: %v", err)
				default:
					runtime.Gosched()
				}
			}
			if each := (heap() - before) / connections; each > perExchange {
				t.Errorf("%d bytes for an exchange, the limit is %d", each, perExchange)
			}
			cancel()
			close(stop)
			wg.Wait()
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an error that does not tell what was wrong with the answer.
func TestTooLargeIsNamed(t *testing.T) {
	p := pipePool(Limits{HeadBytes: 256}, func(c net.Conn) {
		if readRequest(c) == nil {
			flood(c, "HTTP/1.1 200 OK\r\nX: ", "value")
		}
	})
	_, err := p.Do(t.Context(), "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
}
