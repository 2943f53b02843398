package bbtfleet

// Zone is the configuration of an availability zone.
type Zone struct {
	id           ZoneID
	region       string
	outOfService bool
}

// NewZone returns a zone of a region; outOfService says that operators have
// taken it out of service.
func NewZone(id ZoneID, region string, outOfService bool) Zone {
	return Zone{id: id, region: region, outOfService: outOfService}
}

// ID returns the zone's ID.
func (z Zone) ID() ZoneID { return z.id }

// Region returns the name of the zone's region.
func (z Zone) Region() string { return z.region }

// OutOfService reports whether operators have taken the zone out of service.
func (z Zone) OutOfService() bool { return z.outOfService }
