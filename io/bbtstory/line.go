// Package bbtstory reads the log lines of hosts and tells from them what became
// of requests.
package bbtstory

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Messages of log lines that a story is made of.
const (
	messageRequest = "request"
	messageLoad    = "load"
)

// Line is one log line.
type Line struct {
	Time       time.Time `json:"ts"`
	Level      string    `json:"level"`
	Message    string    `json:"msg"`
	Node       string    `json:"-"` // that a collector put before the line, if any
	Request    string    `json:"request"`
	Status     int       `json:"status"`
	MS         int64     `json:"ms"` // from the request's arrival to the line
	WaitedMS   int64     `json:"waited-ms"`
	Reason     string    `json:"reason"`
	Service    string    `json:"service"`
	Route      string    `json:"route"`
	Owner      string    `json:"owner"`
	Dispatches []string  `json:"dispatches"` // endpoint and outcome
	Raw        string    `json:"-"`          // as it was written
}

// ParseLine reads a line. What stands before its first brace is taken for what
// a collector added, the last word of it for the host's name.
func ParseLine(text []byte) (Line, error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, errors.New("no log line")
	}
	var l Line
	if err := json.Unmarshal(text[i:], &l); err != nil {
		return Line{}, errors.Wrap(err, "torn line")
	}
	if words := strings.Fields(string(text[:i])); len(words) > 0 {
		l.Node = words[len(words)-1]
	}
	l.Raw = string(text[i:])
	return l, nil
}
