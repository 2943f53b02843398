package bbtowner

import "bluebelltray/core/bbtfleet"

// View is the pair of published revisions from which an endpoint's ranks are
// computed.
type View struct {
	config bbtfleet.Revision
	list   bbtfleet.Revision
}

// NewView returns the view of a configuration revision and a host list
// revision.
func NewView(config, list bbtfleet.Revision) View { return View{config: config, list: list} }
