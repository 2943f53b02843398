package bbtqueue

import (
	"cmp"
	"slices"

	"bluebelltray/core/bbtfleet"
)

// tierQueue holds the waiting requests of one tier. Accounts share by
// start-time fair queueing: the account that has received the least work
// since it became active goes first.
type tierQueue struct {
	active  []*share // sorted by compareShares
	shares  map[bbtfleet.AccountID]*share
	virtual float64 // work received by the account served last
	cost    float64
}

// share is one account's part of a tier.
type share struct {
	account bbtfleet.AccountID
	served  float64 // virtual work received
	items   []Item  // sorted by before
}

func compareShares(a, b *share) int {
	return cmp.Or(cmp.Compare(a.served, b.served), cmp.Compare(a.account, b.account))
}

func (t *tierQueue) push(it Item) {
	if t.shares == nil {
		t.shares = make(map[bbtfleet.AccountID]*share)
	}
	s := t.shares[it.Account]
	if s == nil {
		s = &share{account: it.Account}
		t.shares[it.Account] = s
	}
	if len(s.items) == 0 {
		s.served = max(s.served, t.virtual)
		t.activate(s)
	}
	i, _ := slices.BinarySearchFunc(s.items, it, before)
	s.items = slices.Insert(s.items, i, it)
	t.cost += it.Cost
}

func (t *tierQueue) remove(it Item) {
	s := t.shares[it.Account]
	i, ok := slices.BinarySearchFunc(s.items, it, before)
	if !ok {
		return
	}
	t.take(s, i)
}

// charge adds the request's cost to its account's share.
func (t *tierQueue) charge(it Item) {
	s := t.shares[it.Account]
	if s == nil {
		return
	}
	t.virtual = max(t.virtual, s.served)
	t.reorder(s, s.served+it.Cost)
	t.prune()
}

func (t *tierQueue) refund(it Item) {
	s := t.shares[it.Account]
	if s == nil {
		return
	}
	t.reorder(s, max(0, s.served-it.Cost))
}

// each visits the requests in order and reports whether visit always returned
// true.
func (t *tierQueue) each(visit func(Item) bool) bool {
	for _, s := range t.active {
		for _, it := range s.items {
			if !visit(it) {
				return false
			}
		}
	}
	return true
}

func (t *tierQueue) last() (Item, bool) {
	if len(t.active) == 0 {
		return Item{}, false
	}
	s := t.active[len(t.active)-1]
	return s.items[len(s.items)-1], true
}

// take removes the i-th request of a share.
func (t *tierQueue) take(s *share, i int) {
	t.cost -= s.items[i].Cost
	s.items = slices.Delete(s.items, i, i+1)
	if len(s.items) == 0 {
		t.deactivate(s)
	}
	if len(t.active) == 0 {
		t.cost = 0
	}
}

func (t *tierQueue) activate(s *share) {
	i, _ := slices.BinarySearchFunc(t.active, s, compareShares)
	t.active = slices.Insert(t.active, i, s)
}

func (t *tierQueue) deactivate(s *share) {
	if i, ok := slices.BinarySearchFunc(t.active, s, compareShares); ok {
		t.active = slices.Delete(t.active, i, i+1)
	}
}

// reorder sets the work a share has received.
func (t *tierQueue) reorder(s *share, served float64) {
	t.deactivate(s)
	s.served = served
	if len(s.items) > 0 {
		t.activate(s)
	}
}

// prune forgets idle accounts that have received no more than the others.
func (t *tierQueue) prune() {
	for id, s := range t.shares {
		if len(s.items) == 0 && s.served <= t.virtual {
			delete(t.shares, id)
		}
	}
}
