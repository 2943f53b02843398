package bbtschedule

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtroom"
)

// ServiceStatus is the state of a service at the owner.
type ServiceStatus struct {
	Name             string           `json:"name"`
	Waiting          int              `json:"waiting"`
	PermitsPerSecond float64          `json:"per-second"`   // current rate, or the rate that the slots allow if higher
	RetriesLeft      float64          `json:"repeats-left"` // within the retry budget
	Endpoints        []EndpointStatus `json:"endpoints"`
	Tiers            *TierStatus      `json:"tiers,omitempty"` // nil unless room is kept for tiers
}

// TierStatus is how a service keeps room for its tiers.
type TierStatus struct {
	Load      float64             `json:"load"`      // slots that the requests admitted lately need
	Promises  int                 `json:"promises"`  // refused callers that are expected to return
	Limited   int                 `json:"limited"`   // endpoints that take fewer requests well than they have slots
	Forecasts []bbtroom.TierScore `json:"forecasts"` // expected waits against those that callers had
}

// Running returns how many requests run at the service's endpoints.
func (st ServiceStatus) Running() int {
	n := 0
	for _, e := range st.Endpoints {
		n += e.Running
	}
	return n
}

// Cold returns how many of the service's endpoints are cold.
func (st ServiceStatus) Cold() int {
	n := 0
	for _, e := range st.Endpoints {
		if e.Cold {
			n++
		}
	}
	return n
}

// EndpointStatus is the state of an endpoint at the owner.
type EndpointStatus struct {
	ID                    string  `json:"id"`
	Running               int     `json:"running"`
	AwaitingFirstEvent    int     `json:"unread"` // runs without a first event
	Slots                 int     `json:"slots"`
	Available             bool    `json:"open"`
	Draining              bool    `json:"draining,omitempty"`     // as published, or as it has said
	PausedHosts           int     `json:"paused-hosts,omitempty"` // from which it wants no requests now
	Cold                  bool    `json:"cold"`
	Takes                 int     `json:"takes,omitempty"` // slots that it takes well, if fewer than it has
	BacklogMs             float64 `json:"backlog-ms"`      // until the prefill of all prompts sent is done, without the correction for missing first events
	PrefillMicrosPerToken float64 `json:"read-us"`
	StatedPerSecond       float64 `json:"limit,omitempty"` // limit that it states; 0 if there is none
	EventGapMs            float64 `json:"gap-ms"`          // of a plain service: time of a call
}

// Status returns the state of each service that has endpoints.
func (s *Scheduler) Status(now time.Time) []ServiceStatus {
	var out []ServiceStatus
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		sv := s.services[name]
		if len(sv.endpoints) == 0 {
			continue
		}
		st := ServiceStatus{Name: name, Waiting: sv.queue.Len(), PermitsPerSecond: sv.permitsPerSecond(now), RetriesLeft: s.retryBudget.remaining(now, name, s.shares.limits)}
		for _, e := range sv.endpoints {
			st.Endpoints = append(st.Endpoints, e.status(now, s.shares.slots))
		}
		st.Tiers = sv.tierStatus(now)
		out = append(out, st)
	}
	return out
}

// tierStatus returns how the service keeps room for its tiers; nil if it does not.
func (sv *service) tierStatus(now time.Time) *TierStatus {
	t := sv.tiers
	if t == nil {
		return nil
	}
	st := &TierStatus{Load: t.room.Load(now, maxRank), Promises: t.book.Len(), Forecasts: t.score.Tiers()}
	for _, e := range sv.endpoints {
		if e.isLimited() {
			st.Limited++
		}
	}
	return st
}

// isLimited reports whether the endpoint takes fewer requests well than it has slots.
func (e *endpoint) isLimited() bool {
	return e.takes > 0 && e.takes < max(e.record.Slots, min(e.service.record.Slots, 1))
}

// status returns the state of the endpoint.
func (e *endpoint) status(now time.Time, slotShare float64) EndpointStatus {
	prefill, gap := e.timings()
	if !e.service.record.ModelEngine {
		prefill, gap = 0, e.response.orDefault(0)
	}
	takes := 0
	if e.isLimited() {
		takes = e.takes
	}
	return EndpointStatus{
		Takes:                 takes,
		ID:                    e.record.ID,
		Running:               len(e.running),
		AwaitingFirstEvent:    e.pending,
		Slots:                 e.slots(slotShare),
		Available:             e.available(now),
		Draining:              e.draining(),
		PausedHosts:           e.hostPauses.active(now),
		Cold:                  now.Before(e.coldUntil),
		BacklogMs:             max(0, float64(e.prefillDoneAt.Sub(now))/float64(time.Millisecond)),
		PrefillMicrosPerToken: prefill * 1000,
		StatedPerSecond:       e.stated.limit.PerSecond,
		EventGapMs:            gap,
	}
}
