package bbtsuspect

// DispatchMode says whether and how an attempt of a request may be dispatched.
type DispatchMode uint8

// The dispatch modes. The zero value allows no dispatch.
const (
	Hold     DispatchMode = iota // claim again later: another attempt may be in flight
	Free                         // dispatch without restriction
	Isolated                     // dispatch to an endpoint that runs no other isolated request
	Banned                       // refuse: the request crashes endpoints
)

// String returns the lower-case name of the mode, which is alone for Isolated.
func (m DispatchMode) String() string {
	switch m {
	case Free:
		return "free"
	case Isolated:
		return "alone"
	case Banned:
		return "banned"
	default:
		return "hold"
	}
}
