package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"eelgrassproxy.example/node/settings"
)

// tlsConfig returns the TLS configuration of a listener, or nil for plain TCP. With a CA file, clients must present a certificate that
// this CA has signed.
func tlsConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s", t.CertificateFile)
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if t.CAFile == "" {
		return config, nil
	}
	pool, err := loadPool(t.CAFile)
	if err != nil {
		return nil, err
	}
	config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
	return config, nil
}

// peerClientTLS returns the TLS configuration for calls to peers, or nil for plain TCP. Peers are called by IP address, so their
// certificates must contain it.
func peerClientTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	config, err := tlsConfig(t)
	if err != nil {
		return nil, err
	}
	client := &tls.Config{Certificates: config.Certificates, MinVersion: tls.VersionTLS13, RootCAs: config.ClientCAs}
	return client, nil
}

func loadPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "read CA file %s", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("CA file %s contains no certificate", file)
	}
	return pool, nil
}
