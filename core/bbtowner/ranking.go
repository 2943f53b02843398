package bbtowner

import "bluebelltray/core/bbtfleet"

// scoredHost is a host with its rendezvous score.
type scoredHost struct {
	hashedHost hashedHost
	score      uint64
}

// ranking keeps the hosts with the highest scores in descending order. Among
// equal scores the host that was offered first comes first.
type ranking struct {
	entries []scoredHost
	limit   int
}

// newRanking returns a ranking of at most limit hosts.
func newRanking(limit int) ranking {
	return ranking{entries: make([]scoredHost, 0, limit+1), limit: limit}
}

// offer adds the host if its score is among the highest.
func (r *ranking) offer(h hashedHost, score uint64) {
	if len(r.entries) == r.limit && score <= r.entries[r.limit-1].score {
		return
	}
	r.entries = append(r.entries, scoredHost{hashedHost: h, score: score})
	for i := len(r.entries) - 1; i > 0 && r.entries[i].score > r.entries[i-1].score; i-- {
		r.entries[i], r.entries[i-1] = r.entries[i-1], r.entries[i]
	}
	r.entries = r.entries[:min(len(r.entries), r.limit)]
}

// ids returns the hosts' IDs in order.
func (r *ranking) ids() []bbtfleet.HostID {
	out := make([]bbtfleet.HostID, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.hashedHost.host.ID())
	}
	return out
}

// addrs returns the hosts' caller addresses in order.
func (r *ranking) addrs() []string {
	out := make([]string, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.hashedHost.host.CallerAddr())
	}
	return out
}
