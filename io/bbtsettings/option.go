package bbtsettings

import (
	"time"

	"bluebelltray/core/bbtunit"
)

// Option sets optional fields of Settings.
type Option func(*Settings)

// WithCallerAddr sets the TCP address that callers connect to.
func WithCallerAddr(addr string) Option { return func(s *Settings) { s.callerAddr = addr } }

// WithPeerAddr sets the UDP address that other hosts connect to.
func WithPeerAddr(addr string) Option { return func(s *Settings) { s.peerAddr = addr } }

// WithPlatformAddr sets the TCP address of the platform.
func WithPlatformAddr(addr string) Option { return func(s *Settings) { s.platformAddr = addr } }

// WithKeys sets the paths of the certificate, its private key and the
// certificate authorities that sign the certificates of peers.
func WithKeys(certificate, key, authority string) Option {
	return func(s *Settings) {
		s.certificate = certificate
		s.key = key
		s.authority = authority
	}
}

// WithLog sets the level and the format of log lines.
func WithLog(level Level, format Format) Option {
	return func(s *Settings) {
		s.level = level
		s.format = format
	}
}

// WithSizes sets the maximum sizes of a request's header and body.
func WithSizes(header, body bbtunit.Size) Option {
	return func(s *Settings) {
		s.headerSize = header
		s.bodySize = body
	}
}

// WithConcurrentRequests sets the maximum number of concurrent requests.
func WithConcurrentRequests(n int) Option { return func(s *Settings) { s.concurrentRequests = n } }

// WithTimeouts sets how long a caller may take to send a request's header and
// body.
func WithTimeouts(header, body time.Duration) Option {
	return func(s *Settings) {
		s.headerTimeout = header
		s.bodyTimeout = body
	}
}

// WithDrainTime sets how long a graceful shutdown waits for requests to finish.
func WithDrainTime(d time.Duration) Option { return func(s *Settings) { s.drainTime = d } }

// WithAddressLifetime sets how long callers may use an address response.
func WithAddressLifetime(d time.Duration) Option {
	return func(s *Settings) { s.addressLifetime = d }
}

// WithAddressesOffered sets the maximum number of addresses in an address
// response.
func WithAddressesOffered(n int) Option { return func(s *Settings) { s.addressesOffered = n } }
