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
	serve func(f *fleet, k bbthome.Key, home *process) bool
}

// ways are those weighed. Quarantine and attempt are the product's own code;
// the others are models at the level of who remembers what.
var ways = []way{
	{"quarantine", quarantine},
	{"attempt", attempt},
	{"ask-former", askFormer},
	{"attempt+ask", attemptAsk},
	{"two-homes", twoHomes},
}

// digest returns a key's digest.
func digest(n uint64) bbtticket.KeyDigest { return bbtticket.KeyDigest(max(n, 1)) }

// quarantine serves callers that say nothing about the attempt: a new home
// waits until no earlier ticket can be resent.
func quarantine(f *fleet, k bbthome.Key, home *process) bool {
	return home.home.Decide(f.now, k, false).Permission() == bbthome.Allowed
}

// attempt serves callers that mark their first attempt.
func attempt(f *fleet, k bbthome.Key, home *process) bool {
	return home.home.Decide(f.now, k, true).Permission() == bbthome.Allowed
}

// askFormer is quarantine, and a new home asks each former one.
func askFormer(f *fleet, k bbthome.Key, home *process) bool {
	return quarantine(f, k, home) || f.formersAnswer(k, home, home.home.Settle())
}

// attemptAsk is attempt, and a new home asks those that may still issue.
func attemptAsk(f *fleet, k bbthome.Key, home *process) bool {
	return attempt(f, k, home) || f.formersAnswer(k, home, home.home.Overlap())
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

// twoHomes serves unmarked callers if both homes agree and one of them has
// been a home of the key for the whole window. It needs no grace and no lease.
func twoHomes(f *fleet, k bbthome.Key, home *process) bool {
	newest := f.lists[len(f.lists)-1].view
	a, b := topTwo(newest.Hosts(), uint64(k.Digest()))
	p, q := f.byID[a], f.byID[b]
	if !f.reach(p, q) || p.home.Revision() != newest.Revision() || q.home.Revision() != newest.Revision() {
		return false
	}
	return home.able() && (f.wasInPair(k, p) || f.wasInPair(k, q))
}

// wasInPair reports whether the process was one of the key's two homes in each
// list of the window.
func (f *fleet) wasInPair(k bbthome.Key, p *process) bool {
	from := f.now.Add(-bbthome.DefaultWindow)
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
