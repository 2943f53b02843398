package bbtview

import "bluebelltray/core/bbtfleet"

// Action is an output of a View that its caller has to carry out or take note
// of.
type Action interface{ action() }

// ReadManifest requests a read of the manifest. The result goes to
// View.ManifestRead or View.ReadFailed.
type ReadManifest struct{}

// WatchManifest requests a watch that waits until the configuration service's
// revision of the manifest exceeds After. The result goes to View.ManifestRead
// with watch set or, on failure or at a time limit, to View.WatchFailed.
type WatchManifest struct{ After bbtfleet.Revision }

// ReadPart requests a read of one part. The result goes to View.PartRead or
// View.ReadFailed.
type ReadPart struct{ Key string }

// ReadHostList requests a read of the host list. The result goes to
// View.HostListRead or View.HostListReadFailed.
type ReadHostList struct{}

// SendQuery requests the transmission of a Query to a host. The reply goes to
// View.ReceiveReply.
type SendQuery struct {
	To    bbtfleet.HostID
	Query Query
}

// SendReply requests the transmission of a Reply to the host that sent the
// Query.
type SendReply struct {
	To    bbtfleet.HostID
	Reply Reply
}

// SendDigest requests the immediate transmission of a Digest to a host.
type SendDigest struct {
	To     bbtfleet.HostID
	Digest Digest
}

// ConfigurationApplied reports that a configuration has become active.
type ConfigurationApplied struct{ Configuration *bbtfleet.Configuration }

// HostListApplied reports that a host list has become active.
type HostListApplied struct{ Hosts bbtfleet.HostList }

// ConfigurationRefused reports that a version was refused as a whole, and why.
// The active configuration stays.
type ConfigurationRefused struct {
	Version bbtfleet.Version
	Err     error
}

// Serve reports that the view is complete, so that the host may accept requests.
// It is returned once.
type Serve struct{}

func (ReadManifest) action()         {}
func (WatchManifest) action()        {}
func (ReadPart) action()             {}
func (ReadHostList) action()         {}
func (SendQuery) action()            {}
func (SendReply) action()            {}
func (SendDigest) action()           {}
func (ConfigurationApplied) action() {}
func (HostListApplied) action()      {}
func (ConfigurationRefused) action() {}
func (Serve) action()                {}
