package bbtlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"bluebelltray/core/bbtfleet"
)

// credit is an amount of a unit in thousandths, so that small bursts can be
// parted among homes.
type credit int64

// unit is one request or one token as credit.
const unit credit = 1000

// demandTime is the time over which demand is averaged, in seconds.
const demandTime = 4.0

// meter accounts for one of an account's rates on one host. The own part of the
// rate fills a bucket of golang.org/x/time/rate, which works on given times.
// Credit granted by other hosts and corrections after the fact, which may be
// negative, stand beside it, as that bucket takes neither.
type meter struct {
	whole   bbtfleet.Rate // the contract's, for all hosts together
	own     *rate.Limiter // nil while the contract sets no limit
	most    float64       // units of the burst of all homes that can be reached
	granted credit
	expires time.Time
	debt    credit
	demand  float64 // requested units a second, averaged
	counted time.Time
}

// set takes the contract's rate into force: the part of all homes that can be
// reached, and this host's own part. A host that becomes home starts with the
// burst of its part.
func (m *meter) set(now time.Time, whole bbtfleet.Rate, reached, part float64) {
	m.whole = whole
	m.most = whole.Burst() * reached
	if whole.PerSecond() == 0 {
		m.own, m.debt = nil, 0
		return
	}
	perSecond := rate.Limit(whole.PerSecond() * part * float64(unit))
	burst := int(whole.Burst() * part * float64(unit))
	if m.own == nil || m.own.Burst() == 0 {
		m.own = rate.NewLimiter(perSecond, burst)
		return
	}
	m.own.SetLimitAt(now, perSecond)
	m.own.SetBurstAt(now, burst)
}

// limited reports whether the contract sets a limit.
func (m *meter) limited() bool { return m.own != nil }

// available returns the credit that can be spent now; it is negative while
// there is debt.
func (m *meter) available(now time.Time) credit {
	return m.filled(now) + m.borrowed(now) - m.debt
}

// filled returns the credit of the host's own part.
func (m *meter) filled(now time.Time) credit { return credit(m.own.TokensAt(now)) }

// borrowed returns the granted credit that has not expired.
func (m *meter) borrowed(now time.Time) credit {
	if !now.Before(m.expires) {
		return 0
	}
	return m.granted
}

// cost returns the credit that must be at hand to admit n units. A request
// larger than the burst of all homes needs that burst and leaves debt.
func (m *meter) cost(n float64) credit {
	return credit(min(n, m.most) * float64(unit))
}

// missing returns the credit that is lacking to admit n units.
func (m *meter) missing(now time.Time, n float64) credit {
	if !m.limited() {
		return 0
	}
	return max(0, m.cost(n)-m.available(now))
}

// spend takes n units, granted credit first, and leaves debt if they are more
// than there is.
func (m *meter) spend(now time.Time, n float64) {
	if !m.limited() {
		return
	}
	due := credit(n*float64(unit)) + m.debt
	m.granted = m.borrowed(now)
	fromGrant := min(due, m.granted)
	m.granted -= fromGrant
	fromOwn := max(0, min(due-fromGrant, m.filled(now)))
	m.own.AllowN(now, int(fromOwn))
	m.debt = due - fromGrant - fromOwn
}

// refund returns n units that were spent for a request that used less. They
// expire like granted credit.
func (m *meter) refund(now time.Time, n float64) {
	if !m.limited() {
		return
	}
	back := credit(n * float64(unit))
	paid := min(back, m.debt)
	m.debt -= paid
	m.receive(now, back-paid)
}

// receive adds granted credit, up to the contract's burst and what its rate
// fills while credit can be held.
func (m *meter) receive(now time.Time, c credit) {
	if c <= 0 || !m.limited() {
		return
	}
	most := credit((m.whole.Burst() + m.whole.PerSecond()*GrantLifetime.Seconds()) * float64(unit))
	m.granted = min(m.borrowed(now)+c, most)
	m.expires = now.Add(GrantLifetime)
}

// spare returns the own credit that another host may get.
func (m *meter) spare(now time.Time) credit { return max(0, m.filled(now)-m.debt) }

// spares reports whether another host may get the needed credit.
func (m *meter) spares(now time.Time, needed credit) bool {
	return needed == 0 || m.limited() && m.spare(now) >= needed
}

// lend takes the needed credit, and up to asked, out of the own part for
// another host. Where both hosts are short of what is beyond the need, each
// gets its part of it by its demand.
func (m *meter) lend(now time.Time, asked, needed credit) credit {
	if !m.limited() {
		return 0
	}
	spare := m.spare(now) - needed
	more := asked - needed
	own := credit(m.demandAt(now) * GrantLifetime.Seconds() * float64(unit))
	if more+own > spare {
		spare = credit(float64(spare) * float64(more) / float64(more+own))
	}
	lent := needed + min(more, spare)
	m.own.AllowN(now, int(lent))
	return lent
}

// ahead returns the credit, beyond what is at hand, that n units now and the
// demand while granted credit can be held need.
func (m *meter) ahead(now time.Time, n float64) credit {
	if !m.limited() {
		return 0
	}
	hold := GrantLifetime.Seconds()
	demand := credit(min(m.demandAt(now), m.whole.PerSecond()) * hold * float64(unit))
	own := credit(float64(m.own.Limit()) * hold)
	return m.cost(n) + demand - own - m.available(now)
}

// count adds n requested units to the demand.
func (m *meter) count(now time.Time, n float64) {
	m.demand = m.demandAt(now) + n/demandTime
	m.counted = now
}

// demandAt returns the demand in units a second.
func (m *meter) demandAt(now time.Time) float64 {
	elapsed := max(0, now.Sub(m.counted).Seconds())
	return m.demand * math.Exp(-elapsed/demandTime)
}

// wait returns how long the whole contract takes to fill the credit.
func (m *meter) wait(c credit, part float64) time.Duration {
	if c == 0 {
		return 0
	}
	perSecond := m.whole.PerSecond() * part * float64(unit)
	if perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := min(float64(c)/perSecond, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// full reports whether the meter's state is that of an unused one.
func (m *meter) full(now time.Time) bool {
	if !m.limited() {
		return true
	}
	return m.debt == 0 && m.borrowed(now) == 0 && m.filled(now) >= credit(m.own.Burst())
}
