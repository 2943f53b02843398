package bbtconfig

import (
	"time"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtunit"
)

// Limits of configuration values.
const (
	MaxSlots    = 100_000
	MaxRetries  = 10
	MinDeadline = time.Millisecond
	MaxDeadline = 24 * time.Hour
)

// unlimited is the value of a rate without a limit.
const unlimited = "unlimited"

// parseOutOfService parses the state of a zone or endpoint and reports whether
// it is out of service.
func parseOutOfService(text string) (bool, error) {
	word, err := bbtunit.ParseEnum(text, "in", "out")
	return word == "out", err
}

// parseYesNo parses a yes or no value.
func parseYesNo(text string) (bool, error) {
	word, err := bbtunit.ParseEnum(text, "yes", "no")
	return word == "yes", err
}

// parseKind parses the kind of an endpoint.
func parseKind(text string) (bbtfleet.Kind, error) {
	service := bbtfleet.PlainService.String()
	word, err := bbtunit.ParseEnum(text, bbtfleet.ModelEngine.String(), service)
	if word == service {
		return bbtfleet.PlainService, err
	}
	return bbtfleet.ModelEngine, err
}

// parseSlots parses the number of requests that an endpoint runs concurrently.
func parseSlots(text string) (int, error) { return bbtunit.ParseCount(text, 1, MaxSlots) }

func parseTier(text string) (bbtfleet.Tier, error) {
	n, err := bbtunit.ParseCount(text, 1, int(bbtfleet.LowestTier))
	return bbtfleet.Tier(n), err
}

// parseDeadline parses the maximum time from the arrival of a request to its
// complete answer.
func parseDeadline(text string) (time.Duration, error) {
	return bbtunit.ParseDuration(text, MinDeadline, MaxDeadline)
}

// rateParser returns a parser of rates. Its result is zero for a rate without a
// limit.
func rateParser(unit bbtunit.Unit) func(string) (float64, error) {
	return func(text string) (float64, error) {
		if text == unlimited {
			return 0, nil
		}
		n, err := bbtunit.ParseRate(text, unit)
		var unitErr *bbtunit.Error
		if errors.As(err, &unitErr) {
			return 0, bbtunit.NewError(text, unitErr.Reason(), unlimited+", or "+unitErr.Want())
		}
		return n, err
	}
}

// burstParser returns a parser of bursts, which must be at least one unit.
func burstParser(unit bbtunit.Unit) func(string) (float64, error) {
	return func(text string) (float64, error) {
		n, err := bbtunit.ParseAmount(text, unit)
		if err == nil && n < 1 {
			return 0, bbtunit.NewError(text, "is less than one unit", "at least 1 "+string(unit))
		}
		return n, err
	}
}
