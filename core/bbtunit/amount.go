package bbtunit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Unit is the plural name of what an amount or a rate counts.
type Unit string

// The units used in contracts.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// MaxAmount is the largest amount, and the largest rate per second, in units.
const MaxAmount = 1e12

// rateSuffix follows the unit of a rate.
const rateSuffix = "/s"

// ParseRate parses a positive rate such as 40 tokens/s, in units per second.
func ParseRate(text string, unit Unit) (float64, error) {
	want := fmt.Sprintf("a positive rate such as 40 %s/s", unit)
	return parseAmount(text, string(unit)+rateSuffix, want)
}

// ParseAmount parses a positive amount such as 200 tokens.
func ParseAmount(text string, unit Unit) (float64, error) {
	want := fmt.Sprintf("a positive amount such as 200 %s", unit)
	return parseAmount(text, string(unit), want)
}

// FormatRate formats a rate so that ParseRate returns exactly the same value.
func FormatRate(perSecond float64, unit Unit) string {
	return FormatAmount(perSecond, unit) + rateSuffix
}

// FormatAmount formats an amount so that ParseAmount returns exactly the same
// value.
func FormatAmount(n float64, unit Unit) string {
	return strconv.FormatFloat(n, 'f', -1, 64) + " " + string(unit)
}

// parseAmount parses a positive number, a space and a unit.
func parseAmount(text, unit, want string) (float64, error) {
	number, rest, _ := strings.Cut(text, " ")
	if strings.TrimSpace(rest) != unit {
		return 0, newError(text, "does not have the unit "+unit, want)
	}
	if strings.Trim(number, "0123456789.-") != "" {
		return 0, newError(text, "has no decimal number before its unit", want)
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(n) {
		return 0, newError(text, "has no decimal number before its unit", want)
	}
	if n <= 0 || n > MaxAmount {
		return 0, newError(text, "is out of range", want)
	}
	return n, nil
}
