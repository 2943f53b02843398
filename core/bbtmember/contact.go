package bbtmember

import (
	"time"

	"bluebelltray/core/bbtfleet"
)

// Contact is what a host knows from its own exchange with another host.
type Contact struct {
	heard time.Time
	acked time.Time
	since time.Time
	list  bbtfleet.Revision
}

// LastHeard returns when the last message came from the other host's newest known
// process, zero if none has.
func (c Contact) LastHeard() time.Time { return c.heard }

// LastAckedPing returns when the last Ping was sent that the other host has answered,
// zero if it has answered none.
func (c Contact) LastAckedPing() time.Time { return c.acked }

// Answering returns the time since which the other host has answered, each time
// within AnswerGap after the sending of the Ping that it had answered before.
func (c Contact) Answering() time.Time { return c.since }

// HostListRevision returns the host list revision in force at the other host when it
// answered that Ping.
func (c Contact) HostListRevision() bbtfleet.Revision { return c.list }
