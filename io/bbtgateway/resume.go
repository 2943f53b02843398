package bbtgateway

import (
	"bytes"
	"iter"
	"strconv"
	"strings"
)

// streamEvent is what is known of one event of a stream.
type streamEvent struct {
	id       string // empty if it has none that a header can hold
	hasField bool   // false for comments and blank lines
}

// parseEvents returns the events of a text that ends with a complete one.
func parseEvents(text []byte) iter.Seq[streamEvent] {
	return func(yield func(streamEvent) bool) {
		var e streamEvent
		for line := range bytes.Lines(text) {
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 {
				if !yield(e) {
					return
				}
				e = streamEvent{}
				continue
			}
			e.hasField = e.hasField || line[0] != ':'
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.id = headerText(string(bytes.TrimSpace(id)))
			}
		}
	}
}

// headerText returns a text, or an empty one if no header can hold it.
func headerText(text string) string {
	if strings.ContainsFunc(text, func(c rune) bool { return c < ' ' || c == '\x7f' }) {
		return ""
	}
	return text
}

// position is how far a stream was forwarded.
type position struct {
	lastID  string // of the last event that has an ID; empty if none has
	number  uint64 // lastID as a number
	numeric bool   // lastID is a number
	regular bool   // all IDs are numbers, each larger by one than the one before
	behind  bool   // events without an ID were forwarded behind that one
}

// newPosition returns the position of a stream that its caller resumes after the event
// with the given ID; empty if it does not.
func newPosition(callersLastID string) position {
	n, err := strconv.ParseUint(callersLastID, 10, 64)
	return position{number: n, regular: err == nil || callersLastID == ""}
}

// advance moves the position behind an event that was forwarded.
func (p *position) advance(e streamEvent) {
	if e.id == "" {
		p.behind = p.behind || e.hasField
		return
	}
	n, err := strconv.ParseUint(e.id, 10, 64)
	first := p.lastID == "" && n == 0 // IDs may start from zero
	p.regular = p.regular && err == nil && (n == p.number+1 || first)
	p.lastID, p.number, p.numeric, p.behind = e.id, n, err == nil, false
}

// continuedBy reports whether an event may be the next one of the stream. No event
// without an ID may be, since nothing tells it from another text of an endpoint.
func (p *position) continuedBy(e streamEvent) bool {
	if p.lastID == "" {
		return true
	}
	n, err := strconv.ParseUint(e.id, 10, 64)
	switch {
	case !p.numeric:
		return e.id != "" && e.id != p.lastID
	case p.regular:
		return err == nil && n == p.number+1
	default:
		return err == nil && n > p.number
	}
}

// isResumed reports whether an earlier dispatch has forwarded a part of the stream.
func (a *attempt) isResumed() bool { return a.exchange.events > a.events }

// continues reports whether the events that an endpoint sends first may continue the
// stream that an earlier dispatch began. Comments are passed over.
func (a *attempt) continues(events []byte) bool {
	if a.continued || !a.isResumed() {
		return true
	}
	for e := range parseEvents(events) {
		if e.hasField {
			a.continued = a.exchange.position.continuedBy(e)
			return a.continued
		}
	}
	return true
}
