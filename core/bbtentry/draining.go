package bbtentry

import (
	"time"

	"bluebelltray/core/bbtschedule"
)

// EndpointDraining records that the endpoint of a dispatch has said in its answer that
// it is draining. This host sends it no further request, whatever an owner permits. The
// owner is told with the reports on the dispatch.
func (e *Entry) EndpointDraining(now time.Time, d Dispatch) []Action {
	if !e.draining.Add(now, d.incarnation()) {
		return nil
	}
	return []Action{EndpointDrains{Endpoint: d.Endpoint}}
}

// drainingOf returns an incarnation of an endpoint if it has said to this host that it is
// draining.
func (e *Entry) drainingOf(i bbtschedule.Incarnation) bbtschedule.Incarnation {
	if !e.draining.Has(i) {
		return bbtschedule.Incarnation{}
	}
	return i
}

// KeepDraining forgets the endpoints that have said that they are draining and have not
// been listed for long.
func (e *Entry) KeepDraining(now time.Time, listed func(endpoint string) bool) {
	e.draining.Keep(now, listed)
}
