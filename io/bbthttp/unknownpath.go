package bbthttp

import "net/http"

// unknownPath handles requests to paths or methods without a handler. It responds
// with a verdict, so that a caller cannot mistake the refusal for an endpoint's
// response.
type unknownPath struct{ recorder Recorder }

// ServeHTTP refuses the request with status 404.
func (u unknownPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := badRequest("no handler for path %q", r.URL.Path)
	u.recorder.Refused(err)
	refuseWithStatus(w, http.StatusNotFound, err)
}
