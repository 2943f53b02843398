package bbtworld

// Faults are the kinds of fault that a run brings about.
type Faults uint16

// The kinds of fault.
const (
	Kills            Faults = 1 << iota // processes die and start again on the same address
	Pauses                              // processes stop and wake later
	Partitions                          // hosts lose each other, both sides run on
	Membership                          // the host list gains and loses hosts, whether they live or not
	StaleReads                          // reads of the host list come late or not at all
	Reorder                             // messages come late, in any order and twice
	EndpointFailures                    // dispatches fail before the first byte, or lose their answer
	Rejections                          // the scheduler refuses work that waits
	ForgetfulCallers                    // callers give up, lose their ticket and resend by key
	AllFaults        = 1<<iota - 1
)

// String returns the name of a single kind of fault in kebab case.
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
