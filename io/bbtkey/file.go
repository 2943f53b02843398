package bbtkey

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// The PEM block types and file modes of keys.
const (
	typeCertificate = "CERTIFICATE"
	typePrivateKey  = "PRIVATE KEY"
	modeKey         = 0o600
)

// Load reads a host's certificate and key and the authority's certificate, all
// PEM.
func Load(certFile, keyFile, authorityFile string) (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load certificate and key")
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return tls.Certificate{}, nil, errors.Newf("%s: no certificate in PEM form", authorityFile)
	}
	return cert, pool, nil
}

// Files names a host's key files.
type Files struct {
	cert      string
	key       string
	authority string
}

// Cert returns the path of the host's certificate.
func (f Files) Cert() string { return f.cert }

// Key returns the path of the host's private key.
func (f Files) Key() string { return f.key }

// Authority returns the path of the authority's certificate.
func (f Files) Authority() string { return f.authority }

// IssueFiles issues a certificate to host and writes it, its key and the
// authority's certificate into dir.
func (a *Authority) IssueFiles(dir string, host bbtfleet.HostID) (Files, error) {
	cert, err := a.Issue(host)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return Files{}, errors.Wrap(err, "encode key")
	}
	f := Files{
		cert:      filepath.Join(dir, string(host)+".pem"),
		key:       filepath.Join(dir, string(host)+".key"),
		authority: filepath.Join(dir, "authority.pem"),
	}
	chain := pem.EncodeToMemory(&pem.Block{Type: typeCertificate, Bytes: cert.Certificate[0]})
	secret := pem.EncodeToMemory(&pem.Block{Type: typePrivateKey, Bytes: der})
	for path, data := range map[string][]byte{f.cert: chain, f.key: secret, f.authority: a.PEM()} {
		if err := replace(path, data); err != nil {
			return Files{}, errors.Wrap(err, "write key file")
		}
	}
	return f, nil
}

// replace puts data at path at once, so that nobody reads half a file.
func replace(path string, data []byte) error {
	tmp := path + ".new"
	if err := os.WriteFile(tmp, data, modeKey); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}
