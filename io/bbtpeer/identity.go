package bbtpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// alpnProtocol is the ALPN protocol that both ends of a connection must offer.
const alpnProtocol = "bluebelltray/1"

// Identity holds a host's certificate and the certificate authorities that it
// trusts. The certificate's first DNS name is the host's ID.
type Identity struct {
	cert        tls.Certificate
	authorities *x509.CertPool
	selfSigned  bool // peers are identified by IP address instead of by certificate
}

// NewIdentity returns an identity with a CA-signed certificate. The certificates
// of peers are verified against authority.
func NewIdentity(cert tls.Certificate, authority *x509.CertPool) Identity {
	return Identity{cert: cert, authorities: authority}
}

// certificateValidity is how long before and after its creation a self-signed
// certificate is valid. It exceeds the lifetime of any process.
const certificateValidity = 10 * 365 * 24 * time.Hour

// NewSelfSignedIdentity returns an identity with a self-signed certificate, for
// platforms that guarantee source addresses and issue no keys. Certificates are
// not verified; each side identifies its peer by the peer's IP address.
func NewSelfSignedIdentity(host bbtfleet.HostID, now time.Time) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
		DNSNames:     []string{string(host)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return Identity{}, err
	}
	return Identity{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, selfSigned: true}, nil
}

// serverConfig returns the TLS configuration for accepting connections.
func (id Identity) serverConfig() *tls.Config {
	if id.selfSigned {
		return id.unverifiedConfig()
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientCAs:    id.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{alpnProtocol},
	}
}

// clientConfig returns the TLS configuration for connecting to a host.
func (id Identity) clientConfig(to bbtfleet.HostID) *tls.Config {
	if id.selfSigned {
		return id.unverifiedConfig()
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.authorities,
		ServerName:   string(to),
		NextProtos:   []string{alpnProtocol},
	}
}

// unverifiedConfig returns the TLS configuration of a self-signed identity, for
// servers and clients.
func (id Identity) unverifiedConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{id.cert},
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		NextProtos:             []string{alpnProtocol},
	}
}

// peerID returns the ID of the host at the other end of an accepted connection.
func (id Identity) peerID(conn *quic.Conn) (bbtfleet.HostID, error) {
	if !id.selfSigned {
		return certificateHost(conn.ConnectionState().TLS)
	}
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	return bbtfleet.HostID(host), err
}

// resetKey returns the stateless reset key, which stays the same over restarts.
// A restarted host thus answers the first packet of an old connection with a
// reset that the peer accepts.
func (id Identity) resetKey() (*quic.StatelessResetKey, error) {
	if id.selfSigned {
		return selfSignedResetKey(id.cert)
	}
	key, ok := id.cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Newf("private key has type %T, want an ECDSA key", id.cert.PrivateKey)
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

// certificateHost returns the host ID in the peer's verified certificate.
func certificateHost(state tls.ConnectionState) (bbtfleet.HostID, error) {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "", errors.New("certificate has no DNS name")
	}
	return bbtfleet.HostID(state.PeerCertificates[0].DNSNames[0]), nil
}

// selfSignedResetKey returns the reset key of a self-signed identity. It is
// derived from the host's ID alone, since each process creates a new certificate.
func selfSignedResetKey(cert tls.Certificate) (*quic.StatelessResetKey, error) {
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return nil, err
	}
	var out quic.StatelessResetKey
	derived, err := hkdf.Key(sha256.New, []byte(leaf.DNSNames[0]), nil, "stateless reset", len(out))
	if err != nil {
		return nil, err
	}
	copy(out[:], derived)
	return &out, nil
}
