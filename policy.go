package bluebelltray

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// Policy decides where and when the requests of one entry host are executed. Each
// method takes the current time and returns the actions that the host must perform.
//
// The entry host registers each request with one or more owners, the hosts that
// schedule the requests to the endpoints that they own. An owner answers with a
// permit for one dispatch, or reports that it no longer holds the registration.
type Policy interface {
	// SetTargets sets the endpoints in service and their owners.
	SetTargets(now time.Time, targets []bbtroute.Target) []bbtroute.Action

	// Submit adds a request.
	Submit(now time.Time, r bbtroute.Request) []bbtroute.Action

	// Granted records a permit from an owner.
	Granted(now time.Time, from bbtfleet.HostID, p bbtgrant.Permit) []bbtroute.Action

	// WasShed records that an owner no longer holds a registration.
	WasShed(now time.Time, from bbtfleet.HostID, s bbtgrant.Shed) []bbtroute.Action

	// Cancel ends a request whose caller has disconnected.
	Cancel(now time.Time, id bbtgrant.RequestID) []bbtroute.Action

	// FirstToken records that the first token of a response arrived.
	FirstToken(now time.Time, id bbtgrant.RequestID) []bbtroute.Action

	// Finished records how a dispatch ended, whatever the outcome.
	Finished(now time.Time, id bbtgrant.RequestID, o bbtroute.Outcome) []bbtroute.Action

	// HostLost records that a host failed.
	HostLost(now time.Time, host bbtfleet.HostID) []bbtroute.Action

	// Tick returns the actions that are due at the current time.
	Tick(now time.Time) []bbtroute.Action

	// Next returns when Tick must be called next; the zero time if it need not
	// be.
	Next() time.Time
}
