package bbtgateway

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/core/bbtverdict"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// accept checks the request against the configuration and reads it.
func (x *exchange) accept() error {
	x.index = x.gateway.edge.Index()
	cfg := x.index.Config()
	if cfg == nil {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonStaleView, bbtverdict.WithRetryAfter(noConfigReturn))
	}
	var err error
	if x.head, err = x.gateway.dialect.ParseRequest(x.r); err != nil {
		return err
	}
	if cfg.Limits.MaxHeaderBytes > 0 && headerBytes(x.r) > cfg.Limits.MaxHeaderBytes {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonHeaderTooLarge)
	}
	x.route = x.index.Route(domain(x.r.Host), path(x.r.RequestURI))
	if x.route == nil {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownRoute)
	}
	if err := x.identify(cfg); err != nil {
		return err
	}
	return x.read(cfg.Limits.MaxBodyBytes)
}

// identify finds the client account of the request.
func (x *exchange) identify(cfg *bbtcatalog.Config) error {
	if !cfg.RequireKey || x.route.Public {
		return nil
	}
	if x.account = x.index.AccountByKey(x.head.APIKey); x.account == nil {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownKey)
	}
	return nil
}

// read reads the body.
func (x *exchange) read(most int64) error {
	if most > 0 && x.r.ContentLength > most {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBodyTooLarge)
	}
	body := x.r.Body
	if most > 0 {
		body = http.MaxBytesReader(x.w, body, most)
	}
	x.body = make([]byte, 0, max(x.r.ContentLength, 0)+1)
	if x.r.ContentLength < 0 {
		x.body = make([]byte, 0, bodyReserve)
	}
	for {
		if len(x.body) == cap(x.body) {
			x.body = append(x.body, 0)[:len(x.body)]
		}
		n, err := body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &tooLarge):
			return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBodyTooLarge)
		default:
			return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest, bbtverdict.WithCause(err))
		}
	}
}

// submission returns what the scheduler has to know.
func (x *exchange) submission() bbtentry.Submission {
	left := defaultLeft
	if x.head.RemainingTime > 0 {
		left = x.head.RemainingTime
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(left)
	x.service = x.route.PickService(rand.Float64())
	objective := x.route.LatencyObjective
	if objective <= 0 {
		objective = left
	}
	r := bbtschedule.Registration{
		Service: x.service,
		Tier:    x.route.Tier,
		Prompt:  x.head.PromptTokens,
		Output:  x.head.MaxOutputTokens,
		Hint:    x.head.ExpectedOutputTokens,
		Parts:   x.head.PromptBlocks,
		Pause:   x.route.MaxEventGap,
		Aim:     objective,
		Print:   x.print(),
		Zone:    string(x.gateway.edge.Zone()),
	}
	if a := x.account; a != nil {
		tokens := -1
		if x.head.HasTokenCounts {
			tokens = x.head.PromptTokens + x.head.MaxOutputTokens
		}
		r.Account, r.Cost = a.Name, a.Cost(tokens)
		if a.HasTier {
			r.Tier = a.Tier
		}
	}
	attempts := x.route.MaxAttempts
	return bbtentry.Submission{Registration: r, MaxAttempts: attempts, Deadline: x.deadline, ObjectiveDeadline: x.arrived.Add(objective)}
}

// print returns the fingerprint of the request, which is equal when its caller
// sends it again.
func (x *exchange) print() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{x.head.APIKey, x.r.Method, x.r.RequestURI, x.r.Host} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	for _, p := range x.head.PromptBlocks {
		_, _ = d.Write([]byte{byte(p.ID), byte(p.ID >> 8), byte(p.ID >> 16), byte(p.ID >> 24), byte(p.ID >> 32), byte(p.ID >> 40)})
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// headerBytes returns the size of a request's header fields.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// domain returns the host name of a Host header.
func domain(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// path returns the path of a request target, as the caller wrote it.
func path(target string) string {
	if i := strings.Index(target, "://"); i >= 0 && !strings.HasPrefix(target, "/") {
		rest := target[i+len("://"):]
		if j := strings.IndexByte(rest, '/'); j >= 0 {
			target = rest[j:]
		} else {
			target = "/"
		}
	}
	p, _, _ := strings.Cut(target, "?")
	return p
}
