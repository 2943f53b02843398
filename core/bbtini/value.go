package bbtini

import (
	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtunit"
)

// Require returns the value of a mandatory key. If the key is missing or parse
// rejects the value, it reports a problem and returns false.
func Require[T any](s *Section, key string, parse func(string) (T, error)) (T, bool) {
	text, ok := s.value(key)
	if !ok {
		var zero T
		s.ReportKeyProblem(key, "key is missing", WithWant(expectedBy(parse)))
		return zero, false
	}
	return parseValue(s, key, text, parse)
}

// Optional returns the value of a key, or fallback if the key is missing. If
// parse rejects the value, it reports a problem and returns false.
func Optional[T any](s *Section, key string, fallback T, parse func(string) (T, error)) (T, bool) {
	text, ok := s.value(key)
	if !ok {
		return fallback, true
	}
	return parseValue(s, key, text, parse)
}

// parseValue parses the text of a key and reports an error as a problem.
func parseValue[T any](s *Section, key, text string, parse func(string) (T, error)) (T, bool) {
	v, err := parse(text)
	if err == nil {
		return v, true
	}
	opts := []ProblemOption{WithValue(text)}
	reason := err.Error()
	var unitErr *bbtunit.Error
	if errors.As(err, &unitErr) {
		reason = unitErr.Reason()
		opts = append(opts, WithWant(unitErr.Want()))
	}
	s.ReportKeyProblem(key, reason, opts...)
	var zero T
	return zero, false
}

// expectedBy returns what parse accepts, taken from its error for an empty
// text.
func expectedBy[T any](parse func(string) (T, error)) string {
	_, err := parse("")
	var unitErr *bbtunit.Error
	if errors.As(err, &unitErr) {
		return unitErr.Want()
	}
	return ""
}
