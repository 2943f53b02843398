package bbthttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// maxLoadBytes bounds the size of a report.
const maxLoadBytes = 256 << 10

// Load is what an endpoint reports about itself.
type Load struct {
	incarnation bbtfleet.Incarnation
	running     int
	waiting     int
	served      int
}

// Incarnation returns the endpoint's incarnation.
func (l Load) Incarnation() bbtfleet.Incarnation { return l.incarnation }

// Running returns how many requests the endpoint runs.
func (l Load) Running() int { return l.running }

// Waiting returns how many requests wait in the endpoint's own queue.
func (l Load) Waiting() int { return l.waiting }

// Served returns how many requests this incarnation has finished.
func (l Load) Served() int { return l.served }

// loadRecord is the published form of a load report.
type loadRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Served      int    `json:"served"`
}

// LoadReader reads what endpoints report of their load and caches.
type LoadReader struct {
	http *http.Client
}

// NewLoadReader returns a reader whose reads take at most timeout.
func NewLoadReader(timeout time.Duration) *LoadReader {
	tr := &http.Transport{MaxIdleConnsPerHost: 1}
	return &LoadReader{http: &http.Client{Timeout: timeout, Transport: tr}}
}

// Read returns the endpoint's present report.
func (r *LoadReader) Read(ctx context.Context, ep bbtfleet.Endpoint) (Load, error) {
	var rec loadRecord
	if err := r.get(ctx, ep, "/load", &rec); err != nil {
		return Load{}, err
	}
	return Load{bbtfleet.Incarnation(rec.Incarnation), rec.Running, rec.Waiting, rec.Served}, nil
}

// get decodes one JSON page of an endpoint.
func (r *LoadReader) get(ctx context.Context, ep bbtfleet.Endpoint, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ep.Addr()+path, nil)
	if err != nil {
		return err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s of %s: status %d", path, ep.ID(), resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(v)
	return errors.Wrapf(err, "%s of %s", path, ep.ID())
}

// Close closes idle connections.
func (r *LoadReader) Close() { r.http.CloseIdleConnections() }
