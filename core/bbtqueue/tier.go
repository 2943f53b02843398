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
	virtualTime float64 // highest start tag of the accounts served so far
	cost        float64 // total cost of the waiting requests
}

// accountQueue holds one account's waiting requests in a tier.
type accountQueue struct {
	account  bbtfleet.AccountID
	startTag float64 // of the next request: cost of the work received, raised to the tier's virtual time when the account becomes active
	items    []Item  // sorted by compareItems
}

func compareAccounts(a, b *accountQueue) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.account, b.account))
}

func (t *tierQueue) push(it Item) {
	if t.accounts == nil {
		t.accounts = make(map[bbtfleet.AccountID]*accountQueue)
	}
	a := t.accounts[it.Account]
	if a == nil {
		a = &accountQueue{account: it.Account}
		t.accounts[it.Account] = a
	}
	if len(a.items) == 0 {
		a.startTag = max(a.startTag, t.virtualTime)
		t.activate(a)
	}
	i, _ := slices.BinarySearchFunc(a.items, it, compareItems)
	a.items = slices.Insert(a.items, i, it)
	t.cost += it.Cost
}

func (t *tierQueue) remove(it Item) {
	a := t.accounts[it.Account]
	i, ok := slices.BinarySearchFunc(a.items, it, compareItems)
	if !ok {
		return
	}
	t.removeAt(a, i)
}

// charge adds the request's cost to its account.
func (t *tierQueue) charge(it Item) {
	a := t.accounts[it.Account]
	if a == nil {
		return
	}
	t.virtualTime = max(t.virtualTime, a.startTag)
	t.setStartTag(a, a.startTag+it.Cost)
	t.prune()
}

func (t *tierQueue) refund(it Item) {
	a := t.accounts[it.Account]
	if a == nil {
		return
	}
	t.setStartTag(a, max(0, a.startTag-it.Cost))
}

// each calls visit for the requests in order until it returns false, and
// reports whether it always returned true.
func (t *tierQueue) each(visit func(Item) bool) bool {
	for _, a := range t.active {
		for _, it := range a.items {
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
	a := t.active[len(t.active)-1]
	return a.items[len(a.items)-1], true
}

// removeAt removes the i-th request of an account.
func (t *tierQueue) removeAt(a *accountQueue, i int) {
	t.cost -= a.items[i].Cost
	a.items = slices.Delete(a.items, i, i+1)
	if len(a.items) == 0 {
		t.deactivate(a)
	}
	if len(t.active) == 0 {
		t.cost = 0
	}
}

func (t *tierQueue) activate(a *accountQueue) {
	i, _ := slices.BinarySearchFunc(t.active, a, compareAccounts)
	t.active = slices.Insert(t.active, i, a)
}

func (t *tierQueue) deactivate(a *accountQueue) {
	if i, ok := slices.BinarySearchFunc(t.active, a, compareAccounts); ok {
		t.active = slices.Delete(t.active, i, i+1)
	}
}

// setStartTag sets an account's start tag and restores the order of active.
func (t *tierQueue) setStartTag(a *accountQueue, startTag float64) {
	t.deactivate(a)
	a.startTag = startTag
	if len(a.items) > 0 {
		t.activate(a)
	}
}

// prune removes idle accounts whose start tag is at most virtualTime. They would
// start at virtualTime again in any case.
func (t *tierQueue) prune() {
	for id, a := range t.accounts {
		if len(a.items) == 0 && a.startTag <= t.virtualTime {
			delete(t.accounts, id)
		}
	}
}
