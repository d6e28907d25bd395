package httpengine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

const (
	maxNameBytes = 256
	maxNames     = 256
)

// fixedReply answers every request with the same body.
type fixedReply []byte

// RoundTrip implements http.RoundTripper.
func (b fixedReply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b))}, nil
}

func replying(body []byte) *Client {
	return &Client{commands: &http.Client{Transport: fixedReply(body)}}
}

// FuzzLoad guards against a load report that draws all requests to its sender by a negative load, that overflows sums, or
// that fills the memory of the daemons by long names.
func FuzzLoad(f *testing.F) {
	valid, err := json.Marshal(engine.Load{Boot: "a", Running: 3, Queued: 1, TokensHeld: 10, TokensMax: 100, Completed: 7, Versions: []string{"v"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"running":-9223372036854775808}`))
	f.Add([]byte(`{"running":9223372036854775807,"queued":9223372036854775807}`))
	f.Add([]byte(`{"completed":-1}`))
	f.Add([]byte(`{"boot":"` + strings.Repeat("x", 1000) + `"}`))
	f.Add([]byte(`{"versions":["` + strings.Repeat("x", 1000) + `"]}`))
	f.Add([]byte(`{"versions":[` + strings.Repeat(`"",`, 1000) + `""]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := replying(body).Load(t.Context(), "endpoint")
		if err != nil {
			return
		}
		if l.Running < 0 || l.Queued < 0 || l.Running+l.Queued < 0 || l.TokensHeld < 0 || l.Completed < 0 {
			t.Errorf("accepted %+v", l)
		}
		if len(l.Boot) > maxNameBytes || len(l.Versions) > maxNames {
			t.Errorf("accepted an identity of %d bytes and %d versions", len(l.Boot), len(l.Versions))
		}
		for _, v := range l.Versions {
			if len(v) > maxNameBytes {
				t.Errorf("accepted a name of %d bytes", len(v))
			}
		}
	})
}

// FuzzCacheEvents guards against cache events that make a prefix worth less than nothing.
func FuzzCacheEvents(f *testing.F) {
	valid, err := json.Marshal([]engine.CacheEvent{{Seq: 1, Prefix: 2, Tokens: 3}, {Seq: 9, Prefix: 2, Evict: true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`[{"seq":1,"tokens":-5}]`))
	f.Add([]byte(`[{"seq":18446744073709551615,"tokens":9223372036854775807}]`))
	f.Add([]byte(`[null]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		events, err := replying(body).CacheEvents(t.Context(), "endpoint", 0)
		if err != nil {
			return
		}
		var sum int64
		for _, e := range events {
			sum += e.Tokens
			if e.Tokens < 0 || sum < 0 {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}
