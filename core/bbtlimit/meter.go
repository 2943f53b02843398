package bbtlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"bluebelltray/core/bbtfleet"
)

// credit is an amount in thousandths of a request or token, so that small
// bursts can be divided among homes.
type credit int64

// creditPerUnit is the credit for one request or one token.
const creditPerUnit credit = 1000

// demandWindow is the time constant of the demand average, in seconds.
const demandWindow = 4.0

// meter tracks one rate of an account on one host. The share of this host is a
// token bucket of golang.org/x/time/rate, which accepts explicit times. Credit
// granted by other hosts and later corrections, which may be negative, are kept
// separately because that bucket supports neither.
type meter struct {
	contractRate   bbtfleet.Rate // of the contract, for all hosts together
	own            *rate.Limiter // nil while the contract sets no limit
	reachableBurst float64       // burst of all reachable homes, in units
	granted        credit
	grantExpires   time.Time
	debt           credit
	demand         float64 // average requested units per second
	demandUpdated  time.Time
}

// configure applies the rate of the contract: the share of all reachable homes,
// and the share of this host. A host that becomes a home starts with the burst
// of its share.
func (m *meter) configure(now time.Time, contractRate bbtfleet.Rate, reachableShare, ownShare float64) {
	m.contractRate = contractRate
	m.reachableBurst = contractRate.Burst() * reachableShare
	if contractRate.PerSecond() == 0 {
		m.own, m.debt = nil, 0
		return
	}
	perSecond := rate.Limit(contractRate.PerSecond() * ownShare * float64(creditPerUnit))
	burst := int(contractRate.Burst() * ownShare * float64(creditPerUnit))
	if m.own == nil || m.own.Burst() == 0 {
		m.own = rate.NewLimiter(perSecond, burst)
		return
	}
	m.own.SetLimitAt(now, perSecond)
	m.own.SetBurstAt(now, burst)
}

// limited reports whether the contract sets a limit.
func (m *meter) limited() bool { return m.own != nil }

// available returns the credit that can be spent now. It is negative while
// there is debt.
func (m *meter) available(now time.Time) credit {
	return m.ownCredit(now) + m.grantedCredit(now) - m.debt
}

// ownCredit returns the credit in this host's own bucket.
func (m *meter) ownCredit(now time.Time) credit { return credit(m.own.TokensAt(now)) }

// grantedCredit returns the granted credit that has not expired.
func (m *meter) grantedCredit(now time.Time) credit {
	if !now.Before(m.grantExpires) {
		return 0
	}
	return m.granted
}

// cost returns the credit that must be available to admit n units. A request
// larger than the burst of all reachable homes requires that burst and leaves
// debt.
func (m *meter) cost(n float64) credit {
	return credit(min(n, m.reachableBurst) * float64(creditPerUnit))
}

// shortage returns the credit that is lacking to admit n units.
func (m *meter) shortage(now time.Time, n float64) credit {
	if !m.limited() {
		return 0
	}
	return max(0, m.cost(n)-m.available(now))
}

// spend deducts n units, from granted credit first, and records debt for what
// is not covered.
func (m *meter) spend(now time.Time, n float64) {
	if !m.limited() {
		return
	}
	due := credit(n*float64(creditPerUnit)) + m.debt
	m.granted = m.grantedCredit(now)
	fromGrant := min(due, m.granted)
	m.granted -= fromGrant
	fromOwn := max(0, min(due-fromGrant, m.ownCredit(now)))
	m.own.AllowN(now, int(fromOwn))
	m.debt = due - fromGrant - fromOwn
}

// refund returns n units that a request did not use. They expire like granted
// credit.
func (m *meter) refund(now time.Time, n float64) {
	if !m.limited() {
		return
	}
	returned := credit(n * float64(creditPerUnit))
	paid := min(returned, m.debt)
	m.debt -= paid
	m.addGranted(now, returned-paid)
}

// addGranted adds granted credit, up to the burst of the contract plus what its
// rate yields within GrantLifetime.
func (m *meter) addGranted(now time.Time, c credit) {
	if c <= 0 || !m.limited() {
		return
	}
	most := credit((m.contractRate.Burst() + m.contractRate.PerSecond()*GrantLifetime.Seconds()) * float64(creditPerUnit))
	m.granted = min(m.grantedCredit(now)+c, most)
	m.grantExpires = now.Add(GrantLifetime)
}

// grantable returns the credit of this host that may be granted to another host.
func (m *meter) grantable(now time.Time) credit { return max(0, m.ownCredit(now)-m.debt) }

// canGrant reports whether the needed credit can be granted to another host.
func (m *meter) canGrant(now time.Time, needed credit) bool {
	return needed == 0 || m.limited() && m.grantable(now) >= needed
}

// grant deducts at least the needed and at most the requested credit from the
// bucket for another host. If the remaining credit does not cover both the rest
// of the request and the demand of this host, the other host gets a share in
// proportion to the two.
func (m *meter) grant(now time.Time, requested, needed credit) credit {
	if !m.limited() {
		return 0
	}
	grantable := m.grantable(now) - needed
	more := requested - needed
	ownDemand := credit(m.demandAt(now) * GrantLifetime.Seconds() * float64(creditPerUnit))
	if more+ownDemand > grantable {
		grantable = credit(float64(grantable) * float64(more) / float64(more+ownDemand))
	}
	granted := needed + min(more, grantable)
	m.own.AllowN(now, int(granted))
	return granted
}

// wanted returns the credit, beyond what is available, that is needed for n
// units now and for the expected demand within GrantLifetime.
func (m *meter) wanted(now time.Time, n float64) credit {
	if !m.limited() {
		return 0
	}
	lifetime := GrantLifetime.Seconds()
	demand := credit(min(m.demandAt(now), m.contractRate.PerSecond()) * lifetime * float64(creditPerUnit))
	own := credit(float64(m.own.Limit()) * lifetime)
	return m.cost(n) + demand - own - m.available(now)
}

// recordDemand adds n requested units to the demand.
func (m *meter) recordDemand(now time.Time, n float64) {
	m.demand = m.demandAt(now) + n/demandWindow
	m.demandUpdated = now
}

// demandAt returns the demand in units per second.
func (m *meter) demandAt(now time.Time) float64 {
	elapsed := max(0, now.Sub(m.demandUpdated).Seconds())
	return m.demand * math.Exp(-elapsed/demandWindow)
}

// refillTime returns how long the given share of the contract rate takes to
// refill the credit.
func (m *meter) refillTime(c credit, share float64) time.Duration {
	if c == 0 {
		return 0
	}
	perSecond := m.contractRate.PerSecond() * share * float64(creditPerUnit)
	if perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := min(float64(c)/perSecond, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// full reports whether the meter has no debt, no granted credit and a full
// bucket, so that a new meter can replace it.
func (m *meter) full(now time.Time) bool {
	if !m.limited() {
		return true
	}
	return m.debt == 0 && m.grantedCredit(now) == 0 && m.ownCredit(now) >= credit(m.own.Burst())
}
