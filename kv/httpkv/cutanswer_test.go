package httpkv

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Guards against a response that is cut or has an invalid status and then tells whether a call has been executed.
func TestResponseCutOrInvalid(t *testing.T) {
	const ok, framed = "HTTP/1.1 200 OK\r\n\r\n", "Status\r\nContent-Length: 2\r\n\r\n{}"
	for name, answer := range map[string]string{
		"before the body": ok, "within the body": ok + `{"key"`, "blank": ok + " ",
		"000": "HTTP/1.1 000 " + framed, "+20": "HTTP/1.1 +20 " + framed, "101": "HTTP/1.1 101 " + framed, "600": "HTTP/1.1 600 " + framed,
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, answer)
					time.Sleep(5 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			}()
			c := NewClient("http://" + ln.Addr().String())
			defer c.Close()
			ctx := t.Context()
			calls := map[string]func() error{
				"get":        func() error { _, err := c.Get(ctx, "k"); return err },
				"write":      func() error { _, err := c.CAS(ctx, "k", make([]byte, kv.MaxValueBytes), kv.Revision{}, 0); return err },
				"list":       func() error { _, err := c.List(ctx, kv.Range{}); return err },
				"delete":     func() error { return c.Delete(ctx, "k", kv.Revision{Number: 3}) },
				"keep alive": func() error { return c.KeepAlive(ctx, 3) },
			}
			for name, call := range calls {
				if err := call(); !errors.Is(err, kv.ErrUnavailable) {
					t.Errorf("%s: error %v, want kv.ErrUnavailable", name, err)
				}
			}
		})
	}
}
