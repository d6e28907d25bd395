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

// pipePool returns a pool whose connections are unbuffered pipes: bytes that an endpoint has written have been read by
// the pool.
func pipePool(limits Limits, serve func(net.Conn)) *Pool {
	return New(Spec{MaxIdle: 4, IdleTimeout: time.Minute, Now: time.Now, Limits: limits, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far)
		return near, nil
	}})
}

// readRequest reads a request without a body.
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

// flood writes start and then repeats a text until the other end closes. It returns the number of bytes written.
func flood(c net.Conn, start, repeated string) int64 {
	total := int64(0)
	for text := start; ; text = repeated {
		n, err := io.WriteString(c, text)
		total += int64(n)
		if err != nil {
			return total
		}
	}
}

// endlessResponses are responses of which some part never ends: start, followed by a text that is repeated forever.
var endlessResponses = map[string]struct{ start, repeated string }{
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

func hasID(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return r.Header.Get("Id") == id }
}

// Guards against an endpoint that sends an endless header, or an endless response to another request: the daemon would
// read until the deadline and keep all of it in memory.
func TestAnswerWithoutEnd(t *testing.T) {
	limits := Limits{HeaderBytes: 4 << 10, HeaderLines: 64, DiscardBytes: 8 << 10}
	for name, f := range endlessResponses {
		maxSent := int64(limits.HeaderBytes) + readBufSize + lineBufSize
		if strings.HasPrefix(name, "foreign") {
			maxSent += limits.DiscardBytes
		}
		t.Run(name, func(t *testing.T) {
			sent := make(chan int64, 1)
			p := pipePool(limits, func(c net.Conn) {
				if readRequest(c) == nil {
					sent <- flood(c, f.start, f.repeated)
				}
			})
			_, err := p.Do(t.Context(), "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}, Matches: hasID("own")})
			if err == nil {
				t.Fatal("Do returned a response whose header never ended")
			}
			if n := <-sent; n > maxSent {
				t.Errorf("the endpoint could send %d bytes, want at most %d", n, maxSent)
			}
		})
	}
}

// Guards against header limits that also count bytes of the body, or of earlier exchanges on the same connection.
func TestLimitsCountHeadersOfOneExchange(t *testing.T) {
	body := strings.Repeat("line\n", 4000)
	p := pipePool(Limits{HeaderBytes: 512, HeaderLines: 8}, func(c net.Conn) {
		for readRequest(c) == nil {
			if _, err := io.WriteString(c, okResponse("own", body)); err != nil {
				return
			}
		}
	})
	for range 20 {
		resp, err := p.Do(t.Context(), "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}, Matches: hasID("own")})
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(got) != body {
			t.Fatalf("read %d of %d body bytes, error %v", len(got), len(body), err)
		}
	}
}

// Guards against memory exhaustion by hundreds of faulty endpoints, each of which keeps an exchange open just below the
// limits.
func TestMemoryOfHeadsWithoutEnd(t *testing.T) {
	const connections, perExchange = 300, 64 << 10
	for _, name := range []string{"status line", "one header", "many headers", "interim answers"} {
		f := endlessResponses[name]
		t.Run(name, func(t *testing.T) {
			var waiting atomic.Int64
			stop := make(chan struct{})
			p := pipePool(Limits{}, func(c net.Conn) {
				if readRequest(c) != nil {
					return
				}
				// Stops just below the limits, so that the exchange stays open.
				parts := min(DefaultLimits.HeaderBytes/len(f.repeated), DefaultLimits.HeaderLines/2) - 8
				if !strings.Contains(f.repeated, "\n") {
					parts = DefaultLimits.HeaderBytes/len(f.repeated) - 8
				}
				_, err := io.WriteString(c, f.start+strings.Repeat(f.repeated, parts))
				if err == nil {
					waiting.Add(1)
				}
				<-stop
				_ = c.Close()
			})
			before := heapBytes()
			var wg sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan error, connections)
			for range connections {
				wg.Go(func() {
					_, err := p.Do(ctx, "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
					failed <- err
				})
			}
			for waiting.Load() < connections {
				select {
				case err := <-failed:
					t.Fatalf("an exchange below the limits failed: %v", err)
				default:
					runtime.Gosched()
				}
			}
			if each := (heapBytes() - before) / connections; each > perExchange {
				t.Errorf("an exchange uses %d bytes, want at most %d", each, perExchange)
			}
			cancel()
			close(stop)
			wg.Wait()
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an error by which callers can't recognize a response that exceeds the limits.
func TestTooLargeErrorIsIdentifiable(t *testing.T) {
	p := pipePool(Limits{HeaderBytes: 256}, func(c net.Conn) {
		if readRequest(c) == nil {
			flood(c, "HTTP/1.1 200 OK\r\nX: ", "value")
		}
	})
	_, err := p.Do(t.Context(), "endpoint", &Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
	if !errors.Is(err, ErrResponseTooLarge) {
		t.Errorf("got error %v, want ErrResponseTooLarge", err)
	}
}
