package bbtsuspect

import "bluebelltray/core/bbtfleet"

// CallID names one call of this host.
type CallID uint64

// Event is something the driver tells the agent.
type Event interface{ event() }

// Ask asks whether a call may be dispatched. The agent admits or refuses it,
// now or later.
type Ask struct {
	Call        CallID
	Fingerprint Fingerprint
}

// Begin says that an admitted call is about to be dispatched: it must come
// before the first byte leaves.
type Begin struct {
	Call     CallID
	Endpoint bbtfleet.EndpointID
}

// End says that a call is over or was withdrawn while its endpoint lived.
type End struct {
	Call  CallID
	Whole bool // it got its whole answer
}

// Died says that an endpoint died.
type Died struct{ Crash Crash }

// Received is a peer's message.
type Received struct {
	From    bbtfleet.HostID
	Message Message
}

// HostUnreachable says that a host in the list cannot be reached, or can be
// reached again.
type HostUnreachable struct {
	Host        bbtfleet.HostID
	Unreachable bool
}

// HostsChanged is a new host list.
type HostsChanged struct{ Hosts []bbtfleet.HostID }

// Tick lets time pass. The driver sends it about once a second.
type Tick struct{}

func (Ask) event()             {}
func (Begin) event()           {}
func (End) event()             {}
func (Died) event()            {}
func (Received) event()        {}
func (HostUnreachable) event() {}
func (HostsChanged) event()    {}
func (Tick) event()            {}
