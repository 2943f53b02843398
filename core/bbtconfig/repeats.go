package bbtconfig

import (
	"strconv"
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// repeat allows the calls of one pool to be repeated.
type repeat struct {
	pool  bbtfleet.PoolID
	count int
}

// parseRepeats parses a list of pools and counts such as tracking 2, labels 1.
func parseRepeats(text string) ([]repeat, error) {
	const want = "pools and how often a call may be repeated, such as tracking 2, labels 1"
	var out []repeat
	seen := make(map[string]bool)
	for item := range strings.SplitSeq(text, ",") {
		fields := strings.Fields(item)
		if len(fields) != 2 || !bbtini.IsName(fields[0]) {
			return nil, bbtunit.NewError(text, "is no list of pools and counts", want)
		}
		n, err := bbtunit.ParseCount(fields[1], 1, MaxRetries)
		if err != nil {
			return nil, bbtunit.NewError(text, "has a count outside 1 to "+strconv.Itoa(MaxRetries), want)
		}
		if seen[fields[0]] {
			return nil, bbtunit.NewError(text, "names a pool twice", want)
		}
		seen[fields[0]] = true
		out = append(out, repeat{pool: bbtfleet.PoolID(strings.Clone(fields[0])), count: n})
	}
	return out, nil
}

// formatRepeats returns the list for the contract's repeatable pools, or an
// empty string.
func formatRepeats(c bbtfleet.Contract) string {
	var items []string
	for _, p := range c.RetryablePools() {
		items = append(items, string(p)+" "+strconv.Itoa(c.MaxRetries(p)))
	}
	return strings.Join(items, ", ")
}
