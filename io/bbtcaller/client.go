// Package bbtcaller implements a client of the scheduler. It requests the host
// addresses to use, caches them for their lifetime and sends requests to them.
package bbtcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbthttp"
	"github.com/cockroachdb/errors"
)

// addressTimeout is the timeout of a request for host addresses.
const addressTimeout = 2 * time.Second

// maxRefusalBytes is the maximum number of bytes read from the body of a refusal.
const maxRefusalBytes = 64 << 10

// Client sends the requests of one client account to the account's hosts.
type Client struct {
	account bbtfleet.AccountID
	seeds   []string
	http    *http.Client

	mu        sync.Mutex
	addresses []string
	expiry    time.Time
	next      int
}

// New returns a client of an account. It requests host addresses from the hosts at
// seeds, each given as IP:port.
func New(account bbtfleet.AccountID, seeds ...string) *Client {
	return &Client{account: account, seeds: seeds, http: &http.Client{}}
}

// Call is a request to the scheduler.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Ticket      string // from the error of an earlier attempt, or empty
	Key         string // idempotency key, or empty

	// Attempt is 1 if the caller sent no ticket for the call before, or only ones
	// refused as not run, and greater if it may have sent another. It is 0 if the
	// caller does not count its attempts.
	Attempt int
}

// Send sends the call to one of the account's hosts and returns the response. A
// non-nil error is a *bbtverdict.Error, which may contain a ticket.
func (c *Client) Send(ctx context.Context, call Call) (*http.Response, error) {
	addr, err := c.nextAddress(ctx)
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonHostUnreachable, bbtverdict.WithCause(err))
	}
	return c.SendTo(ctx, addr, call)
}

// SendTo sends the call to the host at addr. A non-nil error is a *bbtverdict.Error,
// which may contain a ticket.
func (c *Client) SendTo(ctx context.Context, addr string, call Call) (*http.Response, error) {
	req, err := c.newRequest(ctx, addr, call)
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest, bbtverdict.WithCause(err))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.expireAddresses()
		return nil, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonHostUnreachable, bbtverdict.WithCause(err))
	}
	if resp.Header.Get(bbthttp.HeaderReason) == "" {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, refusalError(resp)
}

// newRequest returns the HTTP request of a call.
func (c *Client) newRequest(ctx context.Context, addr string, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(bbthttp.HeaderAccount, string(c.account))
	if call.Ticket != "" {
		req.Header.Set(bbthttp.HeaderTicket, call.Ticket)
	}
	if call.Key != "" {
		req.Header.Set(bbthttp.HeaderIdempotencyKey, call.Key)
	}
	if call.Attempt > 0 {
		req.Header.Set(bbthttp.HeaderAttempt, strconv.Itoa(call.Attempt))
	}
	req.GetBody = nil // prevents net/http from retrying a request with a body
	return req, nil
}

// refusalError returns the error that the response to a refused request describes.
func refusalError(resp *http.Response) *bbtverdict.Error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		body = nil
	}
	opts := []bbtverdict.Option{
		bbtverdict.WithTicket(resp.Header.Get(bbthttp.HeaderTicket)),
		bbtverdict.WithCause(errors.Newf("%s", bytes.TrimSpace(body))),
	}
	if d, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		opts = append(opts, bbtverdict.WithRetryAfter(d))
	}
	v := bbtverdict.Parse(resp.Header.Get(bbthttp.HeaderVerdict))
	return bbtverdict.New(v, bbtverdict.Reason(resp.Header.Get(bbthttp.HeaderReason)), opts...)
}

// nextAddress returns the account's host addresses in turn. It refreshes them first
// if they have expired.
func (c *Client) nextAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiry) {
		if err := c.refreshAddresses(ctx); err != nil {
			return "", err
		}
	}
	addr := c.addresses[c.next%len(c.addresses)]
	c.next++
	return addr, nil
}

// expireAddresses makes the next call refresh the addresses.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = time.Time{}
}

// addressResponse is a host's JSON response to a request for addresses.
type addressResponse struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime-seconds"`
}

// refreshAddresses requests addresses from the known hosts in order until one of
// them returns addresses. The caller must hold mu.
func (c *Client) refreshAddresses(ctx context.Context) error {
	var lastErr error
	for _, addr := range append(c.addresses, c.seeds...) {
		resp, err := c.requestAddresses(ctx, addr)
		if err != nil {
			lastErr = err
			continue
		}
		c.addresses = resp.Addresses
		c.expiry = time.Now().Add(time.Duration(resp.LifetimeSeconds * float64(time.Second)))
		return nil
	}
	return errors.Wrap(lastErr, "request addresses")
}

// requestAddresses requests addresses from the host at addr.
func (c *Client) requestAddresses(ctx context.Context, addr string) (addressResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/addresses", nil)
	if err != nil {
		return addressResponse{}, err
	}
	req.Header.Set(bbthttp.HeaderAccount, string(c.account))
	resp, err := c.http.Do(req)
	if err != nil {
		return addressResponse{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return addressResponse{}, refusalError(resp)
	}
	var list addressResponse
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return addressResponse{}, errors.Wrapf(err, "decode address response of host %s", addr)
	}
	if len(list.Addresses) == 0 {
		return addressResponse{}, errors.Newf("host %s returned no addresses", addr)
	}
	return list, nil
}
