package bbtunit_test

import (
	"testing"
	"time"

	"bluebelltray/core/bbtunit"
)

// parsers parse a text of each kind and format the value again.
var parsers = map[string]func(string) (string, error){
	"duration": func(text string) (string, error) {
		d, err := bbtunit.ParseDuration(text, time.Millisecond, 24*time.Hour)
		return bbtunit.FormatDuration(d), err
	},
	"rate": func(text string) (string, error) {
		n, err := bbtunit.ParseRate(text, bbtunit.Tokens)
		return bbtunit.FormatRate(n, bbtunit.Tokens), err
	},
	"amount": func(text string) (string, error) {
		n, err := bbtunit.ParseAmount(text, bbtunit.Requests)
		return bbtunit.FormatAmount(n, bbtunit.Requests), err
	},
	"size": func(text string) (string, error) {
		n, err := bbtunit.ParseSize(text, 2*bbtunit.Byte, bbtunit.Gibibyte)
		return bbtunit.FormatSize(n), err
	},
	"addr": bbtunit.ParseAddr,
	"word": func(text string) (string, error) { return bbtunit.ParseEnum(text, "in", "out", "off") },
}

const (
	wantDuration = "a duration from 1ms to 24h, such as 250ms or 2s"
	wantRate     = "a positive rate such as 40 tokens/s"
	wantAmount   = "a positive amount such as 200 requests"
	wantSize     = "a size from 2B to 1GiB, such as 64KiB"
	wantAddr     = "an IP address and a port, such as 10.0.0.1:8000"
	wantWord     = "in, out or off"
)

func TestInvalidTexts(t *testing.T) {
	tests := []struct{ kind, text, reason, want string }{
		{"duration", "", "value is empty", wantDuration},
		{"duration", "90", "is not a duration", wantDuration},
		{"duration", "-1s", "is out of range", wantDuration},
		{"duration", "0s", "is out of range", wantDuration},
		{"duration", "24h1ns", "is out of range", wantDuration},
		{"rate", "40", "does not have the unit tokens/s", wantRate},
		{"rate", "40 requests/s", "does not have the unit tokens/s", wantRate},
		{"rate", "40 tokens/m", "does not have the unit tokens/s", wantRate},
		{"rate", "-40 tokens/s", "is out of range", wantRate},
		{"rate", "0 tokens/s", "is out of range", wantRate},
		{"rate", "1e3 tokens/s", "has no decimal number before its unit", wantRate},
		{"rate", "inf tokens/s", "has no decimal number before its unit", wantRate},
		{"rate", "nan tokens/s", "has no decimal number before its unit", wantRate},
		{"rate", "0x10 tokens/s", "has no decimal number before its unit", wantRate},
		{"rate", "1.2.3 tokens/s", "has no decimal number before its unit", wantRate},
		{"rate", "1000000000001 tokens/s", "is out of range", wantRate},
		{"amount", "5 tokens", "does not have the unit requests", wantAmount},
		{"size", "64", "does not have the unit B, KiB, MiB or GiB", wantSize},
		{"size", "64KB", "is not a whole number followed by B, KiB, MiB or GiB", wantSize},
		{"size", "1.5KiB", "is not a whole number followed by B, KiB, MiB or GiB", wantSize},
		{"size", "1B", "is out of range", wantSize},
		{"size", "2GiB", "is out of range", wantSize},
		{"size", "9223372036854775807GiB", "is out of range", wantSize},
		{"addr", "localhost:80", "is not a valid address", wantAddr},
		{"addr", "10.0.0.1", "is not a valid address", wantAddr},
		{"addr", "10.0.0.1:0", "is not a valid address", wantAddr},
		{"addr", "[fe80::1%eth0]:80", "is not a valid address", wantAddr},
		{"word", "In", "is not a known word", wantWord},
	}
	for _, tt := range tests {
		_, err := parsers[tt.kind](tt.text)
		unitErr, ok := err.(*bbtunit.Error)
		if !ok {
			t.Errorf("%s %q: got %v, want an error", tt.kind, tt.text, err)
			continue
		}
		if unitErr.Text() != tt.text || unitErr.Reason() != tt.reason || unitErr.Want() != tt.want {
			t.Errorf("got  %v\nwant %q %s; want %s", unitErr, tt.text, tt.reason, tt.want)
		}
	}
	if _, err := bbtunit.ParseCount("9", 1, 8); err == nil {
		t.Error("got a count of 9, want an error above 8")
	}
}

func TestFormattedValuesRoundTrip(t *testing.T) {
	tests := []struct{ kind, text, printed string }{
		{"duration", "250ms", "250ms"},
		{"duration", "90s", "1m30s"},
		{"duration", "120m", "2h"},
		{"duration", "1h30m", "90m"},
		{"duration", "1m0.0000015s", "1m0.0000015s"},
		{"rate", "40.50  tokens/s", "40.5 tokens/s"},
		{"rate", "0.1 tokens/s", "0.1 tokens/s"},
		{"amount", "1000000000000 requests", "1000000000000 requests"},
		{"size", "1024KiB", "1MiB"},
		{"size", "1025B", "1025B"},
		{"addr", "[::ffff:10.0.0.1]:08", "10.0.0.1:8"},
		{"addr", "[2001:db8:0::1]:80", "[2001:db8::1]:80"},
	}
	for _, tt := range tests {
		got, err := parsers[tt.kind](tt.text)
		if err != nil || got != tt.printed {
			t.Errorf("%s %q: got %q, %v; want %q", tt.kind, tt.text, got, err, tt.printed)
			continue
		}
		if again, err := parsers[tt.kind](got); err != nil || again != got {
			t.Errorf("%s %q: got %q, %v when parsed again", tt.kind, got, again, err)
		}
	}
}
