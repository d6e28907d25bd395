package hostlist

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"reflect"
	"sync/atomic"
	"testing"
)

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a list that is sent uncompressed, which with 370 daemons and 840 endpoints would use most of a
// watcher's budget of 5 KB per second. A tenth of that budget and about 1,370 changes a day allow 31 KB for each list.
func TestListIsCompressed(t *testing.T) {
	fake := NewFake()
	var hosts []Host
	for i := range 1210 {
		hosts = append(hosts, Host{
			ID: fmt.Sprintf("llm-%04d", i), Role: RoleEndpoint, Domain: fmt.Sprintf("domain-%d", i%5), Rack: fmt.Sprintf("rack-%d", i/40), State: StateLive,
			Addr: fmt.Sprintf("10.%d.%d.%d:8000", i%5, i%17, i%250), Service: "llm", Versions: []string{fmt.Sprintf("model-%d-v%d", i%9, i%2)},
		})
	}
	fake.Update(hosts, nil)
	srv := httptest.NewServer(Handler(fake))
	defer srv.Close()
	var read atomic.Int64
	source := NewHTTPSourceWith(srv.URL, "test", func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{conn, &read}, err
	})
	defer source.Close()
	list, err := source.List(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(list, fake.Snapshot()) {
		t.Error("the received list differs from the one that was sent")
	}
	const maxBytes = 5000 * 86400 / (1370 * 10) // a tenth of 5 KB per second, for 1,370 changes a day
	if n := read.Load(); n > maxBytes {
		t.Errorf("a list of %d hosts took %d bytes; want at most %d", len(hosts), n, maxBytes)
	}
}
