package bbtlimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtowner"
	"bluebelltray/core/bbtverdict"
)

// start is the initial virtual time.
var start = time.Unix(0, 0)

// newLimiter returns the limiter of the first host with the given contracts.
func newLimiter(hosts []bbtfleet.HostID, contracts ...bbtfleet.Contract) *bbtlimit.Limiter {
	l := bbtlimit.New(hosts[0])
	l.SetContracts(bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithContracts(contracts...)))
	l.SetHosts(hosts, hosts)
	return l
}

// contract returns a contract with the given token rate.
func contract(id string, perSecond, burst float64) bbtfleet.Contract {
	return bbtfleet.NewContract(bbtfleet.AccountID(id), 1, bbtfleet.WithTokens(bbtfleet.NewRate(perSecond, burst)))
}

// hostIDs returns n host IDs.
func hostIDs(n int) []bbtfleet.HostID {
	var out []bbtfleet.HostID
	for i := range n {
		out = append(out, bbtfleet.HostID(fmt.Sprintf("entry-%d", i)))
	}
	return out
}

func TestRefusalCarriesRetryDelay(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 100, 1000))
	if got := l.Admit(start, "a", 900).Outcome(); got != bbtlimit.Admitted {
		t.Fatalf("got %v, want admitted", got)
	}
	err := l.Admit(start, "a", 400).Err()
	var refusal *bbtverdict.Error
	if !errors.As(err, &refusal) || refusal.Verdict() != bbtverdict.NotRun || refusal.Reason() != bbtverdict.ReasonTokenRate {
		t.Fatalf("got %v, want a refusal for the token rate with verdict not-run", err)
	}
	if got, want := refusal.RetryAfter(), 3*time.Second; got != want {
		t.Errorf("got retry after %v, want %v", got, want)
	}
	if got := l.Admit(start.Add(refusal.RetryAfter()), "a", 400).Outcome(); got != bbtlimit.Admitted {
		t.Errorf("got %v after the retry delay, want admitted", got)
	}
	err = l.Admit(start, "b", 1).Err()
	if !errors.As(err, &refusal) || refusal.Reason() != bbtverdict.ReasonUnknownAccount {
		t.Errorf("got %v, want an unknown account", err)
	}
}

func TestRefusalNamesTheLongerWait(t *testing.T) {
	for _, tt := range []struct {
		requests, tokens float64
		want             bbtverdict.Reason
		after            time.Duration
	}{
		{0.1, 100, bbtverdict.ReasonRequestRate, 10 * time.Second},
		{1, 10, bbtverdict.ReasonTokenRate, 10 * time.Second},
		{100, 1000, bbtverdict.ReasonTokenRate, bbtlimit.CreditRequestInterval},
		{0.001, 1000, bbtverdict.ReasonRequestRate, time.Minute},
	} {
		l := newLimiter(hostIDs(1), bbtfleet.NewContract("a", 1,
			bbtfleet.WithRequests(bbtfleet.NewRate(tt.requests, 1)), bbtfleet.WithTokens(bbtfleet.NewRate(tt.tokens, 100))))
		l.Admit(start, "a", 100)
		var refusal *bbtverdict.Error
		if err := l.Admit(start, "a", 100).Err(); !errors.As(err, &refusal) {
			t.Fatalf("got %v, want a refusal", err)
		}
		if refusal.Reason() != tt.want || refusal.RetryAfter() != tt.after {
			t.Errorf("got %v with retry after %v, want %v with retry after %v", refusal.Reason(), refusal.RetryAfter(), tt.want, tt.after)
		}
	}
}

func TestRequestLargerThanTheBurstLeavesDebt(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 100, 1000))
	if got := l.Admit(start, "a", 1500).Outcome(); got != bbtlimit.Admitted {
		t.Fatalf("got %v with the full burst available, want admitted", got)
	}
	for _, tt := range []struct {
		after time.Duration
		want  bbtlimit.Outcome
	}{{4 * time.Second, bbtlimit.Refused}, {6 * time.Second, bbtlimit.Admitted}} {
		if got := l.Admit(start.Add(tt.after), "a", 100).Outcome(); got != tt.want {
			t.Errorf("after %v: got %v, want %v", tt.after, got, tt.want)
		}
	}
}

func TestNegativeTokensAddNoCredit(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 100, 1000))
	l.Admit(start, "a", 1000)
	l.Settle(start, "a", 1000, 900)
	l.Admit(start, "a", -5000)
	if got := l.Admit(start, "a", 101).Outcome(); got != bbtlimit.Refused {
		t.Errorf("got %v beyond the burst, want refused", got)
	}
}

func TestSettleCorrectsBothWays(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 1, 1000))
	l.Admit(start, "a", 1000)
	l.Settle(start, "a", 1000, 400)
	if got := l.Admit(start, "a", 600).Outcome(); got != bbtlimit.Admitted {
		t.Errorf("got %v after a refund of 600, want admitted", got)
	}
	l.Settle(start, "a", 600, 700)
	if got := l.Admit(start.Add(99*time.Second), "a", 1).Outcome(); got != bbtlimit.Refused {
		t.Errorf("got %v with debt, want refused", got)
	}
	if got := l.Admit(start.Add(102*time.Second), "a", 1).Outcome(); got != bbtlimit.Admitted {
		t.Errorf("got %v after the debt, want admitted", got)
	}
}

func TestChangedContractAppliesFromNextUse(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 100, 1000))
	l.Admit(start, "a", 1000)
	l.SetContracts(bbtfleet.NewConfiguration(bbtfleet.Version{}, bbtfleet.WithContracts(contract("a", 500, 1000))))
	l.Admit(start, "a", 0) // applies the new contract
	if got := l.Admit(start.Add(time.Second), "a", 500).Outcome(); got != bbtlimit.Admitted {
		t.Errorf("got %v at the new rate, want admitted", got)
	}
	l.SetContracts(bbtfleet.NewConfiguration(bbtfleet.Version{}))
	if got := l.Admit(start.Add(time.Second), "a", 1).Outcome(); got != bbtlimit.Refused || l.ActiveAccounts() != 0 {
		t.Errorf("got %v and %d accounts without a contract, want refused and none", got, l.ActiveAccounts())
	}
}

func TestHomesAreBalancedAndStable(t *testing.T) {
	const accounts, hosts = 1000, 10
	var contracts []bbtfleet.Contract
	for i := range accounts {
		contracts = append(contracts, contract(fmt.Sprintf("a-%d", i), 100, 1000))
	}
	all := hostIDs(hosts)
	l := newLimiter(all, contracts...)
	fewer := newLimiter(all[1:], contracts...)
	slices.Reverse(all)
	reversed := newLimiter(all, contracts...)
	load := map[bbtfleet.HostID]int{}
	for _, c := range contracts {
		home := l.HomeHosts(c.Account())[0]
		load[home]++
		if got := reversed.HomeHosts(c.Account())[0]; got != home {
			t.Errorf("%s: got home %s for another order of hosts, want %s", c.Account(), got, home)
		}
		if got := fewer.HomeHosts(c.Account())[0]; home != "entry-0" && got != home {
			t.Errorf("%s: got home %s without a host that was not its home, want %s", c.Account(), got, home)
		}
	}
	for _, h := range all {
		if got := load[h]; got < accounts/hosts/2 || got > accounts/hosts*2 {
			t.Errorf("%s: got %d accounts, want about %d", h, got, accounts/hosts)
		}
	}
	large := newLimiter(all, contract("large", 20_000, 1000))
	if got := len(large.HomeHosts("large")); got != 4 {
		t.Errorf("got %d homes of an account of 20000 tokens/s, want 4", got)
	}
}

func TestCallersAreDirectedToHomes(t *testing.T) {
	var contracts []bbtfleet.Contract
	for i := range 100 {
		contracts = append(contracts, contract(fmt.Sprintf("a-%d", i), 100, 1000))
	}
	ids := hostIDs(10)
	var hosts []bbtfleet.Host
	for _, id := range ids {
		hosts = append(hosts, bbtfleet.NewHost(id, "z"))
	}
	l := newLimiter(ids, contracts...)
	m := bbtowner.NewPlacement(nil, bbtfleet.NewHostList(1, hosts))
	for _, c := range contracts {
		if got, want := m.HomeHosts(c.Account())[0], l.HomeHosts(c.Account())[0]; got != want {
			t.Errorf("%s: got callers directed to %s, want its home %s", c.Account(), got, want)
		}
	}
}

func TestIdleAccountsAreDiscarded(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 100, 1000), contract("b", 100, 10_000))
	l.Admit(start, "a", 500)
	l.Admit(start, "b", 10_000)
	l.Tick(start.Add(bbtlimit.IdleTimeout - time.Second))
	if got := l.ActiveAccounts(); got != 2 {
		t.Errorf("got %d accounts a short time after their requests, want 2", got)
	}
	l.Tick(start.Add(bbtlimit.IdleTimeout))
	if got := l.ActiveAccounts(); got != 1 {
		t.Errorf("got %d accounts, want only the one whose credit is not refilled", got)
	}
	l.Tick(start.Add(100 * time.Second))
	if got := l.ActiveAccounts(); got != 0 {
		t.Errorf("got %d accounts, want none", got)
	}
}

func TestOnlyPendingGrantsAreAccepted(t *testing.T) {
	hosts := hostIDs(2)
	c := contract("a", 100, 1000)
	l := newLimiter(hosts, c)
	if l.HomeHosts("a")[0] == hosts[0] {
		slices.Reverse(hosts)
		l = newLimiter(hosts, c)
	}
	d := l.Admit(start, "a", 500)
	if d.Outcome() != bbtlimit.Waiting || len(d.Sends()) != 1 {
		t.Fatalf("got %v with %d messages, want waiting with one credit request", d.Outcome(), len(d.Sends()))
	}
	req := d.Sends()[0].Message.CreditRequests[0]
	grant := func(id uint32) bbtlimit.Message {
		return bbtlimit.Message{Grants: []bbtlimit.Grant{{ID: id, Account: "a", Tokens: 500_000}}}
	}
	expectDropped := func(at time.Time, from bbtfleet.HostID, m bbtlimit.Message) {
		t.Helper()
		if _, accounts := l.Receive(at, from, m); len(accounts) != 0 {
			t.Errorf("got a grant accepted that answers no pending credit request")
		}
	}
	expectDropped(start, hosts[1], grant(req.ID+1))
	expectDropped(start, "entry-9", grant(req.ID))
	if _, accounts := l.Receive(start, hosts[1], grant(req.ID)); len(accounts) != 1 {
		t.Errorf("got the grant for the pending credit request dropped")
	}
	expectDropped(start, hosts[1], grant(req.ID))
	if got := l.Resume(start.Add(bbtlimit.GrantLifetime), "a", 500).Outcome(); got == bbtlimit.Admitted {
		t.Errorf("got a request admitted on expired credit")
	}
	next := l.Admit(start.Add(2*time.Second), "a", 500)
	expectDropped(start.Add(2*time.Second+bbtlimit.CreditRequestTimeout), hosts[1], grant(next.Sends()[0].Message.CreditRequests[0].ID))
	if got, want := l.Stats().DroppedGrants, uint64(4); got != want {
		t.Errorf("got %d dropped grants counted, want %d", got, want)
	}
}

func TestHomeGrantsNeededCreditOrNothing(t *testing.T) {
	l := newLimiter(hostIDs(1), contract("a", 100, 300))
	for _, tt := range []struct{ needed, least, most uint64 }{{400_000, 0, 0}, {200_000, 200_000, 300_000}, {300_000, 0, 0}} {
		req := bbtlimit.CreditRequest{ID: 1, Account: "a", Tokens: 500_000, NeededTokens: tt.needed}
		sends, _ := l.Receive(start, "entry-9", bbtlimit.Message{CreditRequests: []bbtlimit.CreditRequest{req}})
		if got := sends[0].Message.Grants[0].Tokens; got < tt.least || got > tt.most {
			t.Errorf("needed %d: got %d granted, want %d to %d", tt.needed, got, tt.least, tt.most)
		}
	}
}

// resume calls Resume at the end of each wait until the request is decided, and
// returns the outcome and its time.
func resume(l *bbtlimit.Limiter, d bbtlimit.Decision, id bbtfleet.AccountID, tokens int, end time.Time) (bbtlimit.Outcome, time.Time) {
	now := start
	for d.Outcome() == bbtlimit.Waiting && now.Before(end) {
		now = d.Until()
		d = l.Resume(now, id, tokens)
	}
	return d.Outcome(), now
}

func TestSilentHomeCausesRefusal(t *testing.T) {
	hosts := hostIDs(2)
	c := contract("a", 100, 1000)
	l := newLimiter(hosts, c)
	if l.HomeHosts("a")[0] == hosts[0] {
		slices.Reverse(hosts)
		l = newLimiter(hosts, c)
	}
	got, at := resume(l, l.Admit(start, "a", 500), "a", 500, start.Add(time.Minute))
	least, most := start.Add(bbtlimit.HomeReplacementTimeout), start.Add(bbtlimit.HomeReplacementTimeout+bbtlimit.CreditRequestTimeout)
	if got != bbtlimit.Refused || at.Before(least) || at.After(most) {
		t.Errorf("got %v at %v, want refused from %v to %v", got, at, least, most)
	}
	l.SetHosts(hosts, hosts) // unchanged, so it must not restart the wait
	later := at.Add(time.Second)
	if got := l.Resume(l.Admit(later, "a", 500).Until(), "a", 500).Outcome(); got != bbtlimit.Refused {
		t.Errorf("got %v from a home silent for long, want refused after one credit request", got)
	}
}

func TestReplacedHomeEndsWaiting(t *testing.T) {
	hosts := hostIDs(2)
	c := contract("a", 100, 1000)
	l := newLimiter(hosts, c)
	if l.HomeHosts("a")[0] == hosts[0] {
		slices.Reverse(hosts)
		l = newLimiter(hosts, c)
	}
	d := l.Admit(start, "a", 500)
	d = l.Resume(d.Until(), "a", 500)
	l.SetHosts(hosts, hosts[:1])
	if got, at := resume(l, d, "a", 500, start.Add(time.Minute)); got != bbtlimit.Admitted || at.Sub(start) > time.Second {
		t.Errorf("got %v after %v, want admitted by the host that took over", got, at.Sub(start))
	}
	if got := l.Admit(start.Add(time.Minute), "a", 1000).Outcome(); got != bbtlimit.Admitted {
		t.Errorf("got %v for a request larger than the burst of the homes that are left, want admitted", got)
	}
	l.SetHosts(hosts[:1], hosts[:1])
	l.Admit(start.Add(2*time.Minute), "a", 1000)
	if got := l.Admit(start.Add(2*time.Minute+5*time.Second), "a", 500).Outcome(); got != bbtlimit.Admitted {
		t.Errorf("got %v at the full rate after the other home was removed from the list, want admitted", got)
	}
}

func TestLargeAccountsLeaveCreditRequestsToSmallOnes(t *testing.T) {
	hosts := hostIDs(40)
	var contracts []bbtfleet.Contract
	for i := range 100 {
		contracts = append(contracts, contract(fmt.Sprintf("large-%d", i), 50_000, 50_000))
	}
	l := newLimiter(hosts, append(contracts, contract("small-1", 100, 1000), contract("small-2", 100, 1000))...)
	for _, c := range contracts {
		l.Admit(start, c.Account(), 50_000)
	}
	if got, most := l.Stats().CreditRequests, uint64(bbtlimit.CreditRequestBurst); got >= most {
		t.Errorf("got %d credit requests of large accounts at once, want fewer than %d", got, most)
	}
	for _, id := range []bbtfleet.AccountID{"small-1", "small-2"} {
		if d := l.Admit(start, id, 500); l.HomeHosts(id)[0] != hosts[0] && len(d.Sends()) != 1 {
			t.Errorf("%s: got %d credit requests, want one", id, len(d.Sends()))
		}
	}
}

func TestRetriesStayAFractionOfAttempts(t *testing.T) {
	var b bbtlimit.RetryBudget
	retries := 0
	for attempts := 1; attempts <= 1000; attempts++ {
		b.RecordAttempt()
		for b.AllowRetry() {
			retries++
		}
		if most := bbtlimit.InitialRetries + attempts/10; retries > most {
			t.Fatalf("got %d retries after %d attempts, want at most %d", retries, attempts, most)
		}
	}
	if retries < 100 {
		t.Errorf("got %d retries after 1000 attempts, want at least 100", retries)
	}
	for range 1000 {
		b.RecordAttempt()
	}
	saved := 0
	for b.AllowRetry() {
		saved++
	}
	if saved != bbtlimit.RetryBurst {
		t.Errorf("got %d retries saved up, want %d", saved, bbtlimit.RetryBurst)
	}
}
