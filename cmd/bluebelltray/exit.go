package main

// exitUnusable is the exit status for unusable input.
const exitUnusable = 2

// exitError is an error with an exit status.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode returns the exit status.
func (e *exitError) ExitCode() int { return e.code }
