package bbtconfig

import (
	"bytes"
	"fmt"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtunit"
)

// FormatManifest returns the text of a manifest that lists the parts.
func FormatManifest(r bbtfleet.Revision, parts []Part) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[manifest]\nrevision = %d\n", r)
	for _, p := range parts {
		ref := NewPartRef(p)
		fmt.Fprintf(&b, "\n[part %s]\n", ref.key)
		fmt.Fprintf(&b, "digest = %s\n", formatDigest(ref.digest))
		fmt.Fprintf(&b, "size = %s\n", bbtunit.FormatSize(bbtunit.Size(ref.size)))
	}
	return b.Bytes()
}

// FormatZone returns the section of a zone.
func FormatZone(z bbtfleet.Zone) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[zone %s]\n", z.ID())
	fmt.Fprintf(&b, "region = %s\n", z.Region())
	fmt.Fprintf(&b, "state = %s\n", formatOutOfService(z.OutOfService()))
	return b.Bytes()
}

// FormatEndpoint returns the section of an endpoint.
func FormatEndpoint(e bbtfleet.Endpoint) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[endpoint %s]\n", e.ID())
	fmt.Fprintf(&b, "zone = %s\n", e.Zone())
	fmt.Fprintf(&b, "kind = %s\n", e.Kind())
	fmt.Fprintf(&b, "address = %s\n", e.Addr())
	fmt.Fprintf(&b, "pool = %s\n", e.Pool())
	fmt.Fprintf(&b, "slots = %d\n", e.Slots())
	fmt.Fprintf(&b, "fencing = %s\n", formatYesNo(e.Fencing()))
	fmt.Fprintf(&b, "state = %s\n", formatOutOfService(e.OutOfService()))
	return b.Bytes()
}

// FormatContract returns the section of a contract.
func FormatContract(c bbtfleet.Contract) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[contract %s]\n", c.Account())
	fmt.Fprintf(&b, "tier = %d\n", c.Tier())
	formatRate(&b, "requests", "request-burst", c.Requests(), bbtunit.Requests)
	formatRate(&b, "tokens", "token-burst", c.Tokens(), bbtunit.Tokens)
	fmt.Fprintf(&b, "deadline = %s\n", bbtunit.FormatDuration(c.Deadline()))
	if list := formatRetries(c); list != "" {
		fmt.Fprintf(&b, "repeatable = %s\n", list)
	}
	return b.Bytes()
}

// formatRate writes the keys of a rate and its burst.
func formatRate(b *bytes.Buffer, rateKey, burstKey string, r bbtfleet.Rate, unit bbtunit.Unit) {
	if r.PerSecond() == 0 {
		fmt.Fprintf(b, "%s = %s\n", rateKey, unlimited)
		return
	}
	fmt.Fprintf(b, "%s = %s\n", rateKey, bbtunit.FormatRate(r.PerSecond(), unit))
	fmt.Fprintf(b, "%s = %s\n", burstKey, bbtunit.FormatAmount(r.Burst(), unit))
}

// formatOutOfService returns the state of a zone or endpoint.
func formatOutOfService(outOfService bool) string {
	if outOfService {
		return "out"
	}
	return "in"
}

// formatYesNo returns yes or no.
func formatYesNo(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}
