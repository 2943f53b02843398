// Package bbtplatform reads configuration values and the host list of a platform
// over HTTP.
package bbtplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bluebelltray/core/bbtfleet"
	"github.com/cockroachdb/errors"
)

// Limits and timeouts of reads.
const (
	maxValueBytes      = 1 << 20
	defaultReadTimeout = 2 * time.Second
	defaultWatchWait   = 30 * time.Second
)

// headerRevision is the response header with the revision of a value.
const headerRevision = "Revision"

// ErrUnchanged is returned by Watch if it ends without a newer value.
var ErrUnchanged = errors.New("value unchanged")

// Client is an HTTP client of one platform. It implements bluebelltray.Platform.
type Client struct {
	fetcher     *Fetcher
	readTimeout time.Duration
	watchWait   time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithReadTimeout sets the timeout of a read.
func WithReadTimeout(d time.Duration) Option { return func(c *Client) { c.readTimeout = d } }

// WithWatchWait sets how long the platform may wait for a newer value before it
// responds to a watch.
func WithWatchWait(d time.Duration) Option { return func(c *Client) { c.watchWait = d } }

// New returns a client of the platform at addr, which has the form IP:port.
func New(addr string, opts ...Option) *Client {
	c := &Client{
		fetcher:     NewFetcher(addr, maxValueBytes),
		readTimeout: defaultReadTimeout,
		watchWait:   defaultWatchWait,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Read returns the current value of a key.
func (c *Client) Read(ctx context.Context, key string) (bbtfleet.Value, error) {
	return c.readValue(ctx, c.readTimeout, "/v1/values/"+url.PathEscape(key))
}

// Watch waits until the key's revision exceeds after and returns the new value.
// It returns ErrUnchanged if the platform ends the wait first.
func (c *Client) Watch(ctx context.Context, key string, after bbtfleet.Revision) (bbtfleet.Value, error) {
	path := fmt.Sprintf("/v1/values/%s?after=%d&wait=%s", url.PathEscape(key), after, c.watchWait)
	return c.readValue(ctx, c.watchWait+c.readTimeout, path)
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) (bbtfleet.HostList, error) {
	_, data, err := c.get(ctx, c.readTimeout, "/v1/hosts")
	if err != nil {
		return bbtfleet.HostList{}, errors.Wrap(err, "read host list")
	}
	var list hostList
	if err := json.Unmarshal(data, &list); err != nil {
		return bbtfleet.HostList{}, errors.Wrap(err, "decode host list")
	}
	return list.toFleet(), nil
}

// readValue reads the value and its revision at path.
func (c *Client) readValue(ctx context.Context, timeout time.Duration, path string) (bbtfleet.Value, error) {
	header, data, err := c.get(ctx, timeout, path)
	if err != nil {
		return bbtfleet.Value{}, errors.Wrapf(err, "read %s", path)
	}
	rev, err := strconv.ParseUint(header.Get(headerRevision), 10, 64)
	if err != nil {
		return bbtfleet.Value{}, errors.Wrap(err, "parse revision header")
	}
	return bbtfleet.NewValue(bbtfleet.Revision(rev), data), nil
}

// get reads one resource. It fails unless the status is 200 OK.
func (c *Client) get(ctx context.Context, timeout time.Duration, path string) (http.Header, []byte, error) {
	header, status, data, err := c.fetcher.Get(ctx, timeout, path)
	if err != nil {
		return nil, nil, err
	}
	return header, data, checkStatus(status)
}

// checkStatus returns nil for status 200 OK, ErrUnchanged for 204 No Content and
// another error for any other status.
func checkStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNoContent:
		return ErrUnchanged
	default:
		return errors.Newf("platform responded with status %d %s", status, http.StatusText(status))
	}
}
