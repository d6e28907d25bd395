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
	maxVersions  = 256
)

// fixedResponse is a transport that answers every request with the same body.
type fixedResponse []byte

// RoundTrip implements http.RoundTripper.
func (b fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b))}, nil
}

func newClientReturning(body []byte) *Client {
	return &Client{controlClient: &http.Client{Transport: fixedResponse(body)}}
}

// FuzzLoad guards against load reports that attract all requests by a negative load, overflow sums, or exhaust the
// memory of daemons with long names.
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
		l, err := newClientReturning(body).Load(t.Context(), "endpoint")
		if err != nil {
			return
		}
		if l.Running < 0 || l.Queued < 0 || l.Running+l.Queued < 0 || l.TokensHeld < 0 || l.Completed < 0 {
			t.Errorf("load report with a count out of range accepted: %+v", l)
		}
		if len(l.Boot) > maxNameBytes || len(l.Versions) > maxVersions {
			t.Errorf("load report with a boot ID of %d bytes and %d versions accepted", len(l.Boot), len(l.Versions))
		}
		for _, v := range l.Versions {
			if len(v) > maxNameBytes {
				t.Errorf("load report with a version name of %d bytes accepted", len(v))
			}
		}
	})
}

// FuzzCacheEvents guards against cache events with a negative number of tokens, or with numbers whose sum overflows,
// which would give a cached prefix a negative value.
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
		events, err := newClientReturning(body).CacheEvents(t.Context(), "endpoint", 0)
		if err != nil {
			return
		}
		var sum int64
		for _, e := range events {
			sum += e.Tokens
			if e.Tokens < 0 || sum < 0 {
				t.Fatalf("cache event with tokens out of range accepted: %+v", e)
			}
		}
	})
}
