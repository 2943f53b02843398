package bbtgateway

import "net/http"

// maxStatus is the highest status of the protocol.
const maxStatus = 599

// isMismatched reports whether the response cannot be the endpoint's response
// to this request: it has the ID of another request (or none, on a reused
// connection), has a status that is not final or beyond the protocol's, a content encoding, which callers and
// endpoints never use, or is a success without the header that endpoints set on every
// success.
func (a *attempt) isMismatched(resp *http.Response) bool {
	if a.isForeign() || resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return true
	}
	if resp.Header.Get("Content-Encoding") != "" {
		return true
	}
	return resp.StatusCode < http.StatusMultipleChoices && !a.responseHead.HasEndpointHeader
}

// isForeign reports whether the response belongs to another request, by its ID. A
// reused connection may carry a late response to an earlier one.
func (a *attempt) isForeign() bool {
	checkID := a.responseHead.ID != "" || a.connTrace.reused.Load()
	id := a.exchange.head.ID
	return id != "" && checkID && a.responseHead.ID != id
}
