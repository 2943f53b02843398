package bbtconfig

import (
	"net/netip"
	"strings"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// The limits of values.
const (
	MaxSlots    = 100_000
	MaxRepeats  = 10
	MinDeadline = time.Millisecond
	MaxDeadline = 24 * time.Hour
)

// unlimited stands in place of a rate without a limit.
const unlimited = "unlimited"

// parseName parses the name of a zone, region or pool.
func parseName(text string) (string, error) {
	if !bbtini.IsName(text) {
		return "", bbtunit.Refuse(text, "is no name", "1 to 64 letters, digits, dots, dashes and underscores")
	}
	return strings.Clone(text), nil
}

// parseOut parses the state of a zone or endpoint; true means out.
func parseOut(text string) (bool, error) {
	switch text {
	case "in":
		return false, nil
	case "out":
		return true, nil
	}
	return false, bbtunit.Refuse(text, "is no state", "in or out")
}

// parseYes parses a switch.
func parseYes(text string) (bool, error) {
	switch text {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	}
	return false, bbtunit.Refuse(text, "is no switch", "yes or no")
}

// parseKind parses an endpoint's kind.
func parseKind(text string) (bbtfleet.Kind, error) {
	for _, k := range []bbtfleet.Kind{bbtfleet.ModelEngine, bbtfleet.PlainService} {
		if text == k.String() {
			return k, nil
		}
	}
	return 0, bbtunit.Refuse(text, "is no kind of endpoint", "model-engine or plain-service")
}

// parseAddr parses a TCP address and returns it in its shortest form, so that
// equal addresses are equal texts.
func parseAddr(text string) (string, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 {
		return "", bbtunit.Refuse(text, "is no address", "an IP number and a port, such as 10.0.0.1:8000")
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()).String(), nil
}

// parseSlots parses how many requests an endpoint runs at once.
func parseSlots(text string) (int, error) { return bbtunit.ParseCount(text, 1, MaxSlots) }

// parseTier parses a tier.
func parseTier(text string) (bbtfleet.Tier, error) {
	n, err := bbtunit.ParseCount(text, 1, int(bbtfleet.LowestTier))
	return bbtfleet.Tier(n), err
}

// parseDeadline parses the time from a request's arrival to its whole answer.
func parseDeadline(text string) (time.Duration, error) {
	return bbtunit.ParseDuration(text, MinDeadline, MaxDeadline)
}

// rateParser returns the parser of a rate; zero means no limit.
func rateParser(unit bbtunit.Unit) func(string) (float64, error) {
	return func(text string) (float64, error) {
		if text == unlimited {
			return 0, nil
		}
		return bbtunit.ParseRate(text, unit)
	}
}

// burstParser returns the parser of a burst, which holds at least one unit.
func burstParser(unit bbtunit.Unit) func(string) (float64, error) {
	return func(text string) (float64, error) {
		n, err := bbtunit.ParseAmount(text, unit)
		if err == nil && n < 1 {
			return 0, bbtunit.Refuse(text, "admits nothing", "at least 1 "+string(unit))
		}
		return n, err
	}
}
