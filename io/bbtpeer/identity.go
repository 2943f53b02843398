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

// protocol is the name that both ends of a connection must offer.
const protocol = "bluebelltray/1"

// Identity is a host's certificate and the authority that all hosts trust. The
// certificate's DNS name is the host's name.
type Identity struct {
	cert tls.Certificate
	pool *x509.CertPool
	open bool // peers are known by their IP addresses, not by an authority
}

// NewIdentity returns the identity of a certificate under an authority.
func NewIdentity(cert tls.Certificate, authority *x509.CertPool) Identity {
	return Identity{cert: cert, pool: authority}
}

// certificateLife is longer than any process runs.
const certificateLife = 10 * 365 * 24 * time.Hour

// NewSelfSignedIdentity returns an identity for a network that vouches for its
// addresses and hands out no keys: the host signs its own certificate, and each
// side takes the other for the host whose IP address it speaks from.
func NewSelfSignedIdentity(host bbtfleet.HostID, now time.Time) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    now.Add(-certificateLife),
		NotAfter:     now.Add(certificateLife),
		DNSNames:     []string{string(host)},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return Identity{}, err
	}
	return Identity{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, open: true}, nil
}

// server returns the TLS settings for accepting peers.
func (id Identity) server() *tls.Config {
	if id.open {
		return id.unverified()
	}
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
	if id.open {
		return id.unverified()
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.pool,
		ServerName:   string(to),
		NextProtos:   []string{protocol},
	}
}

// unverified returns the TLS settings of an open identity, for either side.
func (id Identity) unverified() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{id.cert},
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		NextProtos:             []string{protocol},
	}
}

// peer returns the host at the other end of an accepted connection.
func (id Identity) peer(conn *quic.Conn) (bbtfleet.HostID, error) {
	if !id.open {
		return peerOf(conn.ConnectionState().TLS)
	}
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	return bbtfleet.HostID(host), err
}

// resetKey returns a key that stays the same over restarts, so that peers learn
// from the first packet that their old connection is gone.
func (id Identity) resetKey() (*quic.StatelessResetKey, error) {
	if id.open {
		return openResetKey(id.cert)
	}
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

// openResetKey returns the reset key of an open identity, which depends on the
// host's name alone, as its certificate is another in each process.
func openResetKey(cert tls.Certificate) (*quic.StatelessResetKey, error) {
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
