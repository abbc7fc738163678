package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"eelgrassproxy.example/adapters/peer"
	"eelgrassproxy.example/core/bundle"
	"eelgrassproxy.example/core/fleet"
	"eelgrassproxy.example/core/membership"
	"eelgrassproxy.example/node/settings"
)

const testPeerToken = "a-peer-token-for-tests"

// Guards against TLS configurations of peer client and peer listener that do not match, and against a listener that accepts a peer
// without TLS or without a certificate that the CA has signed.
func TestPeersTalkOverTLSAndOthersAreRefused(t *testing.T) {
	files := writeCertificates(t)
	server, err := tlsConfig(files)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &http.Server{Handler: newPeerHandler(t), ReadHeaderTimeout: time.Second}
	go func() { _ = listener.Serve(tls.NewListener(l, server)) }()
	t.Cleanup(func() { _ = listener.Close() })

	client, err := peerClientTLS(files)
	require.NoError(t, err)
	ack, err := probe(t, client, l.Addr().String())
	require.NoError(t, err)
	require.Equal(t, fleet.InstanceID("i2"), ack.From)

	withoutCertificate := client.Clone()
	withoutCertificate.Certificates = nil
	_, err = probe(t, withoutCertificate, l.Addr().String())
	require.Error(t, err, "a peer without a certificate")
	_, err = probe(t, nil, l.Addr().String())
	require.Error(t, err, "a peer without TLS")
}

func newPeerHandler(t *testing.T) http.Handler {
	handler, err := peer.NewHandler(peer.Handlers{
		Probe:         func(_ context.Context, _ membership.Probe) membership.Probe { return membership.Probe{From: "i2"} },
		ProbeIndirect: func(context.Context, fleet.InstanceID, string) peer.IndirectResult { return peer.IndirectResult{} },
		Manifest:      func() (bundle.SignedManifest, bool) { return bundle.SignedManifest{}, false },
		Section:       func(string) ([]byte, bool) { return nil, false },
		Delta:         func(fleet.Generation) (bundle.Delta, bool) { return bundle.Delta{}, false },
		Decisions:     func(fleet.RequestID) []string { return nil },
	}, [][sha256.Size]byte{sha256.Sum256([]byte(testPeerToken))})
	require.NoError(t, err)
	return handler
}

func probe(t *testing.T, config *tls.Config, address string) (membership.Probe, error) {
	client, err := peer.NewClientWith(testPeerToken, peer.NewMeter(tally.NoopScope), peer.Options{TLS: config})
	require.NoError(t, err)
	defer client.Close()
	return client.Probe(t.Context(), address, membership.Probe{From: "i1"})
}

// writeCertificates writes the files of a CA and of a certificate that it has signed, for 127.0.0.1 as both server and client.
func writeCertificates(t *testing.T) settings.TLS {
	caKey, ca := newCertificate(t, nil, nil)
	key, certificate := newCertificate(t, ca, caKey)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	folder := t.TempDir()
	return settings.TLS{
		CertificateFile: writePEM(t, folder, "CERTIFICATE", certificate.Raw, "peer.crt"),
		KeyFile:         writePEM(t, folder, "PRIVATE KEY", raw, "peer.key"),
		CAFile:          writePEM(t, folder, "CERTIFICATE", ca.Raw, "ca.crt"),
	}
}

// newCertificate returns a certificate signed by parent, or the self-signed certificate of a CA if parent is nil.
func newCertificate(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		BasicConstraintsValid: true,
		IsCA:                  parent == nil,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return key, certificate
}

func writePEM(t *testing.T, folder, kind string, raw []byte, name string) string {
	file := filepath.Join(folder, name)
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
	return file
}
