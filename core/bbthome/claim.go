package bbthome

// Claim is what a caller states about its earlier attempts with an idempotency
// key. A caller must count either all attempts with a key or none.
type Claim uint8

// The claims. The zero value is the most restrictive one.
const (
	Resent    Claim = iota // the caller may have sent a ticket of the key before
	First                  // the caller sent none, or only tickets that were refused as not run
	Uncounted              // the caller does not count its attempts
)

// String returns the claim's name in kebab case.
func (c Claim) String() string {
	switch c {
	case First:
		return "first"
	case Uncounted:
		return "uncounted"
	default:
		return "resent"
	}
}
