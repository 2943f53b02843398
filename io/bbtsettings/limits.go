package bbtsettings

import (
	"time"

	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// parseLimits parses the section [limits].
func (p *parser) parseLimits(s *bbtini.Section) {
	cfg := p.settings
	cfg.headerSize, _ = bbtini.Optional(s, "header-size", DefaultHeaderSize, sizeParser(minHeaderSize, maxHeaderSize))
	cfg.bodySize, _ = bbtini.Optional(s, "body-size", DefaultBodySize, sizeParser(minBodySize, maxBodySize))
	cfg.concurrentRequests, _ = bbtini.Optional(s, "concurrent-requests", DefaultConcurrentRequests, countParser(1, maxConcurrentRequests))
	cfg.headerTimeout, _ = bbtini.Optional(s, "header-timeout", DefaultHeaderTimeout, durationParser(minTimeout, maxTimeout))
	cfg.bodyTimeout, _ = bbtini.Optional(s, "body-timeout", DefaultBodyTimeout, durationParser(minTimeout, maxTimeout))
	cfg.addressesOffered, _ = bbtini.Optional(s, "addresses-offered", DefaultAddressesOffered, countParser(1, maxAddressesOffered))
	lifetime, lifetimeOK := bbtini.Optional(s, "address-lifetime", DefaultAddressLifetime, durationParser(minLifetime, maxLifetime))
	drain, drainOK := bbtini.Optional(s, "drain-time", DefaultDrainTime, durationParser(minLifetime, maxDrainTime))
	if lifetimeOK && drainOK && drain < lifetime {
		s.ReportKeyProblem("drain-time", "is shorter than address-lifetime", bbtini.WithValue(bbtunit.FormatDuration(drain)),
			bbtini.WithWant("at least "+bbtunit.FormatDuration(lifetime)+", as callers may connect for that long"))
	}
	cfg.addressLifetime = lifetime
	cfg.drainTime = drain
}

// sizeParser returns a parser of sizes from low to high.
func sizeParser(low, high bbtunit.Size) func(string) (bbtunit.Size, error) {
	return func(text string) (bbtunit.Size, error) { return bbtunit.ParseSize(text, low, high) }
}

// countParser returns a parser of counts from low to high.
func countParser(low, high int) func(string) (int, error) {
	return func(text string) (int, error) { return bbtunit.ParseCount(text, low, high) }
}

// durationParser returns a parser of durations from low to high.
func durationParser(low, high time.Duration) func(string) (time.Duration, error) {
	return func(text string) (time.Duration, error) { return bbtunit.ParseDuration(text, low, high) }
}
