package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/secure"
)

// loadCertificates loads the TLS certificates that the settings name. They are reloaded when their files change.
func (d *Daemon) loadCertificates() error {
	s := d.settings
	if s.TLSCert != "" {
		src, err := secure.Load(secure.Files{Cert: s.TLSCert, Key: s.TLSKey})
		if err != nil {
			return fmt.Errorf("load certificate for callers: %w", err)
		}
		src.OnError = d.logCertificateError
		d.callerTLS = src.ServerConfig()
	}
	if s.PeerTLSCert != "" {
		src, err := secure.Load(secure.Files{Cert: s.PeerTLSCert, Key: s.PeerTLSKey, CA: s.PeerTLSCA})
		if err != nil {
			return fmt.Errorf("load certificate for peers: %w", err)
		}
		src.OnError = d.logCertificateError
		d.peerTLS = src
	}
	return nil
}

// securePeers wraps the listener for peers and returns it with the function that dials peers. Both accept only daemons of
// the same deployment, and use mutual TLS if the settings name a certificate for peers.
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
			_ = conn.Close() // the handshake error is the cause
			return nil, err
		}
		return c, nil
	}
	return deployment.Listen(tls.NewListener(ln, d.peerTLS.ServerConfig())), deployment.Dial(secured)
}

func (d *Daemon) logCertificateError(err error) {
	d.log.WithError(err).Warn("could not reload changed certificate; keeping the last valid one")
}
