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

// certificateValidity is how long a certificate is valid before and after its creation.
const certificateValidity = time.Hour

// CertificateAuthority signs certificates for 127.0.0.1, for servers and clients, and stores them and their private keys as PEM
// files in a directory.
type CertificateAuthority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCertificateAuthority creates an authority in dir, which must exist. Its self-signed certificate is the file ca.crt.
func NewCertificateAuthority(dir string) (*CertificateAuthority, error) {
	a := &CertificateAuthority{dir: dir}
	cert, key, err := a.create("ca", nil)
	a.cert, a.key = cert, key
	return a, err
}

// Issue creates a key and a signed certificate and writes them to NAME.key and NAME.crt. It overwrites earlier ones.
func (a *CertificateAuthority) Issue(name string) error {
	_, _, err := a.create(name, a)
	return err
}

// Path returns the path of a file in the authority's directory, for example "ca.crt".
func (a *CertificateAuthority) Path(file string) string { return filepath.Join(a.dir, file) }

// create creates a key and a certificate, signed by signer or self-signed if signer is nil, and writes both to files.
func (a *CertificateAuthority) create(name string, signer *CertificateAuthority) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate the private key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, nil, fmt.Errorf("generate the serial number of the certificate: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-certificateValidity), NotAfter: now.Add(certificateValidity),
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
		return nil, nil, fmt.Errorf("sign the certificate: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("encode the private key: %w", err)
	}
	if err := a.writePEM(name+".crt", "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := a.writePEM(name+".key", "EC PRIVATE KEY", keyDER); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func (a *CertificateAuthority) writePEM(file, kind string, der []byte) error {
	return os.WriteFile(a.Path(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
