// Package bbtunit parses and formats single values of settings and contracts:
// durations, rates, amounts, sizes, counts, addresses and enumerated words.
package bbtunit

import (
	"fmt"
	"strconv"
)

// ParseCount parses a whole number from low to high.
func ParseCount(text string, low, high int) (int, error) {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, newError(text, "is not a whole number", want)
	}
	if n < low || n > high {
		return 0, newError(text, "is out of range", want)
	}
	return n, nil
}
