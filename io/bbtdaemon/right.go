package bbtdaemon

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
)

// own gives the owner role the slots that this host may fill now, if they have
// changed or if force is set.
func (d *Daemon) own(now time.Time, force bool) {
	owned := d.rightful(now)
	if !force && slices.Equal(owned, d.owned) {
		return
	}
	d.owned = owned
	d.poll(owned)
	d.counters.Set("endpoints-owned", int64(len(owned)))
	d.doOwner(now, d.owner.SetEndpoints(now, owned))
}

// rightful returns the endpoints in service that this host may use now, each
// with the slots that it may fill.
func (d *Daemon) rightful(now time.Time) []bbtfleet.Endpoint {
	if d.config == nil || !d.keeper.Fresh(now) {
		return nil
	}
	var owned []bbtfleet.Endpoint
	for _, id := range d.rights.Endpoints(now) {
		ep, ok := d.config.Endpoint(id)
		if !ok || !d.config.InService(id) {
			continue
		}
		if n := d.rights.Slots(now, id, d.contact); n > 0 {
			owned = append(owned, ep.LimitSlots(n))
		}
	}
	return owned
}

// contact returns what this host knows of another one from their own exchange.
func (d *Daemon) contact(id bbtfleet.HostID) bbtowner.Contact {
	c := d.member.Contact(id)
	same := c.HostListRevision() == d.hosts.Revision()
	gone := d.member.State(id) == bbtmember.Leaving
	return bbtowner.NewContact(c.LastHeard(), c.LastAckedPing(), same, gone).AnsweringSince(c.AnsweringSince())
}
