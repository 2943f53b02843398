package bbtpeer

import (
	"crypto/ecdsa"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// protocol is the name that both ends of a connection must offer.
const protocol = "bluebelltray/1"

// Identity is a host's certificate and the authority that all hosts trust. The
// certificate's DNS name is the host's name.
type Identity struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// NewIdentity returns the identity of a certificate under an authority.
func NewIdentity(cert tls.Certificate, authority *x509.CertPool) Identity {
	return Identity{cert: cert, pool: authority}
}

// server returns the TLS settings for accepting peers.
func (id Identity) server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientCAs:    id.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
	}
}

// client returns the TLS settings for connecting to a host.
func (id Identity) client(to bbtfleet.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.pool,
		ServerName:   string(to),
		NextProtos:   []string{protocol},
	}
}

// resetKey returns a key that stays the same over restarts, so that peers learn
// from the first packet that their old connection is gone.
func (id Identity) resetKey() (*quic.StatelessResetKey, error) {
	key, ok := id.cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Newf("key is %T, must be ECDSA", id.cert.PrivateKey)
	}
	secret, err := key.Bytes()
	if err != nil {
		return nil, err
	}
	var out quic.StatelessResetKey
	derived, err := hkdf.Key(sha256.New, secret, nil, "stateless reset", len(out))
	if err != nil {
		return nil, err
	}
	copy(out[:], derived)
	return &out, nil
}

// peerOf returns the name that the peer of a verified connection proved.
func peerOf(state tls.ConnectionState) (bbtfleet.HostID, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.New("certificate has no DNS name")
	}
	return bbtfleet.HostID(state.PeerCertificates[0].DNSNames[0]), nil
}
