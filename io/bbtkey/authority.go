// Package bbtkey generates and loads the keys and certificates with which entry hosts
// authenticate to each other.
package bbtkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// serialBits is the length of a certificate's serial number in bits.
const serialBits = 127

// Authority is a certificate authority that signs the certificates of a fleet's
// hosts. It is for the demo and tests; operators provide their own authority.
type Authority struct {
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	lifetime time.Duration
}

// NewAuthority generates a certificate authority. Its own certificate and those it
// issues are valid for lifetime.
func NewAuthority(lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	tmpl, err := newTemplate("bluebelltray authority", lifetime)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, lifetime: lifetime}, nil
}

// Pool returns a certificate pool that contains only the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// PEM returns the authority's certificate in PEM format.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: typeCertificate, Bytes: a.cert.Raw})
}

// Issue returns a new certificate and private key for host, for both client and
// server authentication.
func (a *Authority) Issue(host bbtfleet.HostID) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate key")
	}
	tmpl, err := newTemplate(string(host), a.lifetime)
	if err != nil {
		return tls.Certificate{}, err
	}
	tmpl.DNSNames = []string{string(host)}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "sign certificate of host %s", host)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// newTemplate returns a certificate template with a random serial number. The
// certificate is valid from one minute ago.
func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(lifetime),
	}, nil
}
