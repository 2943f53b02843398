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

// ReadHostList asks for a read of the host list.
type ReadHostList struct{}

// SendQuery asks for a Question to be sent to a host. The answer comes back as a
// PeerAnswered event.
type SendQuery struct {
	To       bbtfleet.HostID
	Query Query
}

// SendReply asks for a Transfer to be sent to the host that asked.
type SendReply struct {
	To       bbtfleet.HostID
	Reply Reply
}

// SendDigest asks for a Digest to be sent to a host at once.
type SendDigest struct {
	To     bbtfleet.HostID
	Digest Digest
}

// ConfigurationApplied says that a configuration is in force from now on.
type ConfigurationApplied struct{ Configuration *bbtfleet.Configuration }

// HostListApplied says that a host list is in force from now on.
type HostListApplied struct{ Hosts bbtfleet.HostList }

// ConfigurationRejected says that a version was refused whole and why. The configuration in
// force stays.
type ConfigurationRejected struct {
	Version bbtfleet.Version
	Err     error
}

// Serve says that the view is complete and requests may be taken. It comes
// once.
type Serve struct{}

func (ReadManifest) action()  {}
func (WatchManifest) action() {}
func (ReadPart) action()      {}
func (ReadHostList) action()     {}
func (SendQuery) action()       {}
func (SendReply) action()    {}
func (SendDigest) action()      {}
func (ConfigurationApplied) action()       {}
func (HostListApplied) action()  {}
func (ConfigurationRejected) action()      {}
func (Serve) action()         {}
