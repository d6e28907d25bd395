// Package secure provides TLS configurations whose certificates are read again when their files change.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval is the shortest time between two looks at the files.
const reloadInterval = time.Second

// Files name the PEM files of one listener or client.
type Files struct {
	Cert string // certificate chain
	Key  string // private key
	CA   string // certificates that sign the other side's; empty if it needs none
}

// ErrNoCertificate says that a CA file holds no certificate.
var ErrNoCertificate = errors.New("no certificate found")

// Source holds the certificate and CA pool of Files and keeps them current. If a changed file can't be read, for example
// because it is being replaced, the last valid content stays in use.
type Source struct {
	files Files
	now   func() time.Time
	// OnError is called when a changed file can't be used. It may be nil.
	OnError func(error)

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time // modification times of the files in use
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files.
func Load(f Files) (*Source, error) {
	s := &Source{files: f, now: time.Now}
	s.checked = s.now()
	return s, s.read()
}

func (s *Source) read() error {
	stamp, err := s.stamps()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", s.files.Cert, err)
	}
	var pool *x509.CertPool
	if s.files.CA != "" {
		data, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("CA: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return fmt.Errorf("CA %s: %w", s.files.CA, ErrNoCertificate)
		}
	}
	s.cert, s.pool, s.stamp = &cert, pool, stamp
	return nil
}

func (s *Source) stamps() (stamp [3]time.Time, err error) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamp, err
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

// current returns the certificate and pool in use, after a look at the files.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < reloadInterval {
		return s.cert, s.pool
	}
	s.checked = now
	stamp, err := s.stamps()
	if err == nil && stamp != s.stamp {
		err = s.read()
	}
	if err != nil && s.OnError != nil {
		s.OnError(err)
	}
	return s.cert, s.pool
}

// Server returns the configuration of a listener. With a CA, the other side must present a certificate signed by it.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return c, nil
		},
	}
}

// Client returns the configuration of a connection to another daemon. Daemons are addressed by IP, which changes when a
// host is replaced, so the certificate's name is not compared; its signature by the deployment's CA is what counts.
func (s *Source) Client() *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, pool)
		},
	}
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
