package bbtfleet

// Zone is an availability zone as operators publish it.
type Zone struct {
	id     ZoneID
	region string
	out    bool
}

// NewZone returns a zone of a region; out says that operators have taken it
// out of service.
func NewZone(id ZoneID, region string, out bool) Zone {
	return Zone{id: id, region: region, out: out}
}

// ID returns the zone's name.
func (z Zone) ID() ZoneID { return z.id }

// Region returns the name of the zone's region.
func (z Zone) Region() string { return z.region }

// OutOfService reports whether operators have taken the zone out of service.
func (z Zone) OutOfService() bool { return z.out }
