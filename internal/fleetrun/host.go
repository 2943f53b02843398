package main

import (
	"math/rand/v2"
	"reflect"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
	"bluebelltray/core/bbtview"
	"github.com/fxamacker/cbor/v2"
)

const (
	packetSize     = 1200     // bytes of a message in one packet
	packetOverhead = 64       // bytes of IP, UDP and QUIC around each packet
	decodeLimit    = 64 << 10 // bytes up to which messages are decoded again
	tickInterval   = 200 * time.Millisecond
)

// host is one host's control logic.
type host struct {
	world       *world
	id          bbtfleet.HostID
	zone        bbtfleet.ZoneID
	rng         *rand.Rand
	incarnation int
	running     bool
	unlisted    bool
	listed      time.Time // when the host list came into force
	frozen      time.Time // until then the process does not run
	keeper      *bbtview.View
	member      *bbtmember.Detector
	rights      *bbtowner.Rights
	cpu         time.Duration
	bytes       int
}

// envelope is a message on its way.
type envelope struct {
	from  bbtfleet.HostID
	msg   any
	asked time.Time // when the question was sent that msg asks or answers
}

// start starts a process of the host, in place of one that runs.
func (h *host) start() {
	h.stop()
	h.incarnation++
	h.running = true
	h.frozen = time.Time{}
	h.keeper = bbtview.New(h.id, h.zone, h.rng, bbtview.WithParsers(parseManifest, h.parse))
	h.member = bbtmember.New(h.id, bbtfleet.Incarnation(h.incarnation), h.rng)
	h.rights = bbtowner.NewRights(h.id)
	h.world.checks.started(h)
	h.measured(func(now time.Time) { h.doView(now, h.keeper.Start(now)) })
	h.tick(h.incarnation, time.Duration(h.rng.Int64N(int64(tickInterval))))
}

// stop kills the host's process.
func (h *host) stop() {
	h.running = false
}

// tick calls the state machines every tickInterval, first after d.
func (h *host) tick(run int, d time.Duration) {
	h.world.at(d, func() {
		if !h.running || h.incarnation != run {
			return
		}
		if wait := h.frozen.Sub(h.world.now); wait > 0 {
			h.tick(run, wait)
			return
		}
		h.measured(func(now time.Time) {
			h.doMember(now, h.member.Tick(now, h.keeper.Digest(now)))
			h.doView(now, h.keeper.Tick(now))
			if !h.keeper.Fresh(now) {
				h.rights.Suspend(now)
			}
			h.member.SetPartners(h.rights.ProbeTargets(now, h.contact))
		})
		h.tick(run, tickInterval)
	})
}

// receive calls f in the process of the given incarnation, once it runs.
func (h *host) receive(run int, f func(now time.Time)) {
	if !h.running || h.incarnation != run {
		return
	}
	if wait := h.frozen.Sub(h.world.now); wait > 0 {
		h.world.at(wait+time.Microsecond, func() { h.receive(run, f) })
		return
	}
	h.measured(f)
}

// measured calls f and counts its processor time.
func (h *host) measured(f func(now time.Time)) {
	begun := time.Now()
	f(h.world.now)
	h.cpu += time.Since(begun)
}

// took counts bytes received from the platform.
func (h *host) took(n int) { h.bytes += n + packets(n)*packetOverhead }

// send sends a message to a host.
func (h *host) send(to bbtfleet.HostID, msg any, asked time.Time) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	size := len(data) + packets(len(data))*packetOverhead
	h.bytes += size
	w := h.world
	if w.severed(h.id, to) || w.rng.Float64() < w.loss {
		return
	}
	env := envelope{from: h.id, msg: msg, asked: asked}
	w.at(w.delay(), func() {
		peer := w.byID[to]
		peer.receive(peer.incarnation, func(now time.Time) {
			peer.bytes += size
			peer.deliver(now, decoded(env, data))
		})
	})
}

// decoded returns the envelope with its message decoded from data.
func decoded(env envelope, data []byte) envelope {
	if len(data) > decodeLimit {
		return env
	}
	v := reflect.New(reflect.TypeOf(env.msg))
	if err := cbor.Unmarshal(data, v.Interface()); err != nil {
		panic(err)
	}
	env.msg = v.Elem().Interface()
	return env
}

// packets returns the number of packets that a message of n bytes takes.
func packets(n int) int { return (n + packetSize - 1) / packetSize }

// deliver hands a message to its state machine.
func (h *host) deliver(now time.Time, env envelope) {
	switch msg := env.msg.(type) {
	case bbtview.Digest:
		h.doView(now, h.keeper.ReceiveDigest(now, time.Time{}, env.from, msg))
	case bbtview.Query:
		h.doView(now, h.answers(env, h.keeper.ReceiveQuery(now, env.from, msg)))
	case bbtview.Reply:
		h.doView(now, h.keeper.ReceiveReply(now, env.asked, env.from, msg))
	case bbtmember.Message:
		h.doMember(now, h.member.Receive(now, env.from, msg, h.keeper.Digest(now)))
	}
}

// answers sends the answers among the actions and returns the rest.
func (h *host) answers(env envelope, actions []bbtview.Action) []bbtview.Action {
	var rest []bbtview.Action
	for _, a := range actions {
		if a, ok := a.(bbtview.SendReply); ok {
			h.send(a.To, a.Reply, env.asked)
			continue
		}
		rest = append(rest, a)
	}
	return rest
}

// doView carries out the Keeper's actions.
func (h *host) doView(now time.Time, actions []bbtview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtview.ReadManifest:
			h.world.platform.readManifest(h)
		case bbtview.WatchManifest:
			h.world.platform.watch(h, a.After)
		case bbtview.ReadPart:
			h.world.platform.readPart(h, a.Key)
		case bbtview.ReadHostList:
			h.world.platform.readHosts(h)
		case bbtview.SendQuery:
			h.send(a.To, a.Query, now)
		case bbtview.SendDigest:
			h.send(a.To, a.Digest, now)
		case bbtview.ConfigurationApplied:
			h.world.checks.inForce(h)
			h.place(now)
		case bbtview.HostListApplied:
			h.listed = now
			h.doMember(now, h.member.SetHosts(now, a.Hosts))
			h.place(now)
		case bbtview.Serve:
			h.world.checks.served(h)
			h.place(now)
		}
	}
}

// place gives Rights the placement of the view, once the host serves.
func (h *host) place(now time.Time) {
	if h.keeper.Serving() {
		h.rights.SetMap(now, bbtowner.NewMap(h.keeper.Configuration(), h.keeper.Hosts()))
	}
}

// doMember carries out the Member's actions.
func (h *host) doMember(now time.Time, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.Send:
			h.send(a.To, a.Message, now)
		case bbtmember.DigestReceived:
			h.doView(now, h.keeper.ReceiveDigest(now, a.PingSentAt, a.Host, a.Digest))
		case bbtmember.NeighboursChanged:
			h.keeper.SetNeighbours(a.Hosts)
		case bbtmember.StateChanged:
			h.world.checks.changed(h, a)
		case bbtmember.Paused:
			h.doView(now, h.keeper.Paused(now))
		}
	}
}

// contact returns what the host knows of another one.
func (h *host) contact(id bbtfleet.HostID) bbtowner.Contact {
	c := h.member.Contact(id)
	same := c.HostListRevision() == h.keeper.Hosts().Revision()
	return bbtowner.NewContact(c.LastHeard(), c.LastAckedPing(), same, h.member.State(id) == bbtmember.Leaving).AnsweringSince(c.AnsweringSince())
}

// slots returns how many of the endpoint's slots the host fills at most now. A
// paused process goes by what it knew.
func (h *host) slots(id bbtfleet.EndpointID) int {
	if !h.keeper.Fresh(h.world.now) {
		return 0
	}
	return h.rights.Slots(h.world.now, id, h.contact)
}

// parseManifest reads a manifest.
func parseManifest(data []byte) (bbtview.Manifest, error) {
	m, err := bbtconfig.ParseManifest(data)
	if err != nil {
		return bbtview.Manifest{}, err
	}
	var parts []bbtview.Part
	for _, ref := range m.Parts() {
		parts = append(parts, bbtview.NewPart(ref.Key(), ref.Digest(), ref.Size()))
	}
	return bbtview.NewManifest(m.Revision(), parts...), nil
}

// parse reads a configuration. The hosts share one, and each is charged with
// the processor time of the first that parsed it.
func (h *host) parse(m bbtview.Manifest, contents [][]byte) (*bbtfleet.Configuration, error) {
	if h.world.settings.Unshared {
		return parse(m, contents)
	}
	if p, ok := h.world.parsed[m.Version()]; ok {
		h.cpu += p.cost
		return p.config, p.err
	}
	begun := time.Now()
	p := parsed{}
	p.config, p.err = parse(m, contents)
	p.cost = time.Since(begun)
	h.world.parsed[m.Version()] = p
	return p.config, p.err
}

// parse reads a configuration.
func parse(m bbtview.Manifest, contents [][]byte) (*bbtfleet.Configuration, error) {
	manifest, err := bbtconfig.ParseManifest(m.Data())
	if err != nil {
		return nil, err
	}
	var parts []bbtconfig.Part
	for i, ref := range m.Parts() {
		parts = append(parts, bbtconfig.NewPart(ref.Key(), contents[i]))
	}
	return bbtconfig.Parse(manifest, parts)
}
