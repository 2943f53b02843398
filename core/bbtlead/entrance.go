package bbtlead

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxEntrances is the number of hosts that one caller is given. Callers of the
// platform use no more.
const MaxEntrances = 64

// Entrance is a host that accepts callers.
type Entrance struct {
	Addr     string // IP:port
	CPUClass uint64 // of its incarnation; 0 if unknown
	Owner    bool
}

// CPUClass returns the class of the CPU share that a host's incarnation encodes.
// The share doubles from one class to the next.
func CPUClass(incarnation uint64) uint64 { return incarnation & cpuClassMask }

// Entrances returns the addresses of the hosts that a caller is to use: all of
// them in a fleet of up to MaxEntrances, else MaxEntrances, without the owner,
// which works for the whole fleet. A host is given to the more callers the more of
// a processor it has. All hosts choose the same for a caller, and a host that comes
// or goes changes at most one address. The choice is by weighted rendezvous
// hashing, see Schindelhauer and Schomaker, "Weighted Distributed Hash Tables",
// SPAA 2005.
func Entrances(caller string, hosts []Entrance) []string {
	if len(hosts) <= MaxEntrances {
		out := make([]string, 0, len(hosts))
		for _, h := range hosts {
			out = append(out, h.Addr)
		}
		return out
	}
	type ranked struct {
		addr string
		cost float64
	}
	var best []ranked
	for _, h := range hosts {
		if !h.Owner {
			best = append(best, ranked{h.Addr, h.cost(caller)})
		}
	}
	slices.SortFunc(best, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.addr, b.addr)) })
	var out []string
	for _, r := range best[:min(MaxEntrances, len(best))] {
		out = append(out, r.addr)
	}
	return out
}

// cost is a number that is random for each pair of caller and host, exponentially
// distributed with a mean that is the inverse of the host's CPU share.
func (h Entrance) cost(caller string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(h.Addr)
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / math.Exp2(float64(h.CPUClass))
}
