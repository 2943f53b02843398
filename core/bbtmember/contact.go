package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Contact records a host's direct message exchange with another host.
type Contact struct {
	lastHeard        time.Time
	lastAckedPing    time.Time
	answeringSince   time.Time
	hostListRevision bbtfleet.Revision
}

// LastHeard returns when the last message arrived from the newest known
// incarnation of the other host, zero if none has.
func (c Contact) LastHeard() time.Time { return c.lastHeard }

// LastAckedPing returns when the last Ping that the other host has answered was
// sent, zero if it has answered none.
func (c Contact) LastAckedPing() time.Time { return c.lastAckedPing }

// AnsweringSince returns the time since which the other host has answered
// without a gap: each answer arrived within MaxAnswerGap after the previously
// answered Ping was sent.
func (c Contact) AnsweringSince() time.Time { return c.answeringSince }

// HostListRevision returns the host list revision that the other host used when
// it answered the last answered Ping.
func (c Contact) HostListRevision() bbtfleet.Revision { return c.hostListRevision }
