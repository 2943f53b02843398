// Package bbtstandin holds small stand-ins for the platform, model engines and
// plain services, which tests and the demo put in the real ones' place.
package bbtstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The header names of the stand-ins' protocols.
const (
	HeaderRevision    = "Revision"
	HeaderIncarnation = "Endpoint-Incarnation"
	HeaderResumeFrom  = "Resume-From" // token from which a stream goes on
)

// writeJSON sends v as the response's JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone needs no answer
}

// formUint returns the form value as a number, or zero.
func formUint(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.FormValue(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// formDuration returns the form value as a duration, or fallback.
func formDuration(r *http.Request, key string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(r.FormValue(key))
	if err != nil {
		return fallback
	}
	return d
}

// readJSON decodes the request's JSON body into v and answers the request
// when that fails.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
