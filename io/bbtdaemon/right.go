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
	d.doOwner(now, d.owner.Own(now, owned))
}

// rightful returns the endpoints in service that this host may use now, each
// with the slots that it may fill.
func (d *Daemon) rightful(now time.Time) []bbtfleet.Endpoint {
	if d.config == nil || !d.keeper.Fresh(now) {
		return nil
	}
	contacts := d.contactsAt(now)
	var owned []bbtfleet.Endpoint
	for _, id := range d.rights.Endpoints(now) {
		ep, ok := d.config.Endpoint(id)
		if !ok || !d.config.Serves(id) {
			continue
		}
		if n := d.rights.Slots(now, id, contacts); n > 0 {
			owned = append(owned, ep.Limited(n))
		}
	}
	return owned
}

// contactsAt returns what this host knows at now of others from their own
// exchange.
func (d *Daemon) contactsAt(now time.Time) bbtowner.Contacts {
	return func(id bbtfleet.HostID) bbtowner.Contact {
		c := d.member.Contact(id)
		acked := d.answers.Note(now, id, c.Acked())
		same := c.List() == d.hosts.Revision()
		return bbtowner.NewContact(c.Heard(), acked, same, d.member.State(id) == bbtmember.Leaving)
	}
}
