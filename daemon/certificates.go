package daemon

import (
	"fmt"

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
		d.callerTLS = src.Server()
	}
	return nil
}

func (d *Daemon) certificateError(err error) {
	d.log.WithError(err).Warn("changed certificate not used; the last valid one stays")
}
