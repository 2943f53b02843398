package bbtini

import (
	"github.com/cockroachdb/errors"

	"bluebelltray/core/bbtunit"
)

// Require returns the value of a key that must be present. It reports a
// missing key or a value that parse refuses, and then returns false.
func Require[T any](s *Section, key string, parse func(string) (T, error)) (T, bool) {
	text, ok := s.value(key)
	if !ok {
		var zero T
		s.ReportKeyProblem(key, "key is missing", WithWant(wantOf(parse)))
		return zero, false
	}
	return parseValue(s, key, text, parse)
}

// Optional returns the value of a key, or fallback if the key is missing. It
// reports a value that parse refuses, and then returns false.
func Optional[T any](s *Section, key string, fallback T, parse func(string) (T, error)) (T, bool) {
	text, ok := s.value(key)
	if !ok {
		return fallback, true
	}
	return parseValue(s, key, text, parse)
}

// parseValue parses the text of a key and reports a refusal.
func parseValue[T any](s *Section, key, text string, parse func(string) (T, error)) (T, bool) {
	v, err := parse(text)
	if err == nil {
		return v, true
	}
	opts := []ProblemOption{WithValue(text)}
	reason := err.Error()
	var unit *bbtunit.Error
	if errors.As(err, &unit) {
		reason = unit.Reason()
		opts = append(opts, WithWant(unit.Want()))
	}
	s.ReportKeyProblem(key, reason, opts...)
	var zero T
	return zero, false
}

// wantOf returns what parse would accept, learnt from its refusal of an empty
// text.
func wantOf[T any](parse func(string) (T, error)) string {
	_, err := parse("")
	var unit *bbtunit.Error
	if errors.As(err, &unit) {
		return unit.Want()
	}
	return ""
}
