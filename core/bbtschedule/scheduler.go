// Package bbtschedule implements the owner role. The owner is the one host of
// the fleet, elected by bbtlead, that schedules all services: it queues requests,
// refuses them or permits their dispatch to an endpoint, and enforces all limits
// that apply to the whole fleet.
package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// key identifies a request across all hosts.
type key struct {
	host bbtfleet.HostID
	id   RequestID
}

// run is a dispatch under a permit.
type run struct {
	key           key
	reg           Registration
	endpoint      *endpoint
	registered    time.Time // when its cost was counted
	granted       time.Time
	work          time.Duration // expected in the slot; 0 unless room is kept for tiers
	silent        bool          // its endpoint has been reported as silent for it
	prefillTokens float64       // prompt tokens that the engine processes until the first event, including those of earlier prompts
	firstEvent    bool
	firstEventAt  time.Time
	load          int  // requests at the endpoint at the first event
	trial         bool // something that the request has may crash endpoints
	adopted       bool // started under a former owner, so its times are not sampled
	repeated      bool // its permit was sent again, so the time to its first event is not sampled
}

// shares are the parts of the fleet's capacity that this owner may use.
type shares struct {
	limits float64 // of all limits
	slots  float64 // of the endpoints' slots
}

// Action is a message to send to a host.
type Action struct {
	To      bbtfleet.HostID
	Message Message
}

// Scheduler schedules the requests of all services at the owner. Its methods
// take the current time and return the messages that the caller must send; it
// is not safe for concurrent use.
type Scheduler struct {
	bounds      bbtcatalog.Bounds
	index       *bbtcatalog.Index
	shares      *shares
	hasCatalog  bool // a catalog was set before, so endpoints that appear are new
	services    map[string]*service
	byID        map[string]*endpoint
	unlisted    unlisted // endpoints that are no longer published
	runs        map[key]*run
	meters      map[string]*Meter // by client account
	retryBudget retryBudget
	suspects    *suspects
	draining    *Draining
	backoff     backoff
	settled     settled
	lacks       map[bbtfleet.HostID]Lacks // by host, of those that sent a Takeover
	unreported  []*crash                  // by time
	notices     []Notice
	reapedAt    time.Time // when runs past their deadlines were last searched for

	tierRoomObjective time.Duration // from which services keep room for their tiers; 0 for none

	startedAt        time.Time           // when this process started
	assumeExhausted  bool                // other owners may have used the limits before startedAt
	reportedAt       time.Time           // when a former owner reported its deficits; zero if none has
	reportedDeficits map[string]float64  // by account
	lost             lostUsage           // that the report leaves out
	lowered          map[string]baseline // by account whose limit was lowered, at that time
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithPriorUsage makes the scheduler assume that the limits of client accounts
// were exhausted at startedAt.
func WithPriorUsage(startedAt time.Time) Option {
	return func(s *Scheduler) { s.startedAt, s.assumeExhausted = startedAt, true }
}

// WithTierRoom makes services of model engines keep room for their more urgent tiers
// if the latency objective of their most urgent route is at least minObjective, which
// must be positive.
func WithTierRoom(minObjective time.Duration) Option {
	return func(s *Scheduler) { s.tierRoomObjective = minObjective }
}

// New returns a scheduler without endpoints.
func New(b bbtcatalog.Bounds, opts ...Option) *Scheduler {
	s := &Scheduler{
		bounds:      b,
		index:       bbtcatalog.NewIndex(nil),
		shares:      &shares{limits: 1, slots: 1},
		services:    make(map[string]*service),
		byID:        make(map[string]*endpoint),
		runs:        make(map[key]*run),
		meters:      make(map[string]*Meter),
		retryBudget: newRetryBudget(b),
		suspects:    newSuspects(),
		draining:    NewDraining(),
		backoff:     newBackoff(),
		lacks:       make(map[bbtfleet.HostID]Lacks),
		lowered:     make(map[string]baseline),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetShare sets the shares of all limits and of the endpoints' slots that this
// owner may use. They are below 1 while other hosts may use another owner.
// The share of the slots may be the larger one, since exceeding an endpoint's
// slots costs only a rejection, while exceeding a limit breaks a guarantee.
func (s *Scheduler) SetShare(limits, slots float64) { *s.shares = shares{limits, slots} }

// SetBounds changes the operators' bounds. If the length of a window changes,
// the counts over it are reset.
func (s *Scheduler) SetBounds(b bbtcatalog.Bounds) {
	if b.RateWindow != s.bounds.RateWindow {
		s.meters = make(map[string]*Meter)
	}
	if b.RetryWindow != s.bounds.RetryWindow {
		s.retryBudget = newRetryBudget(b)
	}
	s.bounds, s.retryBudget.bounds = b, b
}

// Share returns the share of all limits that this owner may use.
func (s *Scheduler) Share() float64 { return s.shares.limits }

// SetCatalog sets the current configuration and endpoints.
func (s *Scheduler) SetCatalog(now time.Time, ix *bbtcatalog.Index, listed []bbtcatalog.ListedEndpoint) []Action {
	s.noteLoweredLimits(now, ix)
	s.index = ix
	if ix.Config() == nil {
		return nil
	}
	weights := s.tierWeights(ix.Config())
	for i := range ix.Config().Services {
		record := &ix.Config().Services[i]
		if sv := s.services[record.Name]; sv != nil {
			sv.record = record
			sv.setTiers(weights)
			continue
		}
		sv := newService(record, s.shares, s.suspects)
		sv.setTiers(weights)
		s.services[record.Name] = sv
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
			s.unlisted.add(now, e)
		}
	}
	s.unlisted.trim(now)
	s.hasCatalog = true
	s.draining.Keep(now, func(id string) bool { return keep[id] })
	return s.grantAll(now)
}

// HasEndpoint reports whether an endpoint is published.
func (s *Scheduler) HasEndpoint(id string) bool { return s.byID[id] != nil }

// setEndpoint adds or updates a published endpoint.
func (s *Scheduler) setEndpoint(now time.Time, l bbtcatalog.ListedEndpoint) {
	sv := s.services[l.Endpoint.Service]
	e := s.byID[l.Endpoint.ID]
	if e != nil && (e.service != sv || !e.record.SameIncarnation(l.Endpoint)) {
		e.service.remove(e)
		delete(s.byID, l.Endpoint.ID)
		e = nil
	}
	if sv == nil {
		return
	}
	if e == nil {
		e = s.unlisted.take(sv, l.Endpoint)
		isNew := e == nil
		if isNew {
			e = newEndpoint(sv, l.Endpoint)
		}
		s.byID[l.Endpoint.ID] = e
		sv.add(e)
		if isNew && s.hasCatalog && sv.record.ColdDuration > 0 {
			e.coldUntil = now.Add(sv.record.ColdDuration)
		}
	}
	if until := l.ReceivedAt.Add(l.Endpoint.ColdRemaining); l.Endpoint.ColdRemaining > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
	if e.record.Zone != l.Endpoint.Zone || e.record.Draining != l.Endpoint.Draining || e.zoneOut != l.ZoneOutOfService {
		sv.order.remove(e)
		sv.order.refreshedAt = time.Time{}
	}
	e.record, e.zoneOut = l.Endpoint, l.ZoneOutOfService
	e.setSaysDraining(s.draining.Has(incarnationOf(l.Endpoint)))
}
