package bbtticket

import "fmt"

// Fault is the kind of check that a ticket failed.
type Fault uint8

// The faults of a ticket.
const (
	Malformed        Fault = iota // the text does not decode
	OtherHost                     // another host issued it
	OtherIncarnation              // another process of this host issued it
	Forged                        // the authentication code does not match
	ForeignAccount                // it was issued to another client account
	Expired                       // it is genuine but past its expiry
)

// String returns the fault's name in kebab case.
func (f Fault) String() string {
	switch f {
	case OtherHost:
		return "other-host"
	case OtherIncarnation:
		return "other-incarnation"
	case Forged:
		return "forged"
	case ForeignAccount:
		return "foreign-account"
	case Expired:
		return "expired"
	default:
		return "malformed"
	}
}

// Error reports a ticket that failed a check.
type Error struct {
	fault Fault
	cause error
}

// Fault returns the kind of check that the ticket failed.
func (e *Error) Fault() Fault { return e.fault }

// Unwrap returns the decoder's error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the fault's name and, if there is one, the decoder's error.
func (e *Error) Error() string {
	if e.cause == nil {
		return "ticket: " + e.fault.String()
	}
	return fmt.Sprintf("ticket: %s: %v", e.fault, e.cause)
}
