// Package bbtstory analyzes the log lines of hosts: it traces single requests and
// summarizes the outcomes of many.
package bbtstory

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Messages of the log lines that report a request or a host's load. Lines with
// other messages are treated as state changes.
const (
	messageRequest = "request"
	messageLoad    = "load"
)

// Line is one decoded log line.
type Line struct {
	Time       time.Time `json:"ts"`
	Level      string    `json:"level"`
	Message    string    `json:"msg"`
	Host       string    `json:"-"` // host name that a log collector put before the line, if any
	Request    string    `json:"request"`
	Status     int       `json:"status"`
	ElapsedMS  int64     `json:"ms"` // time from the request's arrival to the line
	WaitedMS   int64     `json:"waited-ms"`
	Reason     string    `json:"reason"`
	Service    string    `json:"service"`
	Route      string    `json:"route"`
	Owner      string    `json:"owner"`
	Dispatches []string  `json:"dispatches"` // endpoint and outcome of each dispatch, separated by a space
	Raw        string    `json:"-"`          // the line from its first brace, with its newline if it has one
}

// ParseLine decodes a line. Text before the first brace is treated as a prefix
// added by a log collector, whose last word is the host name.
func ParseLine(text []byte) (Line, error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, errors.New("line contains no JSON object")
	}
	var l Line
	if err := json.Unmarshal(text[i:], &l); err != nil {
		return Line{}, errors.Wrap(err, "decode log line")
	}
	if words := strings.Fields(string(text[:i])); len(words) > 0 {
		l.Host = words[len(words)-1]
	}
	l.Raw = string(text[i:])
	return l, nil
}
