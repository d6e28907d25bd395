package local

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/standin"
)

// httpsTransport sends requests over HTTPS although a Client's URLs have the scheme http.
type httpsTransport struct{ *http.Transport }

func (h httpsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return h.Transport.RoundTrip(r)
}

// newTLSClient returns a client that uses TLS and trusts the authority's certificates.
func newTLSClient(t *testing.T, addr string, a *standin.CertificateAuthority) *Client {
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

// Guards against a TLS listener that breaks streams or does not detect that a caller disconnected: the endpoint must stop
// generating long before the 2,000 tokens of the answer.
func TestCallersOverTLS(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay, spec.AnswerTokens = 5*time.Millisecond, 2000
	ctx, d := startSample(t, 1, spec)
	a := newAuthority(t, "entry")
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
	c := newTLSClient(t, dm.Addr(), a)
	answer, err := c.Chat(ctx, []byte(`{"model":"small","stream":true,"max_tokens":8,"messages":`+MessagesJSON("hello")+`}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, answer, "hello", 8)
	callCtx, cancel := context.WithCancel(ctx)
	resp, err := c.Do(callCtx, http.MethodPost, "/v1/chat/completions", ChatBody("small", "goodbye", true), nil)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	resp.Body.Close()
	if err := Wait(ctx, func() bool { return dm.State().InFlight == 0 }); err != nil {
		t.Error("the request is still in flight after its caller disconnected")
	}
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			if r.Done && r.Tokens == 2000 {
				t.Error("the endpoint generated the whole answer for a caller that had disconnected")
			}
		}
	}
	drainAll(ctx, t, d)
}

// Guards against daemons that exchange documents with a process whose certificate is not from the deployment's authority.
func TestDaemonsOverTLS(t *testing.T) {
	ctx, d := startSample(t, 0, fastEngine)
	trusted, untrusted := newAuthority(t, "entry"), newAuthority(t, "entry")
	add := func(id string, a *standin.CertificateAuthority) *daemon.Daemon {
		s := d.Settings(id, SampleDomainA)
		s.BillInterval = time.Hour // so that copies are still held when the test checks them
		s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA = a.Path("entry.crt"), a.Path("entry.key"), a.Path("ca.crt")
		dm, err := d.AddDaemon(s)
		if err != nil {
			t.Fatal(err)
		}
		return dm
	}
	first, second, outsider := add("entry-1", trusted), add("entry-2", trusted), add("entry-3", untrusted)
	if err := d.WaitRevision(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if err := Wait(ctx, func() bool { return first.State().Members == 3 }); err != nil {
		t.Fatal("the first daemon does not have 3 members")
	}
	c := NewClient(first.Addr(), SampleKey)
	if a, err := c.Chat(ctx, ChatBody("auto", "hello", true), nil); err != nil || a.Status != http.StatusOK {
		t.Fatalf("status %d, %v", a.Status, err)
	}
	if n := second.State().CopiesHeld; n != 1 {
		t.Errorf("the second daemon holds %d copies of bills; want 1, of the first daemon's bill", n)
	}
	if n := outsider.State().CopiesHeld; n != 0 {
		t.Errorf("a daemon with an untrusted certificate holds %d copies of bills, want 0", n)
	}
	for _, dm := range []*daemon.Daemon{first, second, outsider} {
		if err := dm.Drain(ctx); err != nil {
			t.Error(err)
		}
	}
}

// newAuthority returns a certificate authority that has issued certificates with the given names.
func newAuthority(t *testing.T, names ...string) *standin.CertificateAuthority {
	t.Helper()
	a, err := standin.NewCertificateAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if err := a.Issue(name); err != nil {
			t.Fatal(err)
		}
	}
	return a
}
