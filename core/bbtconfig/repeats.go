package bbtconfig

import (
	"strconv"
	"strings"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtini"
	"bluebelltray/core/bbtunit"
)

// poolRetries is the number of times that a call to a pool may be retried.
type poolRetries struct {
	pool  bbtfleet.PoolID
	count int
}

// parseRetries parses a list of pools and counts such as tracking 2, labels 1.
func parseRetries(text string) ([]poolRetries, error) {
	const want = "pools and how often a call may be repeated, such as tracking 2, labels 1"
	var out []poolRetries
	seen := make(map[string]bool)
	for item := range strings.SplitSeq(text, ",") {
		fields := strings.Fields(item)
		if len(fields) != 2 || !bbtini.IsName(fields[0]) {
			return nil, bbtunit.NewError(text, "is not a list of pools and counts", want)
		}
		n, err := bbtunit.ParseCount(fields[1], 1, MaxRetries)
		if err != nil {
			return nil, bbtunit.NewError(text, "has a count outside 1 to "+strconv.Itoa(MaxRetries), want)
		}
		if seen[fields[0]] {
			return nil, bbtunit.NewError(text, "lists a pool twice", want)
		}
		seen[fields[0]] = true
		out = append(out, poolRetries{pool: bbtfleet.PoolID(strings.Clone(fields[0])), count: n})
	}
	return out, nil
}

// formatRetries returns the list of the retryable pools of a contract, or an
// empty string if there are none.
func formatRetries(c bbtfleet.Contract) string {
	var items []string
	for _, p := range c.RetryablePools() {
		items = append(items, string(p)+" "+strconv.Itoa(c.MaxRetries(p)))
	}
	return strings.Join(items, ", ")
}
