package bbtdaemon

import (
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
)

// ranked is an endpoint that this host has a rank for.
type ranked struct {
	endpoint bbtfleet.Endpoint
	right    int // slots that the host may fill
}

// rankEndpoints finds the endpoints in service that this host has a rank for,
// and has the hosts that share them probed.
func (d *Daemon) rankEndpoints(now time.Time) {
	d.ranked = d.ranked[:0]
	partners := make(map[bbtfleet.HostID]bool)
	for _, ep := range d.config.Endpoints() {
		if _, ok := d.places.Rank(ep.ID(), d.id); !ok || !d.config.Serves(ep.ID()) {
			continue
		}
		d.ranked = append(d.ranked, ranked{endpoint: ep})
		for _, host := range d.places.Ranks(ep.ID()) {
			partners[host] = host != d.id
		}
	}
	if d.hosts.Revision() != d.placedList {
		d.placedList, d.placed = d.hosts.Revision(), now
	}
	ids := make([]bbtfleet.HostID, 0, len(partners))
	for _, h := range d.hosts.Hosts() {
		if partners[h.ID()] {
			ids = append(ids, h.ID())
		}
	}
	d.member.SetPartners(ids)
}

// own gives the owner role the slots that this host may fill now, if they have
// changed.
func (d *Daemon) own(now time.Time, force bool) {
	changed := force
	var owned []bbtfleet.Endpoint
	for i := range d.ranked {
		r := &d.ranked[i]
		right := d.right(now, r.endpoint)
		changed = changed || right != r.right
		r.right = right
		if right > 0 {
			owned = append(owned, r.endpoint.Limited(right))
		}
	}
	if !changed {
		return
	}
	d.poll(owned)
	d.counters.Set("endpoints-owned", int64(len(owned)))
	d.doOwner(now, d.owner.Own(now, owned))
}

// right returns how many slots of the endpoint this host may fill now.
func (d *Daemon) right(now time.Time, ep bbtfleet.Endpoint) int {
	if d.leaving || !d.keeper.Fresh(now) {
		return 0
	}
	return d.places.Right(now, d.placed, d.id, ep, func(id bbtfleet.HostID) bbtowner.Contact {
		return d.contact(now, id)
	})
}

// contact returns what this host knows of another one from their own exchange.
func (d *Daemon) contact(now time.Time, id bbtfleet.HostID) bbtowner.Contact {
	c := d.member.Contact(id)
	acked := d.answers.Note(now, id, c.Acked())
	same := c.List() == d.hosts.Revision()
	return bbtowner.NewContact(c.Heard(), acked, same, d.member.State(id) == bbtmember.Leaving)
}
