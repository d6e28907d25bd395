package secure

import (
	"crypto/tls"
	"math/big"
	"os"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/standin"
)

func newAuthority(t *testing.T, names ...string) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	issue(t, a, names...)
	return a
}

func issue(t *testing.T, a *standin.Authority, names ...string) {
	t.Helper()
	for _, name := range names {
		if err := a.Issue(name); err != nil {
			t.Fatal(err)
		}
	}
}

func files(a *standin.Authority, name string) Files {
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

func load(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := Load(f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a peer port that accepts a process without a certificate of the deployment, or a daemon that talks to
// one.
func TestOnlyOwnCertificates(t *testing.T) {
	own, foreign := newAuthority(t, "a", "b"), newAuthority(t, "x")
	a, b, x := load(t, files(own, "a")), load(t, files(own, "b")), load(t, files(foreign, "x"))
	if _, err := handshake(t, a.Server(), b.Client()); err != nil {
		t.Errorf("own certificates: %v", err)
	}
	if _, err := handshake(t, a.Server(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("a client without a certificate is accepted")
	}
	if _, err := handshake(t, a.Server(), x.Client()); err == nil {
		t.Error("a client with a foreign certificate is accepted")
	}
	if _, err := handshake(t, x.Server(), a.Client()); err == nil {
		t.Error("a server with a foreign certificate is accepted")
	}
}

// Guards against a renewed certificate that is used only after a restart, and against a half-written file that stops
// the listener.
func TestReload(t *testing.T) {
	own := newAuthority(t, "a", "b")
	server, client := load(t, files(own, "a")), load(t, files(own, "b"))
	clock := time.Now()
	server.now = func() time.Time { return clock }
	before, err := handshake(t, server.Server(), client.Client())
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
	if serial, err := handshake(t, server.Server(), client.Client()); err != nil || serial.Cmp(before) != 0 || failed == 0 {
		t.Errorf("with a half-written file: %v, serial %v, %d errors reported", err, serial, failed)
	}
	issue(t, own, "a")
	touch()
	if serial, err := handshake(t, server.Server(), client.Client()); err != nil || serial.Cmp(before) == 0 {
		t.Errorf("after renewal: %v, serial %v", err, serial)
	}
}
