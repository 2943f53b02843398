package bbtconfig

import (
	"time"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtunit"
)

// The limits of values.
const (
	MaxSlots    = 100_000
	MaxRetries  = 10
	MinDeadline = time.Millisecond
	MaxDeadline = 24 * time.Hour
)

// unlimited stands in place of a rate without a limit.
const unlimited = "unlimited"

// parseOut parses the state of a zone or endpoint; true means out.
func parseOut(text string) (bool, error) {
	word, err := bbtunit.ParseEnum(text, "in", "out")
	return word == "out", err
}

// parseYes parses a switch.
func parseYes(text string) (bool, error) {
	word, err := bbtunit.ParseEnum(text, "yes", "no")
	return word == "yes", err
}

// parseKind parses an endpoint's kind.
func parseKind(text string) (bbtfleet.Kind, error) {
	service := bbtfleet.PlainService.String()
	word, err := bbtunit.ParseEnum(text, bbtfleet.ModelEngine.String(), service)
	if word == service {
		return bbtfleet.PlainService, err
	}
	return bbtfleet.ModelEngine, err
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
		n, err := bbtunit.ParseRate(text, unit)
		var refusal *bbtunit.Error
		if errors.As(err, &refusal) {
			return 0, bbtunit.NewError(text, refusal.Reason(), unlimited+", or "+refusal.Want())
		}
		return n, err
	}
}

// burstParser returns the parser of a burst, which holds at least one unit.
func burstParser(unit bbtunit.Unit) func(string) (float64, error) {
	return func(text string) (float64, error) {
		n, err := bbtunit.ParseAmount(text, unit)
		if err == nil && n < 1 {
			return 0, bbtunit.NewError(text, "admits nothing", "at least 1 "+string(unit))
		}
		return n, err
	}
}
