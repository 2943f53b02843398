package bbthttp

import "net/http"

// unknownPath refuses requests to paths that nothing is served at, with a
// verdict, so that no caller takes the refusal for an endpoint's answer.
type unknownPath struct{ recorder Recorder }

// ServeHTTP refuses the request with 404.
func (u unknownPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := badRequest("nothing is served at %q", r.URL.Path)
	u.recorder.Refused(err)
	refuseAs(w, http.StatusNotFound, err)
}
