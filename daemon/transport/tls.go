package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/gravitational/trace"
)

// LoadTLS reads the PEM files of a process and returns a configuration for both its servers and its
// clients: TLS 1.3, its own certificate, and the CA that must have signed the certificate of each
// peer.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, trace.Wrap(fmt.Errorf("load certificate %s with key %s: %w", certFile, keyFile, err))
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, trace.Wrap(fmt.Errorf("read CA: %w", err))
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("no certificate in CA file %s", caFile)
	}
	return MutualTLS(cert, ca), nil
}

// MutualTLS returns the configuration that LoadTLS describes for the given certificate and CA.
func MutualTLS(cert tls.Certificate, ca *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      ca,
		ClientCAs:    ca,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// Connections are long-lived, so session resumption would save nothing.
		SessionTicketsDisabled: true,
	}
}
