package bbtunit

import "fmt"

// Error says why a text is no value of the kind asked for.
type Error struct {
	text   string
	reason string
	want   string
}

// newError returns an Error for text.
func newError(text, reason, want string) *Error {
	if text == "" {
		reason = "value is empty"
	}
	return &Error{text: text, reason: reason, want: want}
}

// NewError returns an Error for text with the reason and what would be right.
// Parsers of other kinds of value use it.
func NewError(text, reason, want string) error { return newError(text, reason, want) }

// Text returns the refused text.
func (e *Error) Text() string { return e.text }

// Reason says what is wrong.
func (e *Error) Reason() string { return e.reason }

// Want says what would be right, with an example.
func (e *Error) Want() string { return e.want }

// Error gives the text, the reason and what would be right.
func (e *Error) Error() string {
	return fmt.Sprintf("%q %s; want %s", e.text, e.reason, e.want)
}
