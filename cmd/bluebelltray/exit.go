package main

// exitUnusable is the exit status for unusable input.
const exitUnusable = 2

// exitError is an error with the exit status it ends the process with.
type exitError struct {
	code int
	err  error
}

// Error returns the error's text.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode returns the exit status.
func (e *exitError) ExitCode() int { return e.code }
