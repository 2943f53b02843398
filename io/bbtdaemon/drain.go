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
	// drainPollPeriod is how often a draining daemon looks whether requests remain.
	drainPollPeriod = 50 * time.Millisecond

	// leavePropagation is how long peers may go on naming a host that has said it
	// leaves.
	leavePropagation = bbtowner.MaxPermitLifetime + 3*time.Second
)

// Drain makes the host leave: callers are no longer sent to it, its endpoints
// pass to other hosts, and requests that still come are served for as long as
// peers may name it and callers may keep its address. It returns when no
// request is left after that or when ctx ends, and reports whether none was
// left.
func (d *Daemon) Drain(ctx context.Context) bool {
	d.post(draining{})
	ticks := time.NewTicker(drainPollPeriod)
	defer ticks.Stop()
	lifetime := time.NewTimer(d.lifetime + leavePropagation)
	defer lifetime.Stop()
	expired := false
	for {
		select {
		case <-ctx.Done():
			return d.isIdle()
		case <-lifetime.C:
			expired = true
		case <-ticks.C:
			if expired && d.isIdle() {
				return true
			}
		}
	}
}

// draining says that the host starts to drain.
type draining struct{}

// apply stops all grants. Peers hear of it once the last grants have run out,
// since they take the host's share of slots as soon as they do.
func (draining) apply(d *Daemon, now time.Time) {
	if d.draining {
		return
	}
	d.draining = true
	d.announceLeaveAt = now.Add(bbtowner.MaxPermitLifetime)
	d.log.Info("draining")
	d.stepExecutor(now, bbtexec.Drain{})
	d.rights.Leave()
	d.applyPlacement(now)
}

// announceLeave tells peers that the host leaves, when it is time.
func (d *Daemon) announceLeave(now time.Time) {
	if d.announceLeaveAt.IsZero() || now.Before(d.announceLeaveAt) {
		return
	}
	d.announceLeaveAt = time.Time{}
	d.performDetectorActions(now, d.detector.Leave(now, d.view.Digest(now)))
}

// requestCountQuery asks how many requests the daemon holds.
type requestCountQuery struct{ reply chan<- int }

func (ev requestCountQuery) apply(d *Daemon, _ time.Time) { ev.reply <- d.requestCount() }

// requestCount returns how many requestCount the daemon holds: scheduled, waiting for
// leave or for credit, or with the executor.
func (d *Daemon) requestCount() int {
	n := len(d.claims) + len(d.calls)
	for _, j := range d.jobs {
		if j.call == nil {
			n++
		}
	}
	for _, waiting := range d.awaitingCredit {
		n += len(waiting)
	}
	return n
}

// isIdle reports whether the daemon holds no request.
func (d *Daemon) isIdle() bool {
	reply := make(chan int, 1)
	if !d.post(requestCountQuery{reply}) {
		return true
	}
	select {
	case n := <-reply:
		return n == 0
	case <-d.ctx.Done():
		return true
	}
}

// reachablePlacement returns the placement over the hosts that callers may be sent to:
// neither leaving nor dead. It falls back to all hosts where none is left.
func (d *Daemon) reachablePlacement() *bbtowner.Map {
	up := make([]bbtfleet.Host, 0, len(d.hosts.Hosts()))
	for _, h := range d.hosts.Hosts() {
		if d.available(h.ID()) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return d.placement
	}
	return bbtowner.NewMap(d.config, bbtfleet.NewHostList(d.hosts.Revision(), up))
}

// available reports whether the host takes new work.
func (d *Daemon) available(id bbtfleet.HostID) bool {
	if id == d.id {
		return !d.draining
	}
	return d.detector.State(id) < bbtmember.Leaving
}
