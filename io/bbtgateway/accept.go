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

// accept parses the headers, finds the route and the client account, checks the
// limits, and reads the body.
func (x *exchange) accept() error {
	x.index = x.gateway.edge.Index()
	cfg := x.index.Config()
	if cfg == nil { // no configuration yet; refused with the same reason as an outdated view
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonStaleView, bbtverdict.WithRetryAfter(noConfigRetryAfter))
	}
	var err error
	if x.head, err = x.gateway.dialect.ParseRequest(x.r); err != nil {
		return err
	}
	if cfg.Limits.MaxHeaderBytes > 0 && headerBytes(x.r) > cfg.Limits.MaxHeaderBytes {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonHeaderTooLarge)
	}
	x.route = x.index.Route(hostName(x.r.Host), requestPath(x.r.RequestURI))
	if x.route == nil {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownRoute)
	}
	if err := x.authenticate(cfg); err != nil {
		return err
	}
	if endpointURL("", x.r.RequestURI) == nil {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest)
	}
	return x.readBody(cfg.Limits.MaxBodyBytes)
}

// authenticate finds the client account by the API key, if the route requires
// one.
func (x *exchange) authenticate(cfg *bbtcatalog.Config) error {
	if !cfg.RequireKey || x.route.Public {
		return nil
	}
	if x.account = x.index.AccountByKey(x.head.APIKey); x.account == nil {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonUnknownKey)
	}
	return nil
}

// readBody reads the body of at most limit bytes; 0 means no limit.
func (x *exchange) readBody(limit int64) error {
	if limit > 0 && x.r.ContentLength > limit {
		return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBodyTooLarge)
	}
	body := x.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(x.w, body, limit)
	}
	for {
		if len(x.body) == cap(x.body) && !x.growBody() {
			x.w.Header().Set("Connection", "close")
			return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonOverloaded, bbtverdict.WithRetryAfter(noMemoryRetryAfter))
		}
		n, err := body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			x.bodyArrived()
			return nil
		case errors.As(err, &tooLarge):
			return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBodyTooLarge)
		default:
			return bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonBadRequest, bbtverdict.WithCause(err))
		}
	}
}

// growBody makes room for more of the body, up to its length and one byte, by which its
// end is noticed. It reports whether there is memory.
func (x *exchange) growBody() bool {
	n := max(initialBodyBytes, 2*cap(x.body))
	if length := x.r.ContentLength; length >= 0 && int64(n) > length {
		n = int(max(length, int64(len(x.body)))) + 1
	}
	if !x.takeMemory(n - cap(x.body)) {
		return false
	}
	body := make([]byte, len(x.body), n)
	copy(body, x.body)
	x.body = body
	return true
}

// submission sets the deadline and the service, and returns what the scheduler
// needs to know of the request.
func (x *exchange) submission() bbtentry.Submission {
	timeout := defaultTimeout
	if x.head.RemainingTime > 0 {
		timeout = x.head.RemainingTime
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.receivedAt.Add(timeout)
	x.service = x.route.PickService(rand.Float64())
	objective := x.route.LatencyObjective
	if objective <= 0 {
		objective = timeout
	}
	r := bbtschedule.Registration{
		Service:              x.service,
		Tier:                 x.route.Tier,
		RouteTier:            x.route.Tier,
		PromptTokens:         x.head.PromptTokens,
		MaxOutputTokens:      x.head.MaxOutputTokens,
		ExpectedOutputTokens: x.head.ExpectedOutputTokens,
		PromptBlocks:         x.head.PromptBlocks,
		MaxEventGap:          x.route.MaxEventGap,
		EffectiveObjective:   objective,
		Fingerprint:          x.fingerprint(),
		Zone:                 string(x.gateway.edge.Zone()),
	}
	if a := x.account; a != nil {
		tokens := -1
		if x.head.Tokens {
			tokens = x.head.PromptTokens + x.head.MaxOutputTokens
		}
		r.Account, r.Cost = a.Name, a.Cost(tokens)
		if a.HasTier {
			r.Tier = a.Tier
		}
	}
	attempts := x.route.MaxAttempts
	return bbtentry.Submission{Registration: r, MaxAttempts: attempts, Deadline: x.deadline, ObjectiveDeadline: x.receivedAt.Add(objective)}
}

// fingerprint returns a hash that is the same for each repetition of a request
// by its caller.
func (x *exchange) fingerprint() uint64 {
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

// headerBytes returns the size of the request line and header fields.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// hostName returns a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestPath returns the path of a request target in origin or absolute form.
// It is neither decoded nor cleaned.
func requestPath(target string) string {
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
