package bbtunit

import "fmt"

// Error describes why a text is not a valid value.
type Error struct {
	text   string
	reason string
	want   string
}

// newError returns an Error for text. The reason for an empty text is always
// that the value is empty.
func newError(text, reason, want string) *Error {
	if text == "" {
		reason = "value is empty"
	}
	return &Error{text: text, reason: reason, want: want}
}

// NewError returns an *Error for text with the reason and a description of
// valid values. It is for parsers in other packages.
func NewError(text, reason, want string) error { return newError(text, reason, want) }

// Text returns the rejected text.
func (e *Error) Text() string { return e.text }

// Reason describes the problem.
func (e *Error) Reason() string { return e.reason }

// Want describes valid values, with an example.
func (e *Error) Want() string { return e.want }

// Error returns the text, the reason and the description of valid values.
func (e *Error) Error() string {
	return fmt.Sprintf("%q %s; want %s", e.text, e.reason, e.want)
}
