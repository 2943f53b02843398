package bbtplatform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Fetcher reads resources of a platform over HTTP. net/http closes the connection
// of a read that timed out or whose body was not read to the end, so an
// unresponsive connection is not reused.
type Fetcher struct {
	base         string
	http         *http.Client
	maxBodyBytes int64
}

// NewFetcher returns a fetcher for the platform at addr, which has the form
// IP:port. Response bodies of more than maxBodyBytes are an error.
func NewFetcher(addr string, maxBodyBytes int64) *Fetcher {
	return &Fetcher{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}, maxBodyBytes: maxBodyBytes}
}

// Get reads one resource within timeout and returns its header, status and body.
// The error is nil only if the whole body was read, regardless of the status.
func (f *Fetcher) Get(ctx context.Context, timeout time.Duration, path string) (http.Header, int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.base+path, nil)
	if err != nil {
		return nil, 0, nil, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, f.maxBodyBytes+1))
	if err != nil {
		return nil, 0, nil, err
	}
	if int64(len(data)) > f.maxBodyBytes {
		return nil, 0, nil, errors.Newf("response body exceeds %d bytes", f.maxBodyBytes)
	}
	return resp.Header, resp.StatusCode, data, nil
}
