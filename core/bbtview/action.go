package bbtview

import "bluebelltray/core/bbtfleet"

// Action is something the driver of a Keeper has to do.
type Action interface{ action() }

// ReadManifest asks for a read of the manifest.
type ReadManifest struct{}

// WatchManifest asks for a wait until the manifest's service revision exceeds
// After. Its result is a ManifestRead or, also at a time limit, a ReadFailed
// event with Watch set.
type WatchManifest struct{ After bbtfleet.Revision }

// ReadPart asks for a read of one part.
type ReadPart struct{ Key string }

// ReadHosts asks for a read of the host list.
type ReadHosts struct{}

// AskPeer asks for a Question to be sent to a host. The answer comes back as a
// PeerAnswered event.
type AskPeer struct {
	To       bbtfleet.HostID
	Question Question
}

// AnswerPeer asks for a Transfer to be sent to the host that asked.
type AnswerPeer struct {
	To       bbtfleet.HostID
	Transfer Transfer
}

// TellPeer asks for a Digest to be sent to a host at once.
type TellPeer struct {
	To     bbtfleet.HostID
	Digest Digest
}

// InForce says that a configuration is in force from now on.
type InForce struct{ Configuration *bbtfleet.Configuration }

// HostsInForce says that a host list is in force from now on.
type HostsInForce struct{ Hosts bbtfleet.HostList }

// Rejected says that a version was refused whole and why. The configuration in
// force stays.
type Rejected struct {
	Version bbtfleet.Version
	Err     error
}

// Serve says that the view is complete and requests may be taken. It comes
// once.
type Serve struct{}

func (ReadManifest) action()  {}
func (WatchManifest) action() {}
func (ReadPart) action()      {}
func (ReadHosts) action()     {}
func (AskPeer) action()       {}
func (AnswerPeer) action()    {}
func (TellPeer) action()      {}
func (InForce) action()       {}
func (HostsInForce) action()  {}
func (Rejected) action()      {}
func (Serve) action()         {}
