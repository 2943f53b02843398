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

// PEM block types, and the file mode of certificates and keys.
const (
	typeCertificate = "CERTIFICATE"
	typePrivateKey  = "PRIVATE KEY"
	keyFileMode     = 0o600
)

// Load reads a host's certificate and private key and the authority's certificate
// from PEM files.
func Load(certFile, keyFile, authorityFile string) (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load certificate and key")
	}
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load authority certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return tls.Certificate{}, nil, errors.Newf("%s: no PEM certificate found", authorityFile)
	}
	return cert, pool, nil
}

// Files holds the paths of a host's key files.
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

// IssueFiles issues a certificate to host and writes it, its private key and the
// authority's certificate to files in dir.
func (a *Authority) IssueFiles(dir string, host bbtfleet.HostID) (Files, error) {
	cert, err := a.Issue(host)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return Files{}, errors.Wrap(err, "encode private key")
	}
	f := Files{
		cert:      filepath.Join(dir, string(host)+".pem"),
		key:       filepath.Join(dir, string(host)+".key"),
		authority: filepath.Join(dir, "authority.pem"),
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: typeCertificate, Bytes: cert.Certificate[0]})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: typePrivateKey, Bytes: der})
	for path, data := range map[string][]byte{f.cert: certPEM, f.key: keyPEM, f.authority: a.PEM()} {
		if err := writeFileAtomic(path, data); err != nil {
			return Files{}, errors.Wrap(err, "write certificate or key file")
		}
	}
	return f, nil
}

// writeFileAtomic writes data to a temporary file and renames it to path, so that no
// process reads a partially written file.
func writeFileAtomic(path string, data []byte) error {
	tmp := path + ".new"
	if err := os.WriteFile(tmp, data, keyFileMode); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}
