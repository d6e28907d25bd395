package secure

import (
	"crypto/tls"
	"math/big"
	"os"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/standin"
)

func newAuthority(t *testing.T, names ...string) *standin.CertificateAuthority {
	t.Helper()
	a, err := standin.NewCertificateAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	issue(t, a, names...)
	return a
}

func issue(t *testing.T, a *standin.CertificateAuthority, names ...string) {
	t.Helper()
	for _, name := range names {
		if err := a.Issue(name); err != nil {
			t.Fatal(err)
		}
	}
}

func files(a *standin.CertificateAuthority, name string) Files {
	return Files{Cert: a.Path(name + ".crt"), Key: a.Path(name + ".key"), CA: a.Path("ca.crt")}
}

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (*big.Int, error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	serverErr := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		serverErr <- err
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err != nil {
		<-serverErr
		return nil, err
	}
	defer conn.Close()
	if err := <-serverErr; err != nil {
		return nil, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber, nil
}

func load(t *testing.T, f Files) *CertSource {
	t.Helper()
	s, err := Load(f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a peer port that accepts a client without a certificate of the deployment, and against a daemon that
// connects to such a server.
func TestForeignCertificatesAreRejected(t *testing.T) {
	own, foreign := newAuthority(t, "a", "b"), newAuthority(t, "x")
	a, b, x := load(t, files(own, "a")), load(t, files(own, "b")), load(t, files(foreign, "x"))
	if _, err := handshake(t, a.ServerConfig(), b.ClientConfig()); err != nil {
		t.Errorf("handshake with certificates of the same CA: %v", err)
	}
	if _, err := handshake(t, a.ServerConfig(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("a client without a certificate is accepted")
	}
	if _, err := handshake(t, a.ServerConfig(), x.ClientConfig()); err == nil {
		t.Error("a client with a certificate of another CA is accepted")
	}
	if _, err := handshake(t, x.ServerConfig(), a.ClientConfig()); err == nil {
		t.Error("a server with a certificate of another CA is accepted")
	}
}

// Guards against a renewed certificate that takes effect only after a restart, and against a partially written file
// that breaks the listener.
func TestReload(t *testing.T) {
	own := newAuthority(t, "a", "b")
	server, client := load(t, files(own, "a")), load(t, files(own, "b"))
	clock := time.Now()
	server.now = func() time.Time { return clock }
	before, err := handshake(t, server.ServerConfig(), client.ClientConfig())
	if err != nil {
		t.Fatal(err)
	}
	touch := func() {
		clock = clock.Add(2 * reloadInterval)
		for _, name := range []string{"a.crt", "a.key"} {
			if err := os.Chtimes(own.Path(name), clock, clock); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := os.WriteFile(own.Path("a.crt"), []byte("-----BEGIN"), 0o600); err != nil {
		t.Fatal(err)
	}
	failed := 0
	server.OnError = func(error) { failed++ }
	touch()
	if serial, err := handshake(t, server.ServerConfig(), client.ClientConfig()); err != nil || serial.Cmp(before) != 0 || failed == 0 {
		t.Errorf("with a partially written file: handshake error %v, serial %v, want %v; %d errors reported, want at least 1", err, serial, before, failed)
	}
	issue(t, own, "a")
	touch()
	if serial, err := handshake(t, server.ServerConfig(), client.ClientConfig()); err != nil || serial.Cmp(before) == 0 {
		t.Errorf("after renewal: handshake error %v, serial %v, want another than %v", err, serial, before)
	}
}
