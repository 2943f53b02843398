// Package bbtsettings reads the settings file of one entry host.
package bbtsettings

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtunit"
)

// The defaults of optional settings.
const (
	DefaultHeaderSize         = 16 * bbtunit.Kibibyte
	DefaultBodySize           = bbtunit.Mebibyte
	DefaultConcurrentRequests = 512
	DefaultHeaderTimeout      = 5 * time.Second
	DefaultBodyTimeout        = 10 * time.Second
	DefaultDrainTime          = time.Minute
	DefaultAddressLifetime    = 30 * time.Second
	DefaultLevel              = LevelInfo
	DefaultFormat             = FormatJSON
	DefaultAddressesOffered   = 3
)

// Settings are the immutable settings of one entry host.
type Settings struct {
	host               bbtfleet.HostID
	zone               bbtfleet.ZoneID
	callerAddr         string
	peerAddr           string
	platformAddr       string
	seeds              []bbtfleet.Host
	certificate        string
	key                string
	authority          string
	level              Level
	format             Format
	headerSize         bbtunit.Size
	bodySize           bbtunit.Size
	concurrentRequests int
	headerTimeout      time.Duration
	bodyTimeout        time.Duration
	drainTime          time.Duration
	addressLifetime    time.Duration
	addressesOffered   int
}

// New returns the settings of a host in an availability zone. Settings that no
// option sets have their defaults.
func New(host bbtfleet.HostID, zone bbtfleet.ZoneID, opts ...Option) *Settings {
	s := &Settings{
		host:               host,
		zone:               zone,
		level:              DefaultLevel,
		format:             DefaultFormat,
		headerSize:         DefaultHeaderSize,
		bodySize:           DefaultBodySize,
		concurrentRequests: DefaultConcurrentRequests,
		headerTimeout:      DefaultHeaderTimeout,
		bodyTimeout:        DefaultBodyTimeout,
		drainTime:          DefaultDrainTime,
		addressLifetime:    DefaultAddressLifetime,
		addressesOffered:   DefaultAddressesOffered,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Host returns the host's ID.
func (s *Settings) Host() bbtfleet.HostID { return s.host }

// Zone returns the host's availability zone.
func (s *Settings) Zone() bbtfleet.ZoneID { return s.zone }

// CallerAddr returns the TCP address that callers connect to, as IP:port.
func (s *Settings) CallerAddr() string { return s.callerAddr }

// PeerAddr returns the UDP address that other hosts connect to, as IP:port.
func (s *Settings) PeerAddr() string { return s.peerAddr }

// PlatformAddr returns the TCP address of the platform, as IP:port.
func (s *Settings) PlatformAddr() string { return s.platformAddr }

// Certificate returns the path of the host's certificate chain in PEM.
func (s *Settings) Certificate() string { return s.certificate }

// Key returns the path of the certificate's private key in PEM.
func (s *Settings) Key() string { return s.key }

// Authority returns the path of the PEM file with the certificate authorities
// that sign the certificates of peers.
func (s *Settings) Authority() string { return s.authority }

// Level returns the minimum level of log lines that are written.
func (s *Settings) Level() Level { return s.level }

// Format returns the encoding of log lines.
func (s *Settings) Format() Format { return s.format }

// HeaderSize returns the maximum size of a request's header.
func (s *Settings) HeaderSize() bbtunit.Size { return s.headerSize }

// BodySize returns the maximum size of a request's body.
func (s *Settings) BodySize() bbtunit.Size { return s.bodySize }

// ConcurrentRequests returns the maximum number of concurrent requests.
func (s *Settings) ConcurrentRequests() int { return s.concurrentRequests }

// HeaderTimeout returns how long a caller may take to send a request's header.
func (s *Settings) HeaderTimeout() time.Duration { return s.headerTimeout }

// BodyTimeout returns how long a caller may take to send a request's body.
func (s *Settings) BodyTimeout() time.Duration { return s.bodyTimeout }

// DrainTime returns how long a graceful shutdown waits for requests to finish.
// It is at least the lifetime of an address response.
func (s *Settings) DrainTime() time.Duration { return s.drainTime }

// AddressLifetime returns how long callers may use an address response, which
// lists addresses of hosts.
func (s *Settings) AddressLifetime() time.Duration { return s.addressLifetime }

// AddressesOffered returns the maximum number of addresses in an address
// response. It is not used yet.
func (s *Settings) AddressesOffered() int { return s.addressesOffered }
