package bbtgrant

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// permit is the owner's record of one outstanding permit.
type permit struct {
	id       PermitID
	host     bbtfleet.HostID
	endpoint bbtfleet.EndpointID
	until    time.Time // the dispatch has ended by then even if nobody says so
}
