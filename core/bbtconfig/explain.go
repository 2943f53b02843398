package bbtconfig

import (
	"fmt"
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtunit"
)

// Explain describes a contract in plain sentences, one per line.
func Explain(c bbtfleet.Contract) string {
	lines := []string{
		fmt.Sprintf("Client account %s ranks in tier %d%s.", c.Account(), c.Tier(), explainTier(c.Tier())),
		explainRate(c.Requests(), bbtunit.Requests),
		explainRate(c.Tokens(), bbtunit.Tokens),
		fmt.Sprintf("A complete answer is due within %s; a request that cannot meet this deadline is refused before it runs.",
			bbtunit.FormatDuration(c.Deadline())),
	}
	for _, p := range c.RetryablePools() {
		lines = append(lines, fmt.Sprintf("A call to %s may be repeated up to %s.", p, times(c.MaxRetries(p))))
	}
	lines = append(lines, explainOtherPools(c))
	return strings.Join(lines, "\n")
}

// explainTier describes how a tier compares with the others.
func explainTier(t bbtfleet.Tier) string {
	switch t {
	case 1:
		return ", the highest: it is shed last"
	case bbtfleet.LowestTier:
		return ", the lowest: it is shed first"
	}
	return fmt.Sprintf(" of %d: tiers 1 to %d are shed after it", bbtfleet.LowestTier, t-1)
}

// explainRate describes a rate and its burst.
func explainRate(r bbtfleet.Rate, unit bbtunit.Unit) string {
	if r.PerSecond() == 0 {
		return fmt.Sprintf("Its %s are not limited.", unit)
	}
	return fmt.Sprintf("It may send %s in the long run and %s at once.",
		bbtunit.FormatRate(r.PerSecond(), unit), bbtunit.FormatAmount(r.Burst(), unit))
}

// explainOtherPools describes the calls that may not be repeated.
func explainOtherPools(c bbtfleet.Contract) string {
	others := "A call"
	if len(c.RetryablePools()) > 0 {
		others = "A call to any other pool"
	}
	return others + " runs at most once, and needs a ticket if it goes to a plain service or has an idempotency key."
}

// times returns a number of times in words.
func times(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}
