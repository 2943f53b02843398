package bbthome

// Claim is what a caller says about its attempts under an idempotency key. A
// caller that counts its attempts does so for all attempts of a key.
type Claim uint8

// The claims. The zero value is the cautious one.
const (
	Resent    Claim = iota // it may have presented a ticket of the key before
	First                  // it presented none, or only such that were refused not-run
	Uncounted              // it does not count its attempts
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
