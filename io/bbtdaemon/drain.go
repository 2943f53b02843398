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
	// drainPollPeriod is how often Drain checks for remaining requests.
	drainPollPeriod = 50 * time.Millisecond

	// leavePropagation is how long peers may still direct callers to a host
	// after its drain started: the delay until it announces that it leaves, and
	// the time until peers have received the announcement.
	leavePropagation = bbtowner.MaxPermitLifetime + 3*time.Second
)

// Drain takes the host out of service: callers are no longer directed to it and
// its endpoints move to other hosts. It still serves requests that arrive while
// peers may direct callers to it and callers may have its address cached. Drain
// returns once that time has passed and no request remains, or when ctx ends,
// and reports whether no request remains.
func (d *Daemon) Drain(ctx context.Context) bool {
	d.post(drainRequested{})
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

// drainRequested is the event that starts a drain.
type drainRequested struct{}

// apply stops granting permits. Peers are told only after the last permits have
// expired, because they take over the host's slots as soon as they learn that
// it leaves.
func (drainRequested) apply(d *Daemon, now time.Time) {
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

// announceLeave tells peers that the host leaves, once announceLeaveAt has
// passed.
func (d *Daemon) announceLeave(now time.Time) {
	if d.announceLeaveAt.IsZero() || now.Before(d.announceLeaveAt) {
		return
	}
	d.announceLeaveAt = time.Time{}
	d.performDetectorActions(now, d.detector.Leave(now, d.view.Digest(now)))
}

// requestCountRequested requests the number of requests in progress.
type requestCountRequested struct{ reply chan<- int }

func (ev requestCountRequested) apply(d *Daemon, _ time.Time) { ev.reply <- d.requestCount() }

// requestCount returns the number of requests in progress: scheduled, waiting
// for a claim or for credit, or held by the executor.
func (d *Daemon) requestCount() int {
	n := len(d.pendingClaims) + len(d.calls)
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

// isIdle reports whether no request is in progress. A closed daemon is idle.
func (d *Daemon) isIdle() bool {
	reply := make(chan int, 1)
	if !d.post(requestCountRequested{reply}) {
		return true
	}
	select {
	case n := <-reply:
		return n == 0
	case <-d.ctx.Done():
		return true
	}
}

// computeCallerPlacement returns the placement over the hosts that accept new
// callers, that is, hosts that are neither leaving nor dead. If there are none,
// it returns the placement over all hosts.
func (d *Daemon) computeCallerPlacement() *bbtowner.Placement {
	candidates := make([]bbtfleet.Host, 0, len(d.hosts.Hosts()))
	for _, h := range d.hosts.Hosts() {
		if d.available(h.ID()) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return d.placement
	}
	return bbtowner.NewPlacement(d.config, bbtfleet.NewHostList(d.hosts.Revision(), candidates))
}

// available reports whether the host accepts new work.
func (d *Daemon) available(id bbtfleet.HostID) bool {
	if id == d.id {
		return !d.draining
	}
	return d.detector.State(id) < bbtmember.Leaving
}
