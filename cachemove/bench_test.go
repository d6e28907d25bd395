package cachemove

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/standin"
)

// BenchmarkTransfer measures a move of 64 MiB between two stand-in engines on loopback, all in one process.
func BenchmarkTransfer(b *testing.B) {
	const tokens = 64 << 10
	addr := map[string]string{}
	for _, id := range []string{"a", "b"} {
		server, err := standin.Serve("127.0.0.1:0", standin.NewEngine(standin.EngineSpec{Name: id, Versions: []string{"v"}, CacheBytesPerToken: 1 << 10}).Handler())
		if err != nil {
			b.Fatal(err)
		}
		defer server.Close()
		addr[id] = server.Addr
	}
	client := httpengine.NewClient()
	defer client.Close()
	s, err := client.Stream(b.Context(), addr["a"], engine.Request{ID: "r", Version: "v", Body: fmt.Appendf(nil, `{"messages":[%q]}`, strings.Repeat("abc ", tokens)), Session: "s"})
	for err == nil {
		_, err = s.Next()
	}
	b.ReportAllocs()
	for b.Loop() {
		x := &transfer{client: client, source: addr["a"], target: addr["b"], cacheName: "s", maxBytes: 1 << 30, now: time.Now}
		if o, err := x.run(b.Context()); o != Moved {
			b.Fatal(o, err)
		}
		b.SetBytes(x.bytesRead.Load())
	}
}
