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

// maxReportBytes is the maximum size of an endpoint's load or cache report. The rest
// of a larger report is not read.
const maxReportBytes = 256 << 10

// Load is an endpoint's load report.
type Load struct {
	incarnation bbtfleet.Incarnation
	running     int
	waiting     int
	served      int
}

// Incarnation returns the endpoint's incarnation.
func (l Load) Incarnation() bbtfleet.Incarnation { return l.incarnation }

// Running returns how many requests the endpoint is executing.
func (l Load) Running() int { return l.running }

// Waiting returns how many requests are in the endpoint's own queue.
func (l Load) Waiting() int { return l.waiting }

// Served returns how many requests this incarnation has completed.
func (l Load) Served() int { return l.served }

// loadRecord is the JSON form of a load report.
type loadRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Served      int    `json:"served"`
}

// LoadReader reads the load and cache reports of endpoints.
type LoadReader struct {
	http *http.Client
}

// NewLoadReader returns a LoadReader whose requests time out after timeout.
func NewLoadReader(timeout time.Duration) *LoadReader {
	tr := &http.Transport{MaxIdleConnsPerHost: 1}
	return &LoadReader{http: &http.Client{Timeout: timeout, Transport: tr}}
}

// Read returns the endpoint's current load report.
func (r *LoadReader) Read(ctx context.Context, ep bbtfleet.Endpoint) (Load, error) {
	var rec loadRecord
	if err := r.getJSON(ctx, ep, "/load", &rec); err != nil {
		return Load{}, err
	}
	return Load{bbtfleet.Incarnation(rec.Incarnation), rec.Running, rec.Waiting, rec.Served}, nil
}

// getJSON requests a path of an endpoint and decodes the JSON response into v.
func (r *LoadReader) getJSON(ctx context.Context, ep bbtfleet.Endpoint, path string, v any) error {
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
		return errors.Newf("get %s of endpoint %s: status %d", path, ep.ID(), resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(v)
	return errors.Wrapf(err, "decode %s of endpoint %s", path, ep.ID())
}

// Close closes idle connections.
func (r *LoadReader) Close() { r.http.CloseIdleConnections() }
