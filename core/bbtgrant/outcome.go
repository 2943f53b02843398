package bbtgrant

// Outcome says how a dispatch ended.
type Outcome uint8

// The outcomes. The zero value is the cautious one.
const (
	Lost      Outcome = iota // the endpoint died or went silent; the call may have run
	Finished                 // the whole answer arrived
	Refused                  // the endpoint provably did not run the call
	Cancelled                // the caller left or the deadline passed
)

// String returns the outcome's name in kebab case.
func (o Outcome) String() string {
	switch o {
	case Finished:
		return "finished"
	case Refused:
		return "refused"
	case Cancelled:
		return "cancelled"
	default:
		return "lost"
	}
}
