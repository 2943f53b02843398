package bbtgateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bluebelltray/io/bbtmetric"
)

// Defaults of an Intake.
const (
	defaultMaxConns = 4096
	defaultMaxBytes = 64 << 20
)

const (
	// fieldBytes is about the memory that a header field takes besides its text.
	fieldBytes = 256
	// stallTime is the time for which a write waits before its caller counts as not
	// reading.
	stallTime = time.Second
	// bodyTimeout is the longest time to receive a body.
	bodyTimeout = 30 * time.Second
	// unreadTimeout is for how long the rest of a body is awaited that nobody reads.
	unreadTimeout = time.Second
)

// Intake bounds what all callers of a process hold: their connections, and the memory of
// their requests. Beyond a bound it closes the connections of those that hold up their
// requests: among connections the one that has done so for longest, among requests the
// largest. It is safe for concurrent use.
type Intake struct {
	maxConns int
	maxBytes int64
	counters *bbtmetric.Counters

	mu    sync.Mutex
	bytes int64 // held by all connections
	conns map[*callerConn]struct{}
}

// IntakeOption configures an Intake.
type IntakeOption func(*Intake)

// WithMaxConns sets how many connections callers may have; by default 4096.
func WithMaxConns(n int) IntakeOption { return func(in *Intake) { in.maxConns = n } }

// WithMaxBytes sets how much memory the requests of all callers may take, in bytes; by
// default 64 MiB.
func WithMaxBytes(n int64) IntakeOption { return func(in *Intake) { in.maxBytes = n } }

// WithIntakeCounters sets the counters that the intake updates.
func WithIntakeCounters(c *bbtmetric.Counters) IntakeOption {
	return func(in *Intake) { in.counters = c }
}

// NewIntake returns an intake without connections.
func NewIntake(opts ...IntakeOption) *Intake {
	in := &Intake{maxConns: defaultMaxConns, maxBytes: defaultMaxBytes, counters: bbtmetric.New(), conns: make(map[*callerConn]struct{})}
	for _, opt := range opts {
		opt(in)
	}
	return in
}

// phase is what a connection is used for.
type phase int

const (
	idle      phase = iota // between requests
	receiving              // a request arrives
	answering              // it has arrived
	lingering              // the server has closed it
)

// hold is what a connection takes of an intake. The intake's mu guards it.
type hold struct {
	phase     phase
	since     time.Time // start of the phase
	headDone  bool      // the head of the request has arrived
	served    bool      // a request has arrived before
	bytes     int64
	writing   time.Time // start of the write in progress; zero if there is none
	isEvicted bool
}

// add adds a new connection. It reports whether there is room.
func (in *Intake) add(c *callerConn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.conns) >= in.maxConns {
		v := in.pick(c, stalest)
		if v == nil {
			in.counters.Add("caller-connections-refused", 1)
			return false
		}
		in.evict(v, "caller-connections-evicted")
	}
	c.hold.since = time.Now()
	in.conns[c] = struct{}{}
	return true
}

// remove removes a connection that is closed.
func (in *Intake) remove(c *callerConn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.bytes -= c.hold.bytes
	c.hold.bytes = 0
	delete(in.conns, c)
}

// enter starts a phase of a connection. What it holds is given back between requests.
func (in *Intake) enter(c *callerConn, p phase) {
	in.mu.Lock()
	defer in.mu.Unlock()
	h := &c.hold
	h.served = h.served || p == answering
	h.phase, h.since = p, time.Now()
	if p == idle {
		in.bytes -= h.bytes
		h.bytes, h.headDone = 0, false
	}
}

// received adds bytes of a head that have arrived, and of the fields that they may be.
// It reports whether there is room.
func (in *Intake) received(c *callerConn, n, fields int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch c.hold.phase {
	case idle:
		c.hold.phase, c.hold.since = receiving, time.Now()
	case receiving:
	default:
		return !c.hold.isEvicted
	}
	if c.hold.headDone {
		return !c.hold.isEvicted
	}
	return in.reserve(c, int64(n)+fieldBytes*int64(fields))
}

// take adds memory that a connection's request takes, and reports whether there is room.
func (in *Intake) take(c *callerConn, n int64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.reserve(c, n)
}

// reserve adds memory that a connection takes. Where there is no room, requests that
// have not arrived and take more give way. The caller holds mu.
func (in *Intake) reserve(c *callerConn, n int64) bool {
	if c.hold.isEvicted {
		return false
	}
	for in.bytes+n > in.maxBytes {
		v := in.pick(c, largest)
		if v == nil || v.hold.bytes <= c.hold.bytes+n {
			in.counters.Add("caller-requests-without-memory", 1)
			return false
		}
		in.evict(v, "caller-requests-evicted")
	}
	in.bytes += n
	c.hold.bytes += n
	return true
}

// stalest orders connections by who gives way first for want of connections: those that
// no request has arrived on, then those that are in their phase for longest.
func stalest(a, b *hold) bool {
	if a.served != b.served {
		return b.served
	}
	return a.since.Before(b.since)
}

// largest orders connections by who gives way first for want of memory.
func largest(a, b *hold) bool { return a.bytes > b.bytes }

// pick returns the first connection in an order among those that may give way, other than
// c: their callers have not sent a whole request, or do not read. The caller holds mu.
func (in *Intake) pick(c *callerConn, before func(a, b *hold) bool) *callerConn {
	var first *callerConn
	now := time.Now()
	for o := range in.conns {
		h := &o.hold
		if o == c || h.isEvicted || h.phase == answering && (h.writing.IsZero() || now.Sub(h.writing) < stallTime) {
			continue
		}
		if first == nil || before(h, &first.hold) {
			first = o
		}
	}
	return first
}

// setWriting records when the write in progress began; zero for none.
func (in *Intake) setWriting(c *callerConn, began time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.hold.writing = began
}

// evict closes a connection without an answer. The caller holds mu.
func (in *Intake) evict(c *callerConn, counter string) {
	in.counters.Add(counter, 1)
	in.bytes -= c.hold.bytes
	c.hold.bytes, c.hold.isEvicted = 0, true
	delete(in.conns, c)
	_ = c.tcp.SetLinger(0) // fails if it is closed
	_ = c.tcp.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext returns a context that holds the connection of its requests; for
// http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok && c.intake != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a request; nil if no intake bounds it.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// Handler returns a handler that bounds the requests which h handles. A body has to arrive
// within bodyTimeout, and one that h does not read is not awaited.
func (in *Intake) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		in.headArrived(c)
		defer in.enter(c, idle)
		if r.ContentLength == 0 {
			in.enter(c, answering)
			h.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails if the connection is closed
		defer func() { _ = rc.SetReadDeadline(time.Now().Add(unreadTimeout)) }()
		h.ServeHTTP(w, r)
	})
}

// headArrived records that the head of a request has arrived.
func (in *Intake) headArrived(c *callerConn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.hold.phase == idle { // the head came with an earlier request
		c.hold.phase, c.hold.since = receiving, time.Now()
	}
	c.hold.headDone = true
}

// bodyArrived records that the whole request has arrived, whose caller is then answered.
func (x *exchange) bodyArrived() {
	if x.conn == nil || x.r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{}) // fails if the connection is closed
	x.conn.intake.enter(x.conn, answering)
}

// takeMemory adds memory that the request takes, and reports whether there is room.
func (x *exchange) takeMemory(n int) bool {
	return x.conn == nil || x.conn.intake.take(x.conn, int64(n))
}
