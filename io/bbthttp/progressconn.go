package bbthttp

import (
	"net"
	"os"
	"time"

	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// endpointConn is a connection to an endpoint that fails if a call makes no progress:
// each read and write times out after idleTimeout. The first write fails after
// notAfter, the expiry of the permit; a zero notAfter means no expiry. wrote records
// whether a write was attempted.
type endpointConn struct {
	net.Conn
	idleTimeout time.Duration
	notAfter    time.Time
	wrote       bool
}

// Write writes p. Immediately before the first write, it checks that the permit has
// not expired.
func (c *endpointConn) Write(p []byte) (int, error) {
	now := time.Now()
	if !c.wrote && !c.notAfter.IsZero() && now.After(c.notAfter) {
		return 0, errPermitExpired
	}
	c.wrote = true
	if err := c.SetWriteDeadline(now.Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read fails if the endpoint sends nothing for idleTimeout.
func (c *endpointConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// withVerdict wraps err with a verdict on whether the call was executed.
func (c *endpointConn) withVerdict(err error) *bbtverdict.Error {
	if !c.wrote {
		return bbtverdict.New(bbtverdict.NotRun, unsentReason(err), bbtverdict.WithCause(err))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointTimeout, bbtverdict.WithCause(err))
	}
	return bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost, bbtverdict.WithCause(err))
}

// unsentReason returns the refusal reason for an error that occurred before any byte
// of the call was written.
func unsentReason(err error) bbtverdict.Reason {
	if errors.Is(err, errPermitExpired) {
		return bbtverdict.ReasonPermitExpired
	}
	return bbtverdict.ReasonEndpointLost
}
