// Package bbtverdict defines the error that tells a caller whether its request
// may have run.
package bbtverdict

// Verdict says what is known of a request's execution.
type Verdict uint8

// The verdicts. The zero value is the cautious one.
const (
	MayHaveRun Verdict = iota // execution can be neither proved nor excluded
	NotRun                    // no byte reached an endpoint, or the endpoint refused it explicitly
	Ran                       // the request ran to its end
)

// String returns the verdict's name in kebab case.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict of a name that String returned. Any other text is
// the cautious verdict.
func Parse(name string) Verdict {
	for _, v := range [...]Verdict{NotRun, Ran} {
		if v.String() == name {
			return v
		}
	}
	return MayHaveRun
}
