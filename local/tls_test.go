package local

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/standin"
)

// httpsTransport trusts the authority and speaks https to addresses that a Client names with http.
type httpsTransport struct{ *http.Transport }

func (h httpsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return h.Transport.RoundTrip(r)
}

func secureClient(t *testing.T, addr string, a *standin.Authority) *Client {
	t.Helper()
	ca, err := os.ReadFile(a.Path("ca.crt"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	c := NewClient(addr, SampleKey)
	c.HTTP.Transport = httpsTransport{&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	return c
}

// Guards against a TLS listener that breaks streams, or that does not notice a caller that leaves: the endpoint must
// stop generating long before the answer's 2,000 tokens.
func TestCallersOverTLS(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay, spec.Answer = 5*time.Millisecond, 2000
	ctx, d := startSample(t, 1, spec)
	a, err := standin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Issue("entry"); err != nil {
		t.Fatal(err)
	}
	s := d.Settings("entry-tls", SampleDomainA)
	s.TLSCert, s.TLSKey = a.Path("entry.crt"), a.Path("entry.key")
	dm, err := d.AddDaemon(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitEndpoints(ctx, 6); err != nil {
		t.Fatal(err)
	}
	c := secureClient(t, dm.Addr(), a)
	answer, err := c.Chat(ctx, []byte(`{"model":"small","stream":true,"max_tokens":8,"messages":`+Messages("hello")+`}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, answer, "hello", 8)
	callCtx, leave := context.WithCancel(ctx)
	resp, err := c.Do(callCtx, http.MethodPost, "/v1/chat/completions", ChatBody("small", "goodbye", true), nil)
	if err != nil {
		t.Fatal(err)
	}
	leave()
	resp.Body.Close()
	if err := Wait(ctx, func() bool { return dm.State().InFlight == 0 }); err != nil {
		t.Error("the request is still in flight after its caller left")
	}
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			if r.Done && r.Tokens == 2000 {
				t.Error("the endpoint generated the whole answer for a caller that had left")
			}
		}
	}
	drainAll(ctx, t, d)
}
