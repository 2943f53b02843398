package bbtdemo

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// maxRetries is how often a model call may be retried under the demo's contracts.
const maxRetries = 2

// account is one of the demo's client accounts with its load.
type account struct {
	id          bbtfleet.AccountID
	tier        bbtfleet.Tier
	callerCount int
	maxTokens   int
	deadline    time.Duration
}

// accounts are the demo's client accounts. Together they request more than the
// engines can serve, so that the tiers take effect.
var accounts = [...]account{
	{id: "letters", tier: 1, callerCount: 6, maxTokens: 60, deadline: 4 * time.Second},
	{id: "intake", tier: 2, callerCount: 12, maxTokens: 40, deadline: 3 * time.Second},
	{id: "reports", tier: 3, callerCount: 24, maxTokens: 100, deadline: 6 * time.Second},
}

// contract returns the account's contract.
func (a account) contract() bbtfleet.Contract {
	return bbtfleet.NewContract(a.id, a.tier,
		bbtfleet.WithDeadline(a.deadline),
		bbtfleet.WithMaxRetries(poolModel, maxRetries))
}
