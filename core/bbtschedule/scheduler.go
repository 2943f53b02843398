// Package bbtschedule is the owner role: for the services that one host owns,
// it decides which request waits, which is refused and which endpoint each one
// goes to, with all limits that hold over the whole fleet.
package bbtschedule

import (
	"time"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtfleet"
)

// key names a request over all hosts.
type key struct {
	host bbtfleet.HostID
	id   RequestID
}

// run is a dispatch under a permit.
type run struct {
	key           key
	reg           Registration
	endpoint      *endpoint
	granted       time.Time
	prefillTokens float64 // prompt tokens that the engine reads until the first event
	firstEvent    bool
	adopted       bool // begun under a former owner, so its times teach nothing
}

// Action is a message to a host.
type Action struct {
	To      bbtfleet.HostID
	Message Message
}

// Scheduler decides for all services of an owner. Its methods take the current
// time and return what the driver must send; it is not safe for concurrent use.
type Scheduler struct {
	bounds      bbtcatalog.Bounds
	index       *bbtcatalog.Index
	limitShare  float64 // of the limits
	slotShare   float64 // part of the endpoints' slots
	hasCatalog  bool    // a catalog was set before, so unknown runs are new
	services    map[string]*service
	byID        map[string]*endpoint
	runs        map[key]*run
	meters      map[string]*Meter // of client accounts
	retryBudget retryBudget
	suspects    suspects
	backoff     backoff
	reapedAt    time.Time // when runs without an end were looked for last

	startedAt        time.Time // when this process began
	assumeExhausted  bool      // others may have used the limits before
	reportedAt       time.Time // when a former owner told what was used; zero if none has
	reportedDeficits map[string]float64
}

// Option sets an optional part of a Scheduler.
type Option func(*Scheduler)

// WithPriorUsage makes the scheduler take the limits of client accounts as used
// up before born.
func WithPriorUsage(startedAt time.Time) Option {
	return func(s *Scheduler) { s.startedAt, s.assumeExhausted = startedAt, true }
}

// New returns a scheduler without endpoints.
func New(b bbtcatalog.Bounds, opts ...Option) *Scheduler {
	s := &Scheduler{
		bounds:      b,
		index:       bbtcatalog.NewIndex(nil),
		limitShare:  1,
		slotShare:   1,
		services:    make(map[string]*service),
		byID:        make(map[string]*endpoint),
		runs:        make(map[key]*run),
		meters:      make(map[string]*Meter),
		retryBudget: newRetryBudget(b),
		suspects:    newSuspects(),
		backoff:     newBackoff(),
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
func (s *Scheduler) SetShare(limitShare, slotShare float64) {
	s.limitShare, s.slotShare = limitShare, slotShare
}

// SetBounds changes the operators' bounds. Counts over a window that has another
// length begin anew.
func (s *Scheduler) SetBounds(b bbtcatalog.Bounds) {
	if b.RateWindow != s.bounds.RateWindow {
		s.meters = make(map[string]*Meter)
	}
	if b.RetryWindow != s.bounds.RetryWindow {
		s.retryBudget = newRetryBudget(b)
	}
	s.bounds, s.retryBudget.bounds = b, b
}

// Share returns the part of all limits that this owner may use.
func (s *Scheduler) Share() float64 { return s.limitShare }

// SetCatalog sets the configuration and the endpoints in force.
func (s *Scheduler) SetCatalog(now time.Time, ix *bbtcatalog.Index, listed []bbtcatalog.ListedEndpoint) []Action {
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
	s.hasCatalog = true
	return s.grantAll(now)
}

// setEndpoint takes a published entry over.
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
		e = newEndpoint(sv, l.Endpoint)
		s.byID[l.Endpoint.ID] = e
		sv.add(e)
		if s.hasCatalog && sv.record.ColdDuration > 0 {
			e.coldUntil = now.Add(sv.record.ColdDuration)
		}
	}
	if until := l.ReceivedAt.Add(l.Endpoint.ColdRemaining); l.Endpoint.ColdRemaining > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
	e.record, e.zoneOut = l.Endpoint, l.ZoneOutOfService
}
