package entry

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

// Guards against a port that closes or refuses clients within its limits, and that keeps one whose header section is too large.
func TestPort(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := OpenPort(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }), 2)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	ask := func(fields string) (int, string) {
		t.Helper()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // fails on a closed connection, as does what follows
		if _, err := fmt.Fprintf(c, "GET /path HTTP/1.1\r\nHost: h\r\n%s\r\n", fields); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(data)
	}
	for _, n := range []int{0, 1000, portHeaderBytes - 100} {
		fields := ""
		if n > 0 {
			fields = "A: " + strings.Repeat("a", n) + "\r\n"
		}
		if status, body := ask(fields); status != http.StatusOK || body != "/path" {
			t.Errorf("%d bytes on a kept connection: status %d, body %q", n, status, body)
		}
		time.Sleep(2 * portStallLimit) // an idle connection keeps its place while there are others
	}
	if status, _ := ask("A: " + strings.Repeat("a", portHeaderBytes) + "\r\n"); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a header section that is too large", status)
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("the connection is not closed")
	}
}
