// Package bbtcaller is a caller of the scheduler: it asks which addresses to
// use, keeps the answer for its lifetime, and sends requests.
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

// addressTimeout bounds the question for addresses.
const addressTimeout = 2 * time.Second

// maxRefusalBytes bounds the body of a refusal.
const maxRefusalBytes = 64 << 10

// Client sends the requests of one client account.
type Client struct {
	account bbtfleet.AccountID
	seeds   []string
	http    *http.Client

	mu        sync.Mutex
	addresses []string
	expiry    time.Time
	next      int
}

// New returns a client of an account that asks the hosts at seeds, IP:port
// each, for addresses.
func New(account bbtfleet.AccountID, seeds ...string) *Client {
	return &Client{account: account, seeds: seeds, http: &http.Client{}}
}

// Call is one request to send.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Ticket      string
	Key         string
	Attempt     int // counted from one; zero if the caller does not count
}

// Send sends the call to one of the account's addresses and returns its
// answer. The error is a *bbtverdict.Error; it may enclose a ticket.
func (c *Client) Send(ctx context.Context, call Call) (*http.Response, error) {
	addr, err := c.address(ctx)
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonHostUnreachable, bbtverdict.WithCause(err))
	}
	return c.SendTo(ctx, addr, call)
}

// SendTo sends the call to the host at addr.
func (c *Client) SendTo(ctx context.Context, addr string, call Call) (*http.Response, error) {
	req, err := c.request(ctx, addr, call)
	if err != nil {
		return nil, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest, bbtverdict.WithCause(err))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.forget()
		return nil, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonHostUnreachable, bbtverdict.WithCause(err))
	}
	if resp.Header.Get(bbthttp.HeaderReason) == "" {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, refusal(resp)
}

// request returns the HTTP request of a call.
func (c *Client) request(ctx context.Context, addr string, call Call) (*http.Request, error) {
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
	req.GetBody = nil // the library must not repeat the request by itself
	return req, nil
}

// refusal returns the verdict of a refused request.
func refusal(resp *http.Response) *bbtverdict.Error {
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

// address returns the next of the account's addresses, asking for them when
// the last answer has expired.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiry) {
		if err := c.ask(ctx); err != nil {
			return "", err
		}
	}
	addr := c.addresses[c.next%len(c.addresses)]
	c.next++
	return addr, nil
}

// forget makes the next call ask for addresses again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = time.Time{}
}

// answer is what a host answers to the question for addresses.
type answer struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime-seconds"`
}

// ask asks one known host after the other for addresses. The caller holds mu.
func (c *Client) ask(ctx context.Context) error {
	var last error
	for _, host := range append(c.addresses, c.seeds...) {
		a, err := c.askHost(ctx, host)
		if err != nil {
			last = err
			continue
		}
		c.addresses = a.Addresses
		c.expiry = time.Now().Add(time.Duration(a.LifetimeSeconds * float64(time.Second)))
		return nil
	}
	return errors.Wrap(last, "ask for addresses")
}

// askHost asks one host for addresses.
func (c *Client) askHost(ctx context.Context, host string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/v1/addresses", nil)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(bbthttp.HeaderAccount, string(c.account))
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer{}, refusal(resp)
	}
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return answer{}, errors.Wrapf(err, "decode answer of %s", host)
	}
	if len(a.Addresses) == 0 {
		return answer{}, errors.Newf("%s knows no address", host)
	}
	return a, nil
}
