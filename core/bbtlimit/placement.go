package bbtlimit

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebelltray/core/bbtfleet"
)

// The largest rates that one home enforces. An account with higher rates has
// more homes.
const (
	requestsPerHome = 25.0   // requests per second
	tokensPerHome   = 5000.0 // tokens per second
)

// homeCount returns the number of homes of an account if there are enough
// hosts. Placement.HomeHosts of core/bbtowner uses the same scores, but returns a
// fixed number of hosts for each account, reachable or not.
func homeCount(c bbtfleet.Contract) int {
	homes := max(c.Requests().PerSecond()/requestsPerHome, c.Tokens().PerSecond()/tokensPerHome)
	return int(min(max(math.Ceil(homes), 1), math.MaxInt32))
}

// candidate is a host that can be a home.
type candidate struct {
	id    bbtfleet.HostID
	hash  uint64
	score uint64 // for the account whose homes were computed most recently
}

// placement computes the homes of accounts for one view of the hosts.
type placement struct {
	epoch          uint64
	reachableShare float64 // fraction of the listed hosts that are reachable, 0 to 1
	candidates     []candidate
	listed         []bbtfleet.HostID
	reachable      []bbtfleet.HostID
}

// newPlacement returns the placement over the listed hosts that are reachable.
func newPlacement(listed, reachable []bbtfleet.HostID, epoch uint64) placement {
	p := placement{epoch: epoch, listed: slices.Clone(listed), reachable: slices.Clone(reachable)}
	for _, id := range listed {
		if slices.Contains(reachable, id) {
			p.candidates = append(p.candidates, candidate{id: id, hash: xxhash.Sum64String(string(id))})
		}
	}
	if len(listed) > 0 {
		p.reachableShare = float64(len(p.candidates)) / float64(len(listed))
	}
	return p
}

// matches reports whether the placement was computed for this view.
func (p *placement) matches(listed, reachable []bbtfleet.HostID) bool {
	return slices.Equal(p.listed, listed) && slices.Equal(p.reachable, reachable)
}

// homes returns the n hosts with the highest score for the account, in
// descending order.
func (p *placement) homes(id bbtfleet.AccountID, n int) []bbtfleet.HostID {
	key := xxhash.Sum64String("account/" + string(id))
	for i := range p.candidates {
		p.candidates[i].score = score(p.candidates[i].hash, key)
	}
	n = min(n, len(p.candidates))
	out := make([]bbtfleet.HostID, 0, n)
	if n == 1 {
		best := slices.MaxFunc(p.candidates, byScore)
		return append(out, best.id)
	}
	ranked := slices.Clone(p.candidates)
	slices.SortFunc(ranked, func(a, b candidate) int { return byScore(b, a) })
	for _, c := range ranked[:n] {
		out = append(out, c.id)
	}
	return out
}

// byScore orders candidates by score and then by ID, so that every host
// computes the same order.
func byScore(a, b candidate) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	case a.id > b.id:
		return -1
	case a.id < b.id:
		return 1
	}
	return 0
}

// score returns the rendezvous score of a host for a key. It must equal the
// score of core/bbtowner, which directs callers to the homes.
func score(host, key uint64) uint64 {
	const word = 8 // bytes
	var buf [2 * word]byte
	binary.LittleEndian.PutUint64(buf[:word], host)
	binary.LittleEndian.PutUint64(buf[word:], key)
	return xxhash.Sum64(buf[:])
}
