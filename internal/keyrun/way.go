package main

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtticket"
)

// strategy decides whether a first attempt gets a ticket, such that at most one
// ticket of an idempotency key leads to a dispatch.
type strategy struct {
	name  string
	serve func(f *fleet, k bbthome.Key, entry, home *process) bool
}

// strategies are the strategies compared. Counted and uncounted run the
// implementation in bbthome; the others model only which hosts have records of a
// key's tickets, for callers that do not count their attempts, that is, that do not
// send an attempt number with each call.
var strategies = []strategy{
	{"counted", counted},
	{"uncounted", uncounted},
	{"ask-former", askFormer},
	{"two-homes", twoHomes},
}

// digest returns n as a key digest, which is never zero.
func digest(n uint64) bbtticket.KeyDigest { return bbtticket.KeyDigest(max(n, 1)) }

// counted is the strategy for callers that count their attempts: any host issues
// the ticket of a first attempt.
func counted(f *fleet, k bbthome.Key, entry, _ *process) bool {
	return entry.home.Decide(f.now, k, bbthome.First) == bbthome.Allowed
}

// uncounted is the strategy for callers that do not count their attempts: a new
// home issues no ticket as long as a ticket of a former home can be resent.
func uncounted(f *fleet, k bbthome.Key, _, home *process) bool {
	return home != nil && home.home.Decide(f.now, k, bbthome.Uncounted) == bbthome.Allowed
}

// askFormer is like uncounted, but a new home may issue a ticket earlier if each
// former home answers that it has issued none.
func askFormer(f *fleet, k bbthome.Key, entry, home *process) bool {
	if home == nil {
		return false
	}
	return uncounted(f, k, entry, home) || f.formerHomesCanAnswer(k, home, home.home.SettleTime())
}

// formerHomesCanAnswer reports whether each process that was home of the key during
// the last span still has its records, can be reached, and knows that it is no
// longer the home.
func (f *fleet) formerHomesCanAnswer(k bbthome.Key, home *process, span time.Duration) bool {
	from := f.now.Add(-span)
	for i, l := range f.revisions {
		if i+1 < len(f.revisions) && f.revisions[i+1].at.Before(from) {
			continue
		}
		if l.view.Revision() > home.home.Revision() {
			return false
		}
		former := f.byID[topHost(l.view.Hosts(), uint64(k.Digest()))]
		since := l.at
		if since.Before(from) {
			since = from
		}
		if !f.canAnswer(home, former, since) {
			return false
		}
	}
	return true
}

// canAnswer reports whether a former home has run since the given time, can be
// reached, and has read every revision that its successor has read.
func (f *fleet) canAnswer(home, former *process, since time.Time) bool {
	if former.started.After(since) || former.home.Revision() < home.home.Revision() {
		return false
	}
	return former == home || f.reachable(home, former)
}

// twoHomes issues a ticket if both homes of the key know the newest list and one of
// them has been a home of the key for the whole resend window. Unlike
// bbthome.Registry, it needs no lease (see bbthome.WithLease).
func twoHomes(f *fleet, k bbthome.Key, entry, home *process) bool {
	newest := f.revisions[len(f.revisions)-1].view
	a, b := topTwo(newest.Hosts(), uint64(k.Digest()))
	p, q := f.byID[a], f.byID[b]
	if !f.reachable(p, q) || p.home.Revision() != newest.Revision() || q.home.Revision() != newest.Revision() {
		return false
	}
	return home != nil && f.reachable(entry, home) && (f.wasHomeForWindow(k, p) || f.wasHomeForWindow(k, q))
}

// wasHomeForWindow reports whether the process ran and was one of the key's two
// homes throughout the resend window.
func (f *fleet) wasHomeForWindow(k bbthome.Key, p *process) bool {
	from := f.now.Add(-bbthome.DefaultResendWindow)
	if p.started.After(from) {
		return false
	}
	for i, l := range f.revisions {
		if i+1 < len(f.revisions) && f.revisions[i+1].at.Before(from) {
			continue
		}
		if !isHome(p.id, l.view.Hosts(), uint64(k.Digest())) {
			return false
		}
	}
	return true
}

// isHome reports whether the host is one of the key's two homes.
func isHome(id bbtfleet.HostID, hosts []bbtfleet.HostID, key uint64) bool {
	a, b := topTwo(hosts, key)
	return id == a || id == b
}
