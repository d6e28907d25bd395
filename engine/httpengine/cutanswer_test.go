package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

// resetServer sends an answer to each request without reading its body and then resets the connection.
func resetServer(t *testing.T, answer string) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(5 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a plain response without a length that counts as complete although its endpoint reset the connection during the upload.
func TestCallCutDuringUpload(t *testing.T) {
	addr := resetServer(t, "HTTP/1.1 200 OK\r\n\r\npart")
	c := NewClient()
	defer c.Close()
	for i := range 8 {
		resp, err := c.Call(t.Context(), addr, engine.PlainRequest{ID: "r", Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20), Repeatable: i%2 == 0})
		if err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Fatalf("a cut answer with body %q counts as complete", data)
		}
	}
}

// Guards against a status outside 200 to 599 that counts as a success or reaches the caller.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			addr := resetServer(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\n{}")
			c := NewClient()
			defer c.Close()
			calls := map[string]func(context.Context) error{
				"call": func(ctx context.Context) error {
					_, err := c.Call(ctx, addr, engine.PlainRequest{ID: "r", Method: http.MethodPost, Path: "/"})
					return err
				},
				"stream": func(ctx context.Context) error {
					_, err := c.Stream(ctx, addr, engine.Request{ID: "r", Body: []byte("{}")})
					return err
				},
				"load":   func(ctx context.Context) error { _, err := c.Load(ctx, addr); return err },
				"cancel": func(ctx context.Context) error { return c.Cancel(ctx, addr, "r") },
			}
			for name, call := range calls {
				if err := call(t.Context()); !errors.Is(err, engine.ErrBroken) && !errors.Is(err, engine.ErrFailed) {
					t.Errorf("%s: error %v", name, err)
				}
			}
		})
	}
}

// Guards against a KV cache that counts as imported although the endpoint reset the connection during the transfer.
func TestImportCutDuringUpload(t *testing.T) {
	addr := resetServer(t, "HTTP/1.1 200 OK\r\n\r\npart")
	c := NewClient()
	defer c.Close()
	for range 8 {
		if _, err := c.ImportCache(t.Context(), addr, "s", bytes.NewReader(make([]byte, 8<<20)), 8<<20); err == nil {
			t.Fatal("a cut response counts as complete")
		}
	}
}
