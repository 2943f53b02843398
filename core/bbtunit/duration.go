package bbtunit

import (
	"fmt"
	"time"
)

// ParseDuration parses a duration from low to high, such as 250ms, 1.5s or 2m.
func ParseDuration(text string, low, high time.Duration) (time.Duration, error) {
	want := fmt.Sprintf("a duration from %s to %s, such as 250ms or 2s", FormatDuration(low), FormatDuration(high))
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, newError(text, "is not a duration", want)
	}
	if d < low || d > high {
		return 0, newError(text, "is out of range", want)
	}
	return d, nil
}

// FormatDuration formats a duration so that ParseDuration returns exactly the
// same value.
func FormatDuration(d time.Duration) string {
	if d > 0 && d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	if d > 0 && d%time.Minute == 0 {
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return d.String()
}
