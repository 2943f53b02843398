package bbtgrant

import "bluebelltray/core/bbtfleet"

// Action is a step that an Owner asks its driver to take: a Grant or a Shed.
type Action interface{ action() }

// Grant sends a permit to an entry host.
type Grant struct {
	To     bbtfleet.HostID
	Permit Permit
}

func (Grant) action() {}
func (Shed) action()  {}
