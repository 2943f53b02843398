package bbtsettings

import (
	"time"

	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// limits reads the section [limits].
func (p *parser) limits(s *bbtini.Section) {
	t := p.settings
	t.headerSize, _ = bbtini.Optional(s, "header-size", DefaultHeaderSize, sizeParser(minHeaderSize, maxHeaderSize))
	t.bodySize, _ = bbtini.Optional(s, "body-size", DefaultBodySize, sizeParser(minBodySize, maxBodySize))
	t.concurrent, _ = bbtini.Optional(s, "concurrent-requests", DefaultConcurrentRequests, countParser(1, maxConcurrent))
	t.headerTimeout, _ = bbtini.Optional(s, "header-timeout", DefaultHeaderTimeout, durationParser(minTimeout, maxTimeout))
	t.bodyTimeout, _ = bbtini.Optional(s, "body-timeout", DefaultBodyTimeout, durationParser(minTimeout, maxTimeout))
	t.addressesOffered, _ = bbtini.Optional(s, "addresses-offered", DefaultAddressesOffered, countParser(1, maxOfferedHosts))
	lifetime, known := bbtini.Optional(s, "address-lifetime", DefaultAddressLifetime, durationParser(minLifetime, maxLifetime))
	drain, ok := bbtini.Optional(s, "drain-time", DefaultDrainTime, durationParser(minLifetime, maxDrainTime))
	if known && ok && drain < lifetime {
		s.RefuseKey("drain-time", "is shorter than address-lifetime", bbtini.WithValue(bbtunit.FormatDuration(drain)),
			bbtini.WithWant("at least "+bbtunit.FormatDuration(lifetime)+", as callers may connect for that long"))
	}
	t.addressLifetime = lifetime
	t.drainTime = drain
}

// sizeParser returns the parser of a size between low and high.
func sizeParser(low, high bbtunit.Size) func(string) (bbtunit.Size, error) {
	return func(text string) (bbtunit.Size, error) { return bbtunit.ParseSize(text, low, high) }
}

// countParser returns the parser of a count between low and high.
func countParser(low, high int) func(string) (int, error) {
	return func(text string) (int, error) { return bbtunit.ParseCount(text, low, high) }
}

// durationParser returns the parser of a duration between low and high.
func durationParser(low, high time.Duration) func(string) (time.Duration, error) {
	return func(text string) (time.Duration, error) { return bbtunit.ParseDuration(text, low, high) }
}
