package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client sends. Each attempt has an id of its own, which begins with
// the name of the machine that the client has connected to.
type request struct {
	method, target string
	body           string
	headers        map[string]string
	deadline       time.Duration
	key            string // empty for that of the tenant without a cap
	machine        string // connect to this machine; empty for one that the directory names
}

// sent is an attempt of a client.
type sent struct {
	at     time.Time
	id     string
	status int // 0 if no complete answer came
	sealed bool
	body   string
}

// clients sends requests as the pages say: it asks the directory for addresses, and
// opens a channel for each attempt.
type clients struct {
	f    *fleet
	http *http.Client
	next atomic.Int64
	wg   sync.WaitGroup

	mu        sync.Mutex
	addresses []string
	until     time.Time
	sent      []*sent
}

func newClients(f *fleet) *clients {
	return &clients{f: f, http: &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// machineOf returns the machine that the client of a request had connected to.
func machineOf(id string) string {
	name, _, _ := strings.Cut(id, "-")
	return name
}

// address returns the address and the name of a machine to connect to.
func (c *clients) address(machine string) (string, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine != "" {
		for _, e := range c.f.edges {
			if e.name == machine {
				return e.front, e.name
			}
		}
	}
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return "", ""
	}
	addr := c.addresses[rand.IntN(len(c.addresses))]
	for _, e := range c.f.edges {
		if e.front == addr {
			return addr, e.name
		}
	}
	return addr, "unknown"
}

// resolve asks the directory. The caller holds mu.
func (c *clients) resolve() {
	for _, i := range rand.Perm(len(c.f.edges)) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		u := "http://" + c.f.edges[i].directory + "/-/resolve?name=" + hostName + "&region=" + region + "&zone=" + zones[0]
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		resp, err := c.http.Do(req)
		if err != nil {
			cancel()
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.until = time.Now().Add(time.Duration(min(answer.TTL, 5) * float64(time.Second)))
			return
		}
	}
}

// attempt sends a request once.
func (c *clients) attempt(rq request, deadline time.Time) (*sent, time.Duration) {
	addr, machine := c.address(rq.machine)
	s := &sent{at: time.Now(), id: fmt.Sprintf("%s-%06d", machine, c.next.Add(1))}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if rq.body != "" {
		body = strings.NewReader(rq.body)
	}
	req, err := http.NewRequestWithContext(ctx, rq.method, "http://"+addr+rq.target, body)
	if err != nil {
		return s, 0
	}
	req.Host = hostName
	req.Header.Set("User-Agent", "client")
	for k, v := range rq.headers {
		req.Header.Set(k, v)
	}
	req.Header.Set("X-Request-Id", s.id)
	req.Header.Set("Api-Key", cmp.Or(rq.key, apiKey))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	c.f.rec.printf("client sends %s: %s %s", s.id, rq.method, rq.target)
	resp, err := c.http.Do(req)
	if err != nil {
		c.f.rec.printf("client gets no answer to %s: %v", s.id, err)
		return s, 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	s.sealed = resp.Header.Get("X-Response-Seal") != ""
	s.body = string(data)
	if err != nil {
		c.f.rec.printf("client gets a broken answer to %s: %d, %d bytes, %v", s.id, resp.StatusCode, len(data), err)
		return s, 0
	}
	s.status = resp.StatusCode
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	c.f.rec.printf("client gets the answer to %s: %d, %d bytes", s.id, s.status, len(data))
	return s, time.Duration(after * float64(time.Second))
}

// do sends a request, and once more if it was refused and there is time.
func (c *clients) do(rq request) *sent {
	deadline := time.Now().Add(rq.deadline)
	s, after := c.attempt(rq, deadline)
	if (s.status == 503 || s.status == 429) && after > 0 {
		time.Sleep(min(after, time.Until(deadline)/3))
		if time.Until(deadline) > 100*time.Millisecond {
			s, _ = c.attempt(rq, deadline)
		}
	}
	return s
}

// load sends requests at a rate until stop, each in a goroutine of its own.
func (c *clients) load(perSecond float64, stop <-chan struct{}, next func(n int) request) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.do(next(n))
			}()
		}
	}()
}

// all returns the attempts.
func (c *clients) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.sent...)
}
