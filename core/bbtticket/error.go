package bbtticket

import "fmt"

// Fault tells why a ticket is not accepted.
type Fault uint8

// The faults of a ticket.
const (
	Malformed Fault = iota
	OtherHost
	OtherIncarnation
	Forged
	ForeignAccount
	Expired
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

// Error is the reason a ticket is not accepted.
type Error struct {
	fault Fault
	cause error
}

// Fault returns the kind of the fault.
func (e *Error) Fault() Fault { return e.fault }

// Unwrap returns the decoder's error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error describes the fault and its cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return "ticket: " + e.fault.String()
	}
	return fmt.Sprintf("ticket: %s: %v", e.fault, e.cause)
}
