// Package bbtroute is the entry role: it registers each request of a caller
// with the owners of endpoints that can serve it, dispatches it under the
// first permit, and decides on retries and refusals.
package bbtroute

import (
	"maps"
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbtverdict"
)

const defaultWidth = 3

// Entry routes the requests of the callers connected to one host. Its methods
// take the current time and return what the driver must do, in order; it is
// not safe for concurrent use.
type Entry struct {
	host  bbtfleet.HostID
	start time.Time
	width int
	pools map[bbtfleet.PoolID]*pool
	jobs  map[bbtgrant.RequestID]*job
}

// New returns the entry role of a host whose clock starts at start.
func New(host bbtfleet.HostID, start time.Time, opts ...Option) *Entry {
	e := &Entry{
		host:  host,
		start: start,
		width: defaultWidth,
		pools: make(map[bbtfleet.PoolID]*pool),
		jobs:  make(map[bbtgrant.RequestID]*job),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// View sets the endpoints in service and their owners.
func (e *Entry) View(now time.Time, targets []Target) []Action {
	e.pools = poolsOf(targets)
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		j := e.jobs[id]
		if j.dispatch != nil {
			continue
		}
		for _, h := range slices.Clone(j.asked) {
			if !e.pools[j.Pool].has(h) {
				j.drop(h)
				out = append(out, Send{To: h, Message: bbtgrant.Withdrawal{Request: id}})
			}
		}
		out = append(out, e.ask(now, j)...)
	}
	return out
}

// Submit takes a request on.
func (e *Entry) Submit(now time.Time, r Request) []Action {
	j := &job{Request: r}
	e.jobs[r.ID] = j
	return e.ask(now, j)
}

// ask registers the request with further owners until width hold it, and
// refuses it when none can.
func (e *Entry) ask(now time.Time, j *job) []Action {
	p := e.pools[j.Pool]
	if p == nil {
		return e.refuse(j, bbtverdict.ReasonUnknownPool)
	}
	var out []Action
	for _, h := range p.owners {
		if len(j.asked) >= e.width {
			break
		}
		if slices.Contains(j.asked, h) || slices.Contains(j.refused, h) {
			continue
		}
		j.asked = append(j.asked, h)
		out = append(out, Send{To: h, Message: e.registration(now, j)})
	}
	if len(j.asked) == 0 {
		return append(out, e.refuse(j, bbtverdict.ReasonNoRoom)...)
	}
	return out
}

func (e *Entry) registration(now time.Time, j *job) bbtgrant.Registration {
	return bbtgrant.Registration{
		Request: j.ID,
		Pool:    j.Pool,
		Account: j.Account,
		Tier:    j.Tier,
		Sent:    now.Sub(e.start),
		Left:    j.Deadline.Sub(now),
		Prompt:  j.Prompt,
		Output:  j.Output,
		Prefix:  j.Prefix,
		Exclude: j.Exclude,
		Alone:   j.Alone,
	}
}

// Granted dispatches the request under the permit, or hands the permit back if
// it is late or the request needs none.
func (e *Entry) Granted(now time.Time, from bbtfleet.HostID, p bbtgrant.Permit) []Action {
	j := e.jobs[p.Request]
	if j == nil || j.dispatch != nil {
		return []Action{Send{To: from, Message: bbtgrant.Return{Permit: p.ID}}}
	}
	held := j.drop(from)
	if !held || now.Sub(e.start) >= p.Expiry {
		back := Send{To: from, Message: bbtgrant.Return{Permit: p.ID}}
		return append([]Action{back}, e.ask(now, j)...)
	}
	j.dispatch = &dispatch{owner: from, permit: p, start: now}
	out := []Action{Dispatch{Request: j.ID, Endpoint: p.Endpoint, Permit: p}}
	return append(out, e.withdraw(j)...)
}

// withdraw takes all registrations of a request back.
func (e *Entry) withdraw(j *job) []Action {
	var out []Action
	for _, h := range j.asked {
		out = append(out, Send{To: h, Message: bbtgrant.Withdrawal{Request: j.ID}})
	}
	j.asked = nil
	return out
}

// Shedded records that an owner no longer holds the registration.
func (e *Entry) Shedded(now time.Time, from bbtfleet.HostID, s bbtgrant.Shed) []Action {
	j := e.jobs[s.Request]
	if j == nil || !j.drop(from) {
		return nil
	}
	j.refused = append(j.refused, from)
	return e.ask(now, j)
}

// Cancel ends a request whose caller has left.
func (e *Entry) Cancel(_ time.Time, id bbtgrant.RequestID) []Action {
	j := e.jobs[id]
	if j == nil {
		return nil
	}
	if j.dispatch != nil {
		return []Action{Stop{Request: id}}
	}
	delete(e.jobs, id)
	return e.withdraw(j)
}

// FirstToken records that the first token of the answer arrived.
func (e *Entry) FirstToken(now time.Time, id bbtgrant.RequestID) []Action {
	if j := e.jobs[id]; j != nil && j.dispatch != nil && j.dispatch.first.IsZero() {
		j.dispatch.first = now
	}
	return nil
}

// Finished records how the dispatch of a request ended and decides whether it
// runs again.
func (e *Entry) Finished(now time.Time, id bbtgrant.RequestID, o Outcome) []Action {
	j := e.jobs[id]
	if j == nil || j.dispatch == nil {
		return nil
	}
	out := []Action{Send{To: j.dispatch.owner, Message: j.done(now, o)}}
	failed := j.dispatch.permit.Endpoint
	j.dispatch = nil
	switch o.Kind {
	case bbtgrant.Refused:
		j.Exclude = append(slices.Clone(j.Exclude), failed)
		return append(out, e.ask(now, j)...)
	case bbtgrant.Lost:
		return append(out, e.repeat(now, j, failed)...)
	default:
		delete(e.jobs, id)
		return out
	}
}

// repeat registers a request again whose dispatch may have run, if its
// contract allows.
func (e *Entry) repeat(now time.Time, j *job, failed bbtfleet.EndpointID) []Action {
	if j.repeats >= j.Repeats {
		delete(e.jobs, j.ID)
		err := bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost)
		return []Action{Refuse{Request: j.ID, Err: err}}
	}
	j.repeats++
	j.Exclude = append(slices.Clone(j.Exclude), failed)
	return e.ask(now, j)
}

// done describes the end of the dispatch to its owner.
func (j *job) done(now time.Time, o Outcome) bbtgrant.Done {
	d := bbtgrant.Done{
		Permit:  j.dispatch.permit.ID,
		Outcome: o.Kind,
		Output:  o.Output,
		Elapsed: now.Sub(j.dispatch.start),
	}
	if !j.dispatch.first.IsZero() {
		d.FirstToken = j.dispatch.first.Sub(j.dispatch.start)
	}
	return d
}

// HostLost registers again what waited at a host that died.
func (e *Entry) HostLost(now time.Time, host bbtfleet.HostID) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		if j := e.jobs[id]; j.drop(host) {
			j.refused = append(j.refused, host)
			out = append(out, e.ask(now, j)...)
		}
	}
	return out
}

// Tick does what is due by time alone: a request that has not been dispatched
// by its deadline is refused.
func (e *Entry) Tick(now time.Time) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		j := e.jobs[id]
		if j.Deadline.IsZero() || now.Before(j.Deadline) {
			continue
		}
		if j.dispatch == nil {
			out = append(out, e.refuse(j, bbtverdict.ReasonDeadline)...)
		}
	}
	return out
}

// Next returns when Tick is wanted; the zero time if never.
func (e *Entry) Next() time.Time {
	var next time.Time
	for _, j := range e.jobs {
		if j.dispatch != nil || j.Deadline.IsZero() {
			continue
		}
		if next.IsZero() || j.Deadline.Before(next) {
			next = j.Deadline
		}
	}
	return next
}

// refuse ends a request that was not dispatched.
func (e *Entry) refuse(j *job, reason bbtverdict.Reason) []Action {
	delete(e.jobs, j.ID)
	err := bbtverdict.New(bbtverdict.NotRun, reason)
	return append(e.withdraw(j), Refuse{Request: j.ID, Err: err})
}
