package bbtsuspect

import "bluebelltray/core/bbtfleet"

// CallID identifies a call, which is an attempt of a request through this host.
type CallID uint64

// Event is an input of the agent.
type Event interface{ event() }

// AdmissionRequested asks whether a call may be dispatched. The agent admits or
// refuses the call at once or in a later step.
type AdmissionRequested struct {
	Call        CallID
	Fingerprint Fingerprint
}

// DispatchStarted reports that an admitted call is about to be dispatched. It
// must precede the first byte sent to the endpoint.
type DispatchStarted struct {
	Call     CallID
	Endpoint bbtfleet.EndpointID
}

// CallEnded reports that a call ended without a crash of its endpoint, or was
// cancelled before it was dispatched.
type CallEnded struct {
	Call     CallID
	Complete bool // it received a complete answer
}

// EndpointCrashed reports that an endpoint crashed.
type EndpointCrashed struct{ Crash Crash }

// MessageReceived is a message from a peer.
type MessageReceived struct {
	From    bbtfleet.HostID
	Message Message
}

// HostUnreachable reports a change of whether a listed host is unreachable. If
// Unreachable is false, the host is reachable again.
type HostUnreachable struct {
	Host        bbtfleet.HostID
	Unreachable bool
}

// HostsChanged reports a new host list.
type HostsChanged struct{ Hosts []bbtfleet.HostID }

// Tick lets the agent handle timeouts. The driver sends it about every 200 ms.
type Tick struct{}

func (AdmissionRequested) event() {}
func (DispatchStarted) event()    {}
func (CallEnded) event()          {}
func (EndpointCrashed) event()    {}
func (MessageReceived) event()    {}
func (HostUnreachable) event()    {}
func (HostsChanged) event()       {}
func (Tick) event()               {}
