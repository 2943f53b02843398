package bbthttp

import (
	"net"
	"os"
	"time"

	"bluebelltray/core/bbtverdict"
	"github.com/cockroachdb/errors"
)

// progressConn is a connection that must make progress. Its first write fails
// after notAfter, and it remembers whether any write was tried.
type progressConn struct {
	net.Conn
	silence  time.Duration
	notAfter time.Time
	wrote    bool
}

// Write checks the permit's expiry immediately before the first byte.
func (c *progressConn) Write(p []byte) (int, error) {
	now := time.Now()
	if !c.wrote && !c.notAfter.IsZero() && now.After(c.notAfter) {
		return 0, errPermitExpired
	}
	c.wrote = true
	if err := c.SetWriteDeadline(now.Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read fails when the peer sends nothing for the silence.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// verdict returns err with what is known of the call's execution.
func (c *progressConn) verdict(err error) *bbtverdict.Error {
	if !c.wrote {
		return bbtverdict.New(bbtverdict.NotRun, reasonUnsent(err), bbtverdict.WithCause(err))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointTimeout, bbtverdict.WithCause(err))
	}
	return bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost, bbtverdict.WithCause(err))
}

// reasonUnsent names why no byte of a call was written.
func reasonUnsent(err error) bbtverdict.Reason {
	if errors.Is(err, errPermitExpired) {
		return bbtverdict.ReasonPermitExpired
	}
	return bbtverdict.ReasonEndpointLost
}
