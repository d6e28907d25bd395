package weight

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a response that is cut by a reset, or has an invalid status, and is used.
func TestResponseCutOrInvalid(t *testing.T) {
	const ok, framed = "HTTP/1.1 200 OK\r\n\r\n", "Status\r\nContent-Length: 2\r\n\r\n{}"
	for name, answer := range map[string]string{
		"before the body": ok, "within the body": ok + "{", "blank": ok + " ",
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
			base := "http://" + ln.Addr().String()
			if _, err := NewHTTPStore(base).Reserve(t.Context(), "v"); err == nil {
				t.Error("the response was used")
			}
		})
	}
}
