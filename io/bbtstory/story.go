package bbtstory

import (
	"slices"
	"time"
)

// contextWindow is the time before a request's arrival from which state changes
// belong to its trace.
const contextWindow = 5 * time.Second

// maxContextLines limits the number of lines kept as context.
const maxContextLines = 100_000

// RequestTrace collects the log lines of one request from all hosts, and the
// state changes that hosts logged shortly before and during it. The zero value
// is not usable; use NewRequestTrace.
type RequestTrace struct {
	requestID    string
	requestLines []Line
	contextLines []Line
}

// NewRequestTrace returns an empty trace of the request with the given ID, which
// its caller chose.
func NewRequestTrace(id string) *RequestTrace { return &RequestTrace{requestID: id} }

// Add adds a line if it belongs to the request or may be context.
func (t *RequestTrace) Add(l Line) {
	switch {
	case l.Message == messageRequest && l.Request == t.requestID:
		t.requestLines = append(t.requestLines, l)
	case l.Message == messageRequest || l.Message == messageLoad: // not a state change
	case len(t.contextLines) < maxContextLines:
		t.contextLines = append(t.contextLines, l)
	}
}

// Lines returns the trace in order of time. It is empty if no line of the request
// was added.
func (t *RequestTrace) Lines() []Line {
	lines := slices.Clone(t.requestLines)
	for _, c := range t.contextLines {
		if slices.ContainsFunc(t.requestLines, func(l Line) bool { return inContext(l, c) }) {
			lines = append(lines, c)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// inContext reports whether a line falls into the time of a request, extended by
// contextWindow before its arrival.
func inContext(request, line Line) bool {
	start := request.Time.Add(-time.Duration(request.ElapsedMS)*time.Millisecond - contextWindow)
	return line.Time.After(start) && !line.Time.After(request.Time)
}
