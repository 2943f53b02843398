package bbtsuspect

// DispatchMode says how a copy of a request may be dispatched.
type DispatchMode uint8

// The treatments. The zero value dispatches nothing.
const (
	Hold     DispatchMode = iota // another copy is in flight: ask again when it ends
	Free                         // dispatch as any other request
	Isolated                     // dispatch to an endpoint that runs nothing else
	Banned                       // refuse: it crashes endpoints
)

// String returns the treatment's name in kebab case.
func (t DispatchMode) String() string {
	switch t {
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
