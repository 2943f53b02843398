package bbtplatform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Fetcher reads resources of a platform over HTTP. A read that fails takes no
// kept connection along, so that one gone silent is not used again.
type Fetcher struct {
	base string
	http *http.Client
	most int64
}

// NewFetcher returns a fetcher of the platform at addr, an IP:port, that
// accepts bodies up to most bytes.
func NewFetcher(addr string, most int64) *Fetcher {
	return &Fetcher{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}, most: most}
}

// Get reads one resource within timeout. Its error is nil only if the whole
// body was read, whatever the status.
func (f *Fetcher) Get(ctx context.Context, timeout time.Duration, path string) (int, []byte, error) {
	_, status, data, err := f.get(ctx, timeout, path)
	return status, data, err
}

// get reads one resource with its headers.
func (f *Fetcher) get(ctx context.Context, timeout time.Duration, path string) (http.Header, int, []byte, error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, f.most+1))
	if err != nil {
		return nil, 0, nil, err
	}
	if int64(len(data)) > f.most {
		return nil, 0, nil, errors.Newf("answer exceeds %d bytes", f.most)
	}
	return resp.Header, resp.StatusCode, data, nil
}
