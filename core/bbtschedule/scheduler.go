// Package bbtschedule is the owner role: for the services that one host owns,
// it decides which request waits, which is refused and which endpoint each one
// goes to, with all limits that hold over the whole fleet.
package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
)

// key names a request over all hosts.
type key struct {
	host bbtfleet.HostID
	id   RequestID
}

// run is a dispatch under a permit.
type run struct {
	key      key
	reg      Registration
	endpoint *endpoint
	granted  time.Time
	ahead    float64 // prompt tokens that the engine reads until the first event
	began    bool
	adopted  bool // begun under a former owner, so its times teach nothing
}

// Action is a message to a host.
type Action struct {
	To      bbtfleet.HostID
	Message Message
}

// Scheduler decides for all services of an owner. Its methods take the current
// time and return what the driver must send; it is not safe for concurrent use.
type Scheduler struct {
	bounds   bbtcatalog.Bounds
	index    *bbtcatalog.Index
	share    float64 // of the limits
	slots    float64 // part of the endpoints' slots
	started  bool    // a catalog was set before, so unknown runs are new
	services map[string]*service
	byID     map[string]*endpoint
	runs     map[key]*run
	meters   map[string]*Meter // of client accounts
	repeats  repeats
	suspects suspects
	returns  returns

	born       time.Time // when this process began
	assumeUsed bool      // others may have used the limits before
	toldAt     time.Time // when a former owner told what was used; zero if none has
	told       map[string]float64
}

// Option sets an optional part of a Scheduler.
type Option func(*Scheduler)

// WithUseBefore makes the scheduler take the limits of client accounts as used
// up before born.
func WithUseBefore(born time.Time) Option {
	return func(s *Scheduler) { s.born, s.assumeUsed = born, true }
}

// New returns a scheduler without endpoints.
func New(b bbtcatalog.Bounds, opts ...Option) *Scheduler {
	s := &Scheduler{
		bounds:   b,
		index:    bbtcatalog.NewIndex(nil),
		share:    1,
		slots:    1,
		services: make(map[string]*service),
		byID:     make(map[string]*endpoint),
		runs:     make(map[key]*run),
		meters:   make(map[string]*Meter),
		repeats:  newRepeats(b),
		suspects: newSuspects(),
		returns:  newReturns(),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetShare sets the parts of all limits and of the endpoints' slots that this
// owner may use; they are below 1 while other hosts may have another owner.
// Slots used beyond their number cost a rejection, limits a broken contract, so
// the part of the slots may be the larger one.
func (s *Scheduler) SetShare(limits, slots float64) { s.share, s.slots = limits, slots }

// SetBounds changes the operators' bounds. Counts over a window that has another
// length begin anew.
func (s *Scheduler) SetBounds(b bbtcatalog.Bounds) {
	if b.RateWindow != s.bounds.RateWindow {
		s.meters = make(map[string]*Meter)
	}
	if b.RetryWindow != s.bounds.RetryWindow {
		s.repeats = newRepeats(b)
	}
	s.bounds, s.repeats.bounds = b, b
}

// Share returns the part of all limits that this owner may use.
func (s *Scheduler) Share() float64 { return s.share }

// SetCatalog sets the configuration and the endpoints in force.
func (s *Scheduler) SetCatalog(now time.Time, ix *bbtcatalog.Index, listed []bbtcatalog.Listed) []Action {
	s.index = ix
	if ix.Config() == nil {
		return nil
	}
	for i := range ix.Config().Services {
		record := &ix.Config().Services[i]
		if sv := s.services[record.Name]; sv != nil {
			sv.record = record
			continue
		}
		s.services[record.Name] = newService(record)
	}
	keep := make(map[string]bool, len(listed))
	for _, l := range listed {
		keep[l.Endpoint.ID] = true
		s.setEndpoint(now, l)
	}
	for id, e := range s.byID {
		if !keep[id] {
			delete(s.byID, id)
			e.service.remove(e)
		}
	}
	s.started = true
	return s.grantAll(now)
}

// setEndpoint takes a published entry over.
func (s *Scheduler) setEndpoint(now time.Time, l bbtcatalog.Listed) {
	sv := s.services[l.Endpoint.Service]
	e := s.byID[l.Endpoint.ID]
	if e != nil && (e.service != sv || !e.record.SameRun(l.Endpoint)) {
		e.service.remove(e)
		delete(s.byID, l.Endpoint.ID)
		e = nil
	}
	if sv == nil {
		return
	}
	if e == nil {
		e = newEndpoint(sv, l.Endpoint)
		s.byID[l.Endpoint.ID] = e
		sv.add(e)
		if s.started {
			e.cold = now.Add(sv.record.ColdTime)
		}
	}
	if until := l.Taken.Add(l.Endpoint.ColdLeft); l.Endpoint.ColdLeft > 0 && until.After(e.cold) {
		e.cold = until
	}
	e.record, e.out = l.Endpoint, l.Out
}

// Register takes a request on.
func (s *Scheduler) Register(now time.Time, from bbtfleet.HostID, r Registration) []Action {
	k := key{from, r.ID}
	refuse := func(reason bbtverdict.Reason, after time.Duration) []Action {
		return []Action{{from, Refusal{ID: r.ID, Attempt: r.Attempt, Reason: string(reason), RetryAfter: after}}}
	}
	sv := s.services[r.Service]
	if sv == nil {
		return refuse(bbtverdict.ReasonUnknownPool, minReturn)
	}
	s.release(now, k)
	if s.suspects.banned(now, r.Print) {
		return refuse(bbtverdict.ReasonSuspect, 0)
	}
	if r.Attempt == 0 {
		s.repeats.request(now, r.Service)
	}
	if r.Repeat && !s.repeats.take(now, r.Service, s.share) {
		return refuse(bbtverdict.ReasonRetryBudget, 0)
	}
	again := s.returns.back(now, r.Print)
	if r.Attempt == 0 {
		if after, ok := s.charge(now, &r); !ok {
			return refuse(bbtverdict.ReasonTokenRate, min(max(after, s.returns.schedule(now, r)), r.Left/callerPatience))
		}
	}
	w := newWaiter(now, k, r, again)
	sv.push(now, w)
	out := s.grant(now, sv)
	if w.done {
		return out
	}
	ahead, wait := sv.turn(now, w)
	if sv.admits(now, w, wait) {
		return out
	}
	sv.drop(w)
	return append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonNoRoom), Ahead: ahead, Wait: wait}))
}

// refuseWaiter refuses a waiting request and says when to come again.
func (s *Scheduler) refuseWaiter(now time.Time, w *waiter, r Refusal) Action {
	s.refund(now, &w.reg, now.Sub(w.arrived))
	r.ID, r.Attempt = w.reg.ID, w.reg.Attempt
	r.RetryAfter = s.returns.schedule(now, w.left(now))
	return Action{w.key.host, r}
}

// Withdraw takes a waiting request out.
func (s *Scheduler) Withdraw(now time.Time, from bbtfleet.HostID, id RequestID) {
	for _, sv := range s.services {
		if w := sv.find(key{from, id}); w != nil {
			sv.drop(w)
			s.refund(now, &w.reg, now.Sub(w.arrived))
		}
	}
}

// Began records the first event of a run.
func (s *Scheduler) Began(now time.Time, from bbtfleet.HostID, id RequestID) []Action {
	r := s.runs[key{from, id}]
	if r == nil {
		return nil
	}
	r.endpoint.began(now, r)
	return s.grant(now, r.endpoint.service)
}

// Done records the end of a run.
func (s *Scheduler) Done(now time.Time, from bbtfleet.HostID, d Done) []Action {
	r := s.runs[key{from, d.ID}]
	if r == nil || r.reg.Attempt != d.Attempt {
		return nil
	}
	delete(s.runs, r.key)
	r.endpoint.end(now, r, d)
	switch d.Outcome {
	case Rejected, Unreachable, Unused:
		s.refund(now, &r.reg, now.Sub(r.granted))
	case Broken:
		s.suspects.crash(now, r.reg.Print, r.endpoint.incarnation())
	}
	return s.grant(now, r.endpoint.service)
}

// release ends a run of which its host has said no end.
func (s *Scheduler) release(now time.Time, k key) {
	if r := s.runs[k]; r != nil {
		delete(s.runs, k)
		r.endpoint.end(now, r, Done{Outcome: Cancelled})
	}
}

// TakeOver counts what runs and what was used under a former owner's permits.
func (s *Scheduler) TakeOver(now time.Time, from bbtfleet.HostID, t Takeover) {
	for _, it := range t.Running {
		e := s.byID[it.Endpoint]
		k := key{from, it.Registration.ID}
		if e == nil || s.runs[k] != nil {
			continue
		}
		r := &run{key: k, reg: it.Registration, endpoint: e, granted: now.Add(-it.For), began: it.Began, adopted: true}
		s.runs[k] = r
		e.adopt(now, r)
	}
	s.TakeUse(now, t.Used)
	for _, u := range t.Repeats {
		s.repeats.meter(s.repeats.again, u.Service).Add(now, u.Ago, u.Amount)
	}
}

// Learnt takes what a permit tells of an endpoint's speed.
func (s *Scheduler) Learnt(endpoint string, v Speed) {
	if e := s.byID[endpoint]; e != nil {
		e.learnt(v)
	}
}

// Forget drops what a dead host waits for and runs.
func (s *Scheduler) Forget(now time.Time, host bbtfleet.HostID) []Action {
	for _, sv := range s.services {
		for _, w := range sv.of(host) {
			sv.drop(w)
			s.refund(now, &w.reg, now.Sub(w.arrived))
		}
	}
	for k := range s.runs {
		if k.host == host {
			s.release(now, k)
		}
	}
	return s.grantAll(now)
}

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now time.Time) []Action {
	out := s.grantAll(now)
	for _, sv := range s.services {
		for _, w := range sv.overdue(now) {
			ahead, wait := sv.turn(now, w)
			sv.drop(w)
			out = append(out, s.refuseWaiter(now, w, Refusal{Reason: string(bbtverdict.ReasonDeadline), Ahead: ahead, Wait: wait}))
		}
	}
	return out
}

// Waiting reports whether any request waits.
func (s *Scheduler) Waiting() bool {
	for _, sv := range s.services {
		if len(sv.waiting) > 0 {
			return true
		}
	}
	return false
}

// grantAll grants what the endpoints of all services can take.
func (s *Scheduler) grantAll(now time.Time) []Action {
	var out []Action
	for _, sv := range s.services {
		out = append(out, s.grant(now, sv)...)
	}
	return out
}

// grant gives permits to the waiting requests of a service, as far as its
// endpoints have room: first to those that can still keep their objective, then
// to the late ones.
func (s *Scheduler) grant(now time.Time, sv *service) []Action {
	if len(sv.waiting) == 0 {
		return nil
	}
	room := sv.withRoom(now, s.slots, s.share)
	var out []Action
	for _, late := range [...]bool{false, true} {
		for i := 0; i < len(sv.waiting) && len(room) > 0; {
			w := sv.waiting[i]
			e := s.turn(now, w, room, late)
			if e == nil {
				i++
				continue
			}
			out = append(out, s.permit(now, sv, w, e))
			room = sv.withRoom(now, s.slots, s.share)
		}
	}
	return out
}

// turn returns the endpoint for a request if it is its turn.
func (s *Scheduler) turn(now time.Time, w *waiter, room []*endpoint, late bool) *endpoint {
	if late != w.late(now) {
		return nil
	}
	return w.choose(now, room, late)
}

// permit gives a waiting request to an endpoint.
func (s *Scheduler) permit(now time.Time, sv *service, w *waiter, e *endpoint) Action {
	sv.drop(w)
	sv.granted(now)
	r := &run{key: w.key, reg: w.reg, endpoint: e, granted: now}
	s.runs[w.key] = r
	e.grant(now, r, s.share)
	return Action{w.key.host, Permit{
		ID: w.reg.ID, Attempt: w.reg.Attempt, Endpoint: e.record.ID, Address: e.record.Address, Speed: e.speed(), Running: len(e.running),
	}}
}
