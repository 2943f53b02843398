package bbtstory

import (
	"slices"
	"time"
)

// contextTime is how long before a request's line other hosts' changes of
// belief belong to its story.
const contextTime = 5 * time.Second

// mostBeliefs bounds the lines kept as context.
const mostBeliefs = 100_000

// RequestTrace collects what the logs of all hosts tell of one request: its own lines,
// and the changes of what hosts believed shortly before them. The zero value
// collects nothing; use NewStory.
type RequestTrace struct {
	id      string
	own     []Line
	beliefs []Line
}

// NewRequestTrace returns a story of a request by its caller's ID.
func NewRequestTrace(id string) *RequestTrace { return &RequestTrace{id: id} }

// Add takes a line in.
func (s *RequestTrace) Add(l Line) {
	switch {
	case l.Message == messageRequest && l.Request == s.id:
		s.own = append(s.own, l)
	case l.Message == messageRequest || l.Message == messageLoad:
	case len(s.beliefs) < mostBeliefs:
		s.beliefs = append(s.beliefs, l)
	}
}

// Lines returns the story in order of time; nothing if the request is unknown.
func (s *RequestTrace) Lines() []Line {
	out := slices.Clone(s.own)
	for _, b := range s.beliefs {
		if slices.ContainsFunc(s.own, func(l Line) bool { return concerns(l, b) }) {
			out = append(out, b)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// concerns reports whether a change of belief falls into the time of a request.
func concerns(request, belief Line) bool {
	began := request.Time.Add(-time.Duration(request.MS)*time.Millisecond - contextTime)
	return belief.Time.After(began) && !belief.Time.After(request.Time)
}
