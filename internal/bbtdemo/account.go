package bbtdemo

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// maxRepeats is how often the demo's model calls may be repeated.
const maxRepeats = 2

// account is one of the demo's client accounts and its load.
type account struct {
	id       bbtfleet.AccountID
	tier     bbtfleet.Tier
	callers  int
	tokens   int
	deadline time.Duration
}

// accounts are the demo's client accounts. Together they ask for more than
// the engines can do, so that the tiers matter.
var accounts = [...]account{
	{id: "letters", tier: 1, callers: 6, tokens: 60, deadline: 4 * time.Second},
	{id: "intake", tier: 2, callers: 12, tokens: 40, deadline: 3 * time.Second},
	{id: "reports", tier: 3, callers: 24, tokens: 100, deadline: 6 * time.Second},
}

// contract returns the account's contract.
func (a account) contract() bbtfleet.Contract {
	return bbtfleet.NewContract(a.id, a.tier,
		bbtfleet.WithDeadline(a.deadline),
		bbtfleet.WithMaxRetries(poolModel, maxRepeats))
}
