package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/secure"
)

// loadCertificates reads the certificates that the settings name. They are read again when their files change.
func (d *Daemon) loadCertificates() error {
	s := d.settings
	if s.TLSCert != "" {
		src, err := secure.Load(secure.Files{Cert: s.TLSCert, Key: s.TLSKey})
		if err != nil {
			return fmt.Errorf("certificate for callers: %w", err)
		}
		src.OnError = d.certificateError
		d.callerTLS = src.ServerConfig()
	}
	if s.PeerTLSCert != "" {
		src, err := secure.Load(secure.Files{Cert: s.PeerTLSCert, Key: s.PeerTLSKey, CA: s.PeerTLSCA})
		if err != nil {
			return fmt.Errorf("certificate towards other daemons: %w", err)
		}
		src.OnError = d.certificateError
		d.peerTLS = src
	}
	return nil
}

// securePeers returns the listener for other daemons and the function that dials them, both for this deployment only and
// with mutual TLS if the settings name certificates.
func (d *Daemon) securePeers(ln net.Listener) (net.Listener, func(context.Context, string) (net.Conn, error)) {
	dial := d.network.dialPeer(ln.Addr())
	deployment := peer.DeploymentOf(d.settings.Deployment)
	if d.peerTLS == nil {
		return deployment.Listen(ln), deployment.Dial(dial)
	}
	secured := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		c := tls.Client(conn, d.peerTLS.ClientConfig())
		if err := c.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // the handshake's error says more
			return nil, err
		}
		return c, nil
	}
	return deployment.Listen(tls.NewListener(ln, d.peerTLS.ServerConfig())), deployment.Dial(secured)
}

func (d *Daemon) certificateError(err error) {
	d.log.WithError(err).Warn("changed certificate not used; the last valid one stays")
}
