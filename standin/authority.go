package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateLife is the validity of an issued certificate.
const certificateLife = time.Hour

// Authority signs certificates for loopback and keeps them as PEM files in a directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority; its certificate is ca.crt in dir.
func NewAuthority(dir string) (*Authority, error) {
	a := &Authority{dir: dir}
	cert, key, err := a.create("ca", nil)
	a.cert, a.key = cert, key
	return a, err
}

// Issue writes NAME.crt and NAME.key, and replaces earlier ones.
func (a *Authority) Issue(name string) error {
	_, _, err := a.create(name, a)
	return err
}

// Path returns the path of a file of the authority.
func (a *Authority) Path(file string) string { return filepath.Join(a.dir, file) }

func (a *Authority) create(name string, signer *Authority) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-certificateLife), NotAfter: now.Add(certificateLife),
		IsCA: signer == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	parent, parentKey := template, key
	if signer != nil {
		parent, parentKey = signer.cert, signer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	if err := a.write(name+".crt", "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := a.write(name+".key", "EC PRIVATE KEY", keyDER); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func (a *Authority) write(file, kind string, der []byte) error {
	return os.WriteFile(a.Path(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
