package bbtsuspect

import "bluebelltray/core/bbtfleet"

// CallID names one call of this host.
type CallID uint64

// Event is something the driver tells the agent.
type Event interface{ event() }

// AdmissionRequested asks whether a call may be dispatched. The agent admits or refuses it,
// now or later.
type AdmissionRequested struct {
	Call        CallID
	Fingerprint Fingerprint
}

// DispatchStarted says that an admitted call is about to be dispatched: it must come
// before the first byte leaves.
type DispatchStarted struct {
	Call     CallID
	Endpoint bbtfleet.EndpointID
}

// CallEnded says that a call is over or was withdrawn while its endpoint lived.
type CallEnded struct {
	Call     CallID
	Complete bool // it got its whole answer
}

// EndpointCrashed says that an endpoint died.
type EndpointCrashed struct{ Crash Crash }

// MessageReceived is a peer's message.
type MessageReceived struct {
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

func (AdmissionRequested) event() {}
func (DispatchStarted) event()    {}
func (CallEnded) event()          {}
func (EndpointCrashed) event()    {}
func (MessageReceived) event()    {}
func (HostUnreachable) event()    {}
func (HostsChanged) event()       {}
func (Tick) event()               {}
