package bbtmember

// State is the believed state of a host's process. If two changes of the same
// incarnation have the same number of refutations, the larger state wins.
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
