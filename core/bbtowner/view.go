package bbtowner

import "bluebelltray/core/bbtfleet"

// View names the published revisions that an endpoint's ranks are computed
// from.
type View struct {
	config bbtfleet.Revision
	list   bbtfleet.Revision
}

// NewView returns the view of a configuration revision and a host list
// revision.
func NewView(config, list bbtfleet.Revision) View { return View{config: config, list: list} }
