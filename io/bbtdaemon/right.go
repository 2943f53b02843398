package bbtdaemon

import (
	"slices"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
)

// updateOwnedEndpoints tells the owner role which endpoints and slots this host
// may use now, if they have changed or if force is set.
func (d *Daemon) updateOwnedEndpoints(now time.Time, force bool) {
	owned := d.usableEndpoints(now)
	if !force && slices.Equal(owned, d.owned) {
		return
	}
	d.owned = owned
	d.updatePollers(owned)
	d.counters.Set("endpoints-owned", int64(len(owned)))
	d.performOwnerActions(now, d.owner.SetEndpoints(now, owned))
}

// usableEndpoints returns the endpoints in service that this host may use now,
// each limited to the slots that it may use.
func (d *Daemon) usableEndpoints(now time.Time) []bbtfleet.Endpoint {
	if d.config == nil || !d.view.Fresh(now) {
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

// contact returns what this host has learned about another host from their
// direct exchange of probes.
func (d *Daemon) contact(id bbtfleet.HostID) bbtowner.Contact {
	c := d.detector.Contact(id)
	sameHostList := c.HostListRevision() == d.hosts.Revision()
	leaving := d.detector.State(id) == bbtmember.Leaving
	return bbtowner.NewContact(c.LastHeard(), c.LastAckedPing(), sameHostList, leaving).AnsweringSince(c.AnsweringSince())
}
