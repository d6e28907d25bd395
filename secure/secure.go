// Package secure provides TLS configurations whose certificates are reloaded when their files change.
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

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = time.Second

// Files are the paths of the PEM files of one listener or client.
type Files struct {
	Cert string // certificate chain
	Key  string // private key
	CA   string // CA certificates that the peer's certificate is verified against; empty if the peer needs no certificate
}

// ErrNoCertificate means that a CA file contains no certificate, or that the peer presented none.
var ErrNoCertificate = errors.New("no certificate found")

// CertSource loads a certificate and a CA pool from Files and reloads them when the files change. If a changed file
// can't be read, for example because it is being replaced, the last valid content stays in use. It is safe for
// concurrent use once OnError is set.
type CertSource struct {
	files Files
	now   func() time.Time
	// OnError is called when checking or reloading the files fails, once per reloadInterval at most. It must not call
	// methods of the CertSource. It may be nil.
	OnError func(error)

	mu        sync.Mutex
	lastCheck time.Time
	modified  [3]time.Time // modification times of the loaded files: certificate, key, CA
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load returns a source with the current content of the files, or an error if they can't be read or contain no valid
// certificate.
func Load(f Files) (*CertSource, error) {
	s := &CertSource{files: f, now: time.Now}
	s.lastCheck = s.now()
	return s, s.reload()
}

func (s *CertSource) reload() error {
	modified, err := s.modTimes()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s with key %s: %w", s.files.Cert, s.files.Key, err)
	}
	var pool *x509.CertPool
	if s.files.CA != "" {
		data, err := os.ReadFile(s.files.CA)
		if err != nil {
			return fmt.Errorf("read CA file: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return fmt.Errorf("parse CA file %s: %w", s.files.CA, ErrNoCertificate)
		}
	}
	s.cert, s.pool, s.modified = &cert, pool, modified
	return nil
}

func (s *CertSource) modTimes() (modified [3]time.Time, err error) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return modified, err
		}
		modified[i] = info.ModTime()
	}
	return modified, nil
}

// current returns the certificate and the CA pool, after reloading files that have changed. It checks the files at most
// once per reloadInterval.
func (s *CertSource) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastCheck) < reloadInterval {
		return s.cert, s.pool
	}
	s.lastCheck = now
	modified, err := s.modTimes()
	if err == nil && modified != s.modified {
		err = s.reload()
	}
	if err != nil && s.OnError != nil {
		s.OnError(err)
	}
	return s.cert, s.pool
}

// ServerConfig returns the configuration of a listener, which uses the current files for each connection. If Files.CA
// is set, clients must present a certificate signed by it.
func (s *CertSource) ServerConfig() *tls.Config {
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

// ClientConfig returns the configuration of one connection to another daemon, with the current files. Daemons are
// addressed by IP, which changes when a host is replaced, so the name in the certificate is not checked, only that the
// deployment's CA signed it.
func (s *CertSource) ClientConfig() *tls.Config {
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

// verifyChain checks that the peer's certificate chains to a CA in pool and is valid for servers.
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
