package bbtgrant

// Outcome is how a dispatch ended.
type Outcome uint8

// Outcomes. The zero value is the safe one: it assumes that the request may have
// run.
const (
	Lost      Outcome = iota // the endpoint failed or stopped answering; the request may have run
	Finished                 // the whole answer arrived
	Refused                  // the endpoint definitely did not run the request
	Cancelled                // the caller disconnected or the deadline passed
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
