package bbtqueue

import (
	"cmp"
	"slices"

	"bluebelltray/core/bbtfleet"
)

// tierQueue holds the waiting requests of one tier. Accounts are served by
// start-time fair queueing: the account that has received the least work since
// it became active is served first.
type tierQueue struct {
	active      []*accountQueue // accounts with waiting requests, sorted by compareAccounts
	accounts    map[bbtfleet.AccountID]*accountQueue
	virtualTime float64 // virtual time of the account served last
	cost        float64 // total cost of the waiting requests
}

// accountQueue holds one account's waiting requests in a tier.
type accountQueue struct {
	account bbtfleet.AccountID
	served  float64 // virtual time: cost of the work received
	items   []Item  // sorted by compareItems
}

func compareAccounts(a, b *accountQueue) int {
	return cmp.Or(cmp.Compare(a.served, b.served), cmp.Compare(a.account, b.account))
}

func (t *tierQueue) push(it Item) {
	if t.accounts == nil {
		t.accounts = make(map[bbtfleet.AccountID]*accountQueue)
	}
	s := t.accounts[it.Account]
	if s == nil {
		s = &accountQueue{account: it.Account}
		t.accounts[it.Account] = s
	}
	if len(s.items) == 0 {
		s.served = max(s.served, t.virtualTime)
		t.activate(s)
	}
	i, _ := slices.BinarySearchFunc(s.items, it, compareItems)
	s.items = slices.Insert(s.items, i, it)
	t.cost += it.Cost
}

func (t *tierQueue) remove(it Item) {
	s := t.accounts[it.Account]
	i, ok := slices.BinarySearchFunc(s.items, it, compareItems)
	if !ok {
		return
	}
	t.take(s, i)
}

// charge adds the request's cost to its account.
func (t *tierQueue) charge(it Item) {
	s := t.accounts[it.Account]
	if s == nil {
		return
	}
	t.virtualTime = max(t.virtualTime, s.served)
	t.reorder(s, s.served+it.Cost)
	t.prune()
}

func (t *tierQueue) refund(it Item) {
	s := t.accounts[it.Account]
	if s == nil {
		return
	}
	t.reorder(s, max(0, s.served-it.Cost))
}

// each calls visit for the requests in order until it returns false, and
// reports whether it always returned true.
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

// take removes the i-th request of an account.
func (t *tierQueue) take(s *accountQueue, i int) {
	t.cost -= s.items[i].Cost
	s.items = slices.Delete(s.items, i, i+1)
	if len(s.items) == 0 {
		t.deactivate(s)
	}
	if len(t.active) == 0 {
		t.cost = 0
	}
}

func (t *tierQueue) activate(s *accountQueue) {
	i, _ := slices.BinarySearchFunc(t.active, s, compareAccounts)
	t.active = slices.Insert(t.active, i, s)
}

func (t *tierQueue) deactivate(s *accountQueue) {
	if i, ok := slices.BinarySearchFunc(t.active, s, compareAccounts); ok {
		t.active = slices.Delete(t.active, i, i+1)
	}
}

// reorder sets an account's virtual time.
func (t *tierQueue) reorder(s *accountQueue, served float64) {
	t.deactivate(s)
	s.served = served
	if len(s.items) > 0 {
		t.activate(s)
	}
}

// prune removes idle accounts that have received no more work than the account
// served last.
func (t *tierQueue) prune() {
	for id, s := range t.accounts {
		if len(s.items) == 0 && s.served <= t.virtualTime {
			delete(t.accounts, id)
		}
	}
}
