package bluebelltray

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtroute"
)

// Policy decides, for the requests of one entry host, where and when they run.
// Each method takes the current time and returns what the host must do.
type Policy interface {
	// View sets the endpoints in service and their owners.
	View(now time.Time, targets []bbtroute.Target) []bbtroute.Action

	// Submit takes a request on.
	Submit(now time.Time, r bbtroute.Request) []bbtroute.Action

	// Granted records a permit from an owner.
	Granted(now time.Time, from bbtfleet.HostID, p bbtgrant.Permit) []bbtroute.Action

	// WasShed records that an owner no longer holds a registration.
	WasShed(now time.Time, from bbtfleet.HostID, s bbtgrant.Shed) []bbtroute.Action

	// Cancel ends a request whose caller has left.
	Cancel(now time.Time, id bbtgrant.RequestID) []bbtroute.Action

	// FirstToken records that the first token of an answer arrived.
	FirstToken(now time.Time, id bbtgrant.RequestID) []bbtroute.Action

	// Finished records how a dispatch ended.
	Finished(now time.Time, id bbtgrant.RequestID, o bbtroute.Outcome) []bbtroute.Action

	// HostLost records that a host died.
	HostLost(now time.Time, host bbtfleet.HostID) []bbtroute.Action

	// Tick does what is due by time alone.
	Tick(now time.Time) []bbtroute.Action

	// Next returns when Tick is wanted; the zero time if never.
	Next() time.Time
}
