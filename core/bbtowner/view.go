package bbtowner

import "bluebelltray/core/bbtfleet"

// View names the published revisions that an endpoint's electors are computed
// from.
type View struct {
	Config uint64 `cbor:"1,keyasint,omitempty"` // configuration revision
	List   uint64 `cbor:"2,keyasint,omitempty"` // host list revision
}

// newView returns the view of the revisions.
func newView(config, list bbtfleet.Revision) View {
	return View{Config: uint64(config), List: uint64(list)}
}

// covers reports whether v is as new as other in both revisions.
func (v View) covers(other View) bool {
	return v.Config >= other.Config && v.List >= other.List
}

// join returns the newer of the revisions of v and other.
func (v View) join(other View) View {
	return View{Config: max(v.Config, other.Config), List: max(v.List, other.List)}
}
