package bbtworld

// Faults is the set of fault kinds that a run injects.
type Faults uint16

// Fault kinds.
const (
	Kills            Faults = 1 << iota // processes are killed and restart on the same address
	Pauses                              // processes are suspended and resume later
	Partitions                          // connections break, queues to peers are full, and hosts cannot reach each other while both keep running
	Membership                          // hosts are added to and removed from the host list, whether alive or not
	StaleReads                          // reads of the host list are delayed or never complete
	Reorder                             // messages are delayed, reordered and duplicated
	EndpointFailures                    // dispatches fail before the first byte or lose their response
	Rejections                          // the scheduler rejects waiting calls
	ForgetfulCallers                    // callers abort attempts, lose their ticket and resend by key
	AllFaults        = 1<<iota - 1
)

// String returns a short name of a single fault kind, for output.
func (f Faults) String() string {
	switch f {
	case 0:
		return "none"
	case Kills:
		return "kills"
	case Pauses:
		return "pauses"
	case Partitions:
		return "cuts"
	case Membership:
		return "membership"
	case StaleReads:
		return "stale-reads"
	case Reorder:
		return "reorder"
	case EndpointFailures:
		return "endpoints"
	case Rejections:
		return "rejections"
	case ForgetfulCallers:
		return "forgetful-callers"
	default:
		return "several"
	}
}

// has reports whether f contains the given kind.
func (f Faults) has(kind Faults) bool { return f&kind != 0 }
