// Package pki creates certificates for development. A production deployment uses the certificates of its
// platform instead.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// Names of the files that Set.Write creates.
const (
	CAFile   = "ca.pem"
	CertFile = "cert.pem"
	KeyFile  = "key.pem"
)

// Validity is how long a development certificate is valid. It is short because the key is shared
// by all processes of a development system.
const Validity = 30 * 24 * time.Hour

// backdate is how far the start of the validity lies in the past. It allows for machines whose clocks are behind
// the clock of the machine that created the certificate.
const backdate = time.Hour

// Set is a CA certificate with one certificate and key that every process of a development system
// can use as a server and as a client. The CA's key is not kept. All fields are PEM-encoded.
type Set struct {
	CA   []byte
	Cert []byte
	Key  []byte
}

// New creates a set whose certificate is valid for the given IP addresses, from backdate before now until Validity
// after now. At least one address is required.
func New(now time.Time, ips []net.IP) (*Set, error) {
	if len(ips) == 0 {
		return nil, errors.New("a certificate needs at least one IP address")
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca, err := caTemplate(now)
	if err != nil {
		return nil, err
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, caKey.Public(), caKey)
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	leaf, err := leafTemplate(now, ips)
	if err != nil {
		return nil, err
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, key.Public(), caKey)
	if err != nil {
		return nil, err
	}
	return encode(caDER, leafDER, key)
}

// caTemplate returns the template of the CA certificate. The CA cannot sign intermediate CAs.
func caTemplate(now time.Time) (*x509.Certificate, error) {
	c, err := newTemplate(now, "poplargw development CA")
	if err != nil {
		return nil, err
	}
	c.IsCA, c.BasicConstraintsValid, c.MaxPathLenZero = true, true, true
	c.KeyUsage = x509.KeyUsageCertSign
	return c, nil
}

// leafTemplate returns the template of the certificate that the processes share.
func leafTemplate(now time.Time, ips []net.IP) (*x509.Certificate, error) {
	c, err := newTemplate(now, "poplargw development process")
	if err != nil {
		return nil, err
	}
	c.IPAddresses = ips
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return c, nil
}

// serialBits is the length of the random serial numbers, in bits.
const serialBits = 127

// newTemplate returns the fields that both certificates have, with a random serial number.
func newTemplate(now time.Time, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(Validity),
	}, nil
}

func encode(ca, leaf []byte, key *ecdsa.PrivateKey) (*Set, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	encodePEM := func(kind string, der []byte) []byte {
		return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	}
	return &Set{CA: encodePEM("CERTIFICATE", ca), Cert: encodePEM("CERTIFICATE", leaf), Key: encodePEM("PRIVATE KEY", der)}, nil
}

// Write writes the files of the set to dir, which it creates if necessary. An existing file is kept and is
// an error, because processes that restart with a replaced certificate could no longer connect to those
// that still run with the old one.
func (s *Set) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := []struct {
		name string
		data []byte
		mode os.FileMode
	}{{CAFile, s.CA, 0o644}, {CertFile, s.Cert, 0o644}, {KeyFile, s.Key, 0o600}}
	for _, f := range files {
		if err := writeNew(filepath.Join(dir, f.name), f.data, f.mode); err != nil {
			return err
		}
	}
	return nil
}

// writeNew creates a file with the given contents. An existing file is an error.
func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}

// Pair returns the certificate with its key, and a pool with the CA certificate.
func (s *Set) Pair() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.X509KeyPair(s.Cert, s.Key)
	if err != nil {
		return tls.Certificate{}, nil, trace.Wrap(fmt.Errorf("development certificate: %w", err))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(s.CA) {
		return tls.Certificate{}, nil, errors.New("development CA is not valid PEM")
	}
	return cert, pool, nil
}
