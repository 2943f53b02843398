package bbtdaemon

import (
	"context"
	"time"

	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
)

const (
	// drainPoll is how often a draining daemon looks whether requests remain.
	drainPoll = 50 * time.Millisecond

	// drainLearn is how long peers may go on naming a host that has said it
	// leaves.
	drainLearn = bbtowner.MaxPermitLifetime + 3*time.Second
)

// Drain makes the host leave: callers are no longer sent to it, its endpoints
// pass to other hosts, and requests that still come are served for as long as
// peers may name it and callers may keep its address. It returns when no
// request is left after that or when ctx ends, and reports whether none was
// left.
func (d *Daemon) Drain(ctx context.Context) bool {
	d.post(leaving{})
	ticks := time.NewTicker(drainPoll)
	defer ticks.Stop()
	lifetime := time.NewTimer(d.lifetime + drainLearn)
	defer lifetime.Stop()
	expired := false
	for {
		select {
		case <-ctx.Done():
			return d.idle()
		case <-lifetime.C:
			expired = true
		case <-ticks.C:
			if expired && d.idle() {
				return true
			}
		}
	}
}

// leaving says that the host starts to drain.
type leaving struct{}

// apply stops all grants. Peers hear of it once the last grants have run out,
// since they take the host's share of slots as soon as they do.
func (leaving) apply(d *Daemon, now time.Time) {
	if d.leaving {
		return
	}
	d.leaving = true
	d.announceAt = now.Add(bbtowner.MaxPermitLifetime)
	d.log.Info("draining")
	d.step(now, bbtexec.Drain{})
	d.rights.Leave()
	d.place(now)
}

// announceLeave tells peers that the host leaves, when it is time.
func (d *Daemon) announceLeave(now time.Time) {
	if d.announceAt.IsZero() || now.Before(d.announceAt) {
		return
	}
	d.announceAt = time.Time{}
	d.doMember(now, d.member.Leave(now, d.keeper.Digest(now)))
}

// counted asks how many requests the daemon holds.
type counted struct{ reply chan<- int }

func (ev counted) apply(d *Daemon, _ time.Time) { ev.reply <- d.requests() }

// requests returns how many requests the daemon holds: scheduled, waiting for
// leave or for credit, or with the executor.
func (d *Daemon) requests() int {
	n := len(d.claims) + len(d.calls)
	for _, j := range d.jobs {
		if j.call == nil {
			n++
		}
	}
	for _, waiting := range d.held {
		n += len(waiting)
	}
	return n
}

// idle reports whether the daemon holds no request.
func (d *Daemon) idle() bool {
	reply := make(chan int, 1)
	if !d.post(counted{reply}) {
		return true
	}
	select {
	case n := <-reply:
		return n == 0
	case <-d.ctx.Done():
		return true
	}
}

// reachable returns the placement over the hosts that callers may be sent to:
// neither leaving nor dead. It falls back to all hosts where none is left.
func (d *Daemon) reachable() *bbtowner.Map {
	up := make([]bbtfleet.Host, 0, len(d.hosts.Hosts()))
	for _, h := range d.hosts.Hosts() {
		if d.up(h.ID()) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return d.places
	}
	return bbtowner.NewMap(d.config, bbtfleet.NewHostList(d.hosts.Revision(), up))
}

// up reports whether the host takes new work.
func (d *Daemon) up(id bbtfleet.HostID) bool {
	if id == d.id {
		return !d.leaving
	}
	return d.member.State(id) < bbtmember.Leaving
}
