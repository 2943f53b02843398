package main

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtticket"
)

// way is one way to keep the tickets of a key apart.
type way struct {
	name  string
	serve func(f *fleet, k bbthome.Key, entry, home *process) bool
}

// ways are those weighed. Counted and uncounted are the product's own code; the
// others are models, at the level of who remembers what, of callers that do
// not count.
var ways = []way{
	{"counted", counted},
	{"uncounted", uncounted},
	{"ask-former", askFormer},
	{"two-homes", twoHomes},
}

// digest returns a key's digest.
func digest(n uint64) bbtticket.KeyDigest { return bbtticket.KeyDigest(max(n, 1)) }

// counted serves callers that count their attempts: any host issues the ticket
// of a first attempt.
func counted(f *fleet, k bbthome.Key, entry, _ *process) bool {
	return entry.home.Decide(f.now, k, bbthome.First) == bbthome.Allowed
}

// uncounted serves callers that do not count: a new home waits until no
// earlier ticket can be resent.
func uncounted(f *fleet, k bbthome.Key, _, home *process) bool {
	return home != nil && home.home.Decide(f.now, k, bbthome.Uncounted) == bbthome.Allowed
}

// askFormer is uncounted, and a new home asks each former one.
func askFormer(f *fleet, k bbthome.Key, entry, home *process) bool {
	if home == nil {
		return false
	}
	return uncounted(f, k, entry, home) || f.formersAnswer(k, home, home.home.SettleTime())
}

// formersAnswer reports whether each process that was home of the key during
// the last span remembers it, can be reached, and knows of its role's end.
func (f *fleet) formersAnswer(k bbthome.Key, home *process, span time.Duration) bool {
	from := f.now.Add(-span)
	for i, l := range f.lists {
		if i+1 < len(f.lists) && f.lists[i+1].at.Before(from) {
			continue
		}
		if l.view.Revision() > home.home.Revision() {
			return false
		}
		former := f.byID[first(l.view.Hosts(), uint64(k.Digest()))]
		since := l.at
		if since.Before(from) {
			since = from
		}
		if !f.remembers(home, former, since) {
			return false
		}
	}
	return true
}

// remembers reports whether a former home has run since the given time, can be
// reached, and has read the lists that its successor has read.
func (f *fleet) remembers(home, former *process, since time.Time) bool {
	if former.started.After(since) || former.home.Revision() < home.home.Revision() {
		return false
	}
	return former == home || f.reach(home, former)
}

// twoHomes serves a caller if both homes agree and one of them has been a home
// of the key for the whole window. It needs no lease.
func twoHomes(f *fleet, k bbthome.Key, entry, home *process) bool {
	newest := f.lists[len(f.lists)-1].view
	a, b := topTwo(newest.Hosts(), uint64(k.Digest()))
	p, q := f.byID[a], f.byID[b]
	if !f.reach(p, q) || p.home.Revision() != newest.Revision() || q.home.Revision() != newest.Revision() {
		return false
	}
	return home != nil && f.reach(entry, home) && (f.wasInPair(k, p) || f.wasInPair(k, q))
}

// wasInPair reports whether the process was one of the key's two homes in each
// list of the window.
func (f *fleet) wasInPair(k bbthome.Key, p *process) bool {
	from := f.now.Add(-bbthome.DefaultResendWindow)
	if p.started.After(from) {
		return false
	}
	for i, l := range f.lists {
		if i+1 < len(f.lists) && f.lists[i+1].at.Before(from) {
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
