package bbtgateway_test

import (
	"net/http"
	"strconv"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtverdict"
)

// dialect is a platform's dialect with names of the tests' own.
type dialect struct{}

// Head reads the headers of a caller's request.
func (dialect) Head(r *http.Request) (bluebelltray.Head, error) {
	ms, err := strconv.Atoi(r.Header.Get("Left-Ms"))
	if err != nil && r.Header.Get("Left-Ms") != "" {
		return bluebelltray.Head{}, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest)
	}
	return bluebelltray.Head{
		ID: r.Header.Get("Call-Id"), Key: r.Header.Get("Account-Key"),
		Left: time.Duration(ms) * time.Millisecond, LastEvent: r.Header.Get("Last-Event"),
	}, nil
}

// Forward turns the headers of a caller's request into those for an endpoint.
func (dialect) Forward(h http.Header, d bluebelltray.Delivery) {
	h.Del("Account-Key")
	h.Del("Reserved")
	h.Set("Wanted-Endpoint", d.Endpoint.ID)
	h.Set("Account-Name", d.Account)
	if d.LastEvent != "" {
		h.Set("Last-Event", d.LastEvent)
	}
}

// Reply reads the headers of an endpoint's answer.
func (dialect) Reply(resp *http.Response) bluebelltray.Reply {
	return bluebelltray.Reply{
		ID: resp.Header.Get("Call-Id"), NotRun: resp.Header.Get("Not-Run") != "", Sealed: resp.Header.Get("Answer-Seal") != "",
	}
}

// Refuse writes the headers of a refusal.
func (dialect) Refuse(h http.Header, e *bbtverdict.Error) {
	if after := e.RetryAfter(); after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}
