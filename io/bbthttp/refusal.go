package bbthttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bluebelltray/core/bbtverdict"
)

// refusalBody is the JSON response body of a refused request.
type refusalBody struct {
	Verdict    string `json:"verdict"`
	Reason     string `json:"reason"`
	Message    string `json:"message"`
	RetryAfter string `json:"retry-after,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

// refuse writes a refusal to the headers and the body of the response, with the
// status code from statusCode.
func refuse(w http.ResponseWriter, err *bbtverdict.Error) { refuseWithStatus(w, statusCode(err), err) }

// refuseWithStatus writes a refusal with the given HTTP status code.
func refuseWithStatus(w http.ResponseWriter, code int, err *bbtverdict.Error) {
	h := w.Header()
	h.Set(headerContentType, typeJSON)
	h.Set(HeaderVerdict, err.Verdict().String())
	h.Set(HeaderReason, string(err.Reason()))
	body := refusalBody{
		Verdict: err.Verdict().String(),
		Reason:  string(err.Reason()),
		Message: err.Error(),
		Ticket:  err.Ticket(),
	}
	if err.Ticket() != "" {
		h.Set(HeaderTicket, err.Ticket())
	}
	if d := err.RetryAfter(); d > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int((d+time.Second-1)/time.Second)))
		body.RetryAfter = d.String()
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// statusCode returns the HTTP status code for the reason of a refusal or, if the
// reason has none of its own, for the verdict.
func statusCode(err *bbtverdict.Error) int {
	switch err.Reason() {
	case bbtverdict.ReasonBadRequest, bbtverdict.ReasonTicketInvalid:
		return http.StatusBadRequest
	case bbtverdict.ReasonUnknownAccount:
		return http.StatusForbidden
	case bbtverdict.ReasonUnknownPool:
		return http.StatusNotFound
	case bbtverdict.ReasonTicketRequired:
		return http.StatusPreconditionRequired
	case bbtverdict.ReasonTicketExpired:
		return http.StatusGone
	case bbtverdict.ReasonRequestRate, bbtverdict.ReasonTokenRate:
		return http.StatusTooManyRequests
	case bbtverdict.ReasonCrashesEndpoints:
		return http.StatusUnprocessableEntity
	}
	if err.Verdict() == bbtverdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
