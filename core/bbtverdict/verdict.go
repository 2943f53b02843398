// Package bbtverdict defines the error that tells a caller whether its request
// may have run.
package bbtverdict

// Verdict says whether a request was executed, as far as is known.
type Verdict uint8

// The verdicts. The zero value is the most conservative one.
const (
	MayHaveRun Verdict = iota // it is unknown whether the request was executed
	NotRun                    // no byte reached an endpoint, or the endpoint explicitly refused the request
	Ran                       // the request was executed to completion
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

// Parse returns the verdict with the given name, as String returns it. For any
// other text it returns MayHaveRun.
func Parse(name string) Verdict {
	for _, v := range [...]Verdict{NotRun, Ran} {
		if v.String() == name {
			return v
		}
	}
	return MayHaveRun
}
