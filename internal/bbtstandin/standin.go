// Package bbtstandin provides small stand-ins for the platform, model engines and
// plain services, for use in tests and the demo.
package bbtstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Header names of the stand-ins' protocols.
const (
	HeaderRevision    = "Revision"
	HeaderIncarnation = "Endpoint-Incarnation"
	HeaderResumeFrom  = "Resume-From" // index of the token from which a stream resumes
)

// writeJSON sends v as the response's JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}

// formUint returns the form value as a number, or zero if it is missing or invalid.
func formUint(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.FormValue(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// formDuration returns the form value as a duration, or fallback if it is missing or invalid.
func formDuration(r *http.Request, key string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(r.FormValue(key))
	if err != nil {
		return fallback
	}
	return d
}

// readJSON decodes the request's JSON body into v. On failure it responds with
// an error and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
