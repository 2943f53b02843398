package bbtmember

// State is what is believed of a host's process. Of two states of the same
// incarnation the larger one holds.
type State uint8

// The states of a host's process.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the state's name in kebab case.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "alive"
	}
}
