package bbtgateway_test

import (
	"net/http"
	"strconv"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtverdict"
)

// testDialect is a dialect with header names of its own.
type testDialect struct{}

// ParseRequest parses the headers of a caller's request.
func (testDialect) ParseRequest(r *http.Request) (bluebelltray.RequestHead, error) {
	ms, err := strconv.Atoi(r.Header.Get("Left-Ms"))
	if err != nil && r.Header.Get("Left-Ms") != "" {
		return bluebelltray.RequestHead{}, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest)
	}
	return bluebelltray.RequestHead{
		ID: r.Header.Get("Call-Id"), APIKey: r.Header.Get("Account-Key"),
		RemainingTime: time.Duration(ms) * time.Millisecond, LastEventID: r.Header.Get("Last-Event"),
	}, nil
}

// Forward rewrites the headers of a caller's request for an endpoint.
func (testDialect) Forward(h http.Header, info bluebelltray.ForwardInfo) {
	h.Del("Account-Key")
	h.Del("Reserved")
	h.Set("Wanted-Endpoint", info.Endpoint.ID)
	h.Set("Account-Name", info.Account)
	if info.LastEventID != "" {
		h.Set("Last-Event", info.LastEventID)
	}
}

// ParseResponse parses the headers of an endpoint's response.
func (testDialect) ParseResponse(resp *http.Response) bluebelltray.ResponseHead {
	limit, err := strconv.ParseFloat(resp.Header.Get("Limit"), 64)
	var ignored []string
	if resp.Header.Get("Draining") == "maybe" {
		ignored = []string{"Draining"}
	}
	pause, _ := time.ParseDuration(resp.Header.Get("Pause"))
	return bluebelltray.ResponseHead{
		Pause: pause, Draining: resp.Header.Get("Draining") == "yes", Ignored: ignored,
		Limited: err == nil, PerSecond: limit,
		ID: resp.Header.Get("Call-Id"), NotRun: resp.Header.Get("Not-Run") != "", HasEndpointHeader: resp.Header.Get("Answer-Seal") != "",
	}
}

// WriteRefusal sets the headers of an error response.
func (testDialect) WriteRefusal(h http.Header, e *bbtverdict.Error) {
	if after := e.RetryAfter(); after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}
