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
	packetSize     = 1200     // message bytes per packet
	packetOverhead = 64       // bytes of IP, UDP and QUIC headers per packet
	maxDecodeBytes = 64 << 10 // larger messages are delivered without decoding
	tickInterval   = 200 * time.Millisecond
)

// host simulates an entry host that runs only its control logic.
type host struct {
	world         *world
	id            bbtfleet.HostID
	zone          bbtfleet.ZoneID
	rng           *rand.Rand
	incarnation   int
	running       bool
	unlisted      bool
	listAppliedAt time.Time // when the current host list was applied
	frozenUntil   time.Time // the process is suspended until then
	view          *bbtview.View
	detector      *bbtmember.Detector
	rights        *bbtowner.Rights
	cpu           time.Duration // processor time used
	transferred   int           // bytes sent and received
}

// envelope is a message in transit.
type envelope struct {
	from        bbtfleet.HostID
	msg         any
	requestedAt time.Time // when the query was sent, if msg is a query or a reply
}

// start starts a new process of the host and stops the running one, if any.
func (h *host) start() {
	h.stop()
	h.incarnation++
	h.running = true
	h.frozenUntil = time.Time{}
	h.view = bbtview.New(h.id, h.zone, h.rng, bbtview.WithParsers(parseManifest, h.parse))
	h.detector = bbtmember.New(h.id, bbtfleet.Incarnation(h.incarnation), h.rng)
	h.rights = bbtowner.NewRights(h.id)
	h.world.checks.hostStarted(h)
	h.runTimed(func(now time.Time) { h.applyViewActions(now, h.view.Start(now)) })
	h.tick(h.incarnation, time.Duration(h.rng.Int64N(int64(tickInterval))))
}

func (h *host) stop() {
	h.running = false
}

// tick calls the state machines of the process with the given incarnation every
// tickInterval, first after d.
func (h *host) tick(incarnation int, d time.Duration) {
	h.world.schedule(d, func() {
		if !h.running || h.incarnation != incarnation {
			return
		}
		if wait := h.frozenUntil.Sub(h.world.now); wait > 0 {
			h.tick(incarnation, wait)
			return
		}
		h.runTimed(func(now time.Time) {
			h.applyDetectorActions(now, h.detector.Tick(now, h.view.Digest(now)))
			h.applyViewActions(now, h.view.Tick(now))
			if !h.view.Fresh(now) {
				h.rights.Suspend(now)
			}
			h.detector.SetPartners(h.rights.ProbeTargets(now, h.contact))
		})
		h.tick(incarnation, tickInterval)
	})
}

// receive calls f in the process with the given incarnation. If the process is
// frozen, it calls f one microsecond after the end of the freeze, so that the tick
// at the end runs first.
func (h *host) receive(incarnation int, f func(now time.Time)) {
	if !h.running || h.incarnation != incarnation {
		return
	}
	if wait := h.frozenUntil.Sub(h.world.now); wait > 0 {
		h.world.schedule(wait+time.Microsecond, func() { h.receive(incarnation, f) })
		return
	}
	h.runTimed(f)
}

// runTimed calls f and adds its processor time to the host's.
func (h *host) runTimed(f func(now time.Time)) {
	startedAt := time.Now()
	f(h.world.now)
	h.cpu += time.Since(startedAt)
}

// countReceived counts bytes received from the platform.
func (h *host) countReceived(n int) { h.transferred += n + packetCount(n)*packetOverhead }

// send sends a message to a host unless the network loses it.
func (h *host) send(to bbtfleet.HostID, msg any, requestedAt time.Time) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	size := len(data) + packetCount(len(data))*packetOverhead
	h.transferred += size
	w := h.world
	if w.blocked(h.id, to) || w.rng.Float64() < w.lossRate {
		return
	}
	env := envelope{from: h.id, msg: msg, requestedAt: requestedAt}
	w.schedule(w.delay(), func() {
		peer := w.byID[to]
		peer.receive(peer.incarnation, func(now time.Time) {
			peer.transferred += size
			peer.deliver(now, decoded(env, data))
		})
	})
}

// decoded returns the envelope with its message decoded from data, or unchanged if
// data exceeds maxDecodeBytes.
func decoded(env envelope, data []byte) envelope {
	if len(data) > maxDecodeBytes {
		return env
	}
	v := reflect.New(reflect.TypeOf(env.msg))
	if err := cbor.Unmarshal(data, v.Interface()); err != nil {
		panic(err)
	}
	env.msg = v.Elem().Interface()
	return env
}

// packetCount returns the number of packets for a message of n bytes.
func packetCount(n int) int { return (n + packetSize - 1) / packetSize }

// deliver passes a message to the state machine that handles its type.
func (h *host) deliver(now time.Time, env envelope) {
	switch msg := env.msg.(type) {
	case bbtview.Digest:
		h.applyViewActions(now, h.view.ReceiveDigest(now, time.Time{}, env.from, msg))
	case bbtview.Query:
		h.applyViewActions(now, h.sendReplies(env, h.view.ReceiveQuery(now, env.from, msg)))
	case bbtview.Reply:
		h.applyViewActions(now, h.view.ReceiveReply(now, env.requestedAt, env.from, msg))
	case bbtmember.Message:
		h.applyDetectorActions(now, h.detector.Receive(now, env.from, msg, h.view.Digest(now)))
	}
}

// sendReplies sends the replies among the actions and returns the other actions.
func (h *host) sendReplies(env envelope, actions []bbtview.Action) []bbtview.Action {
	var rest []bbtview.Action
	for _, a := range actions {
		if a, ok := a.(bbtview.SendReply); ok {
			h.send(a.To, a.Reply, env.requestedAt)
			continue
		}
		rest = append(rest, a)
	}
	return rest
}

// applyViewActions executes the actions of the view.
func (h *host) applyViewActions(now time.Time, actions []bbtview.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtview.ReadManifest:
			h.world.platform.readManifest(h)
		case bbtview.WatchManifest:
			h.world.platform.watch(h, a.After)
		case bbtview.ReadPart:
			h.world.platform.readPart(h, a.Key)
		case bbtview.ReadHostList:
			h.world.platform.readHostList(h)
		case bbtview.SendQuery:
			h.send(a.To, a.Query, now)
		case bbtview.SendDigest:
			h.send(a.To, a.Digest, now)
		case bbtview.ConfigurationApplied:
			h.world.checks.configurationApplied(h)
			h.updatePlacement(now)
		case bbtview.HostListApplied:
			h.listAppliedAt = now
			h.applyDetectorActions(now, h.detector.SetHosts(now, a.Hosts))
			h.updatePlacement(now)
		case bbtview.Serve:
			h.world.checks.servingStarted(h)
			h.updatePlacement(now)
		}
	}
}

// updatePlacement sets the placement for the current configuration and host list,
// once the host serves.
func (h *host) updatePlacement(now time.Time) {
	if h.view.Serving() {
		h.rights.SetPlacement(now, bbtowner.NewPlacement(h.view.Configuration(), h.view.Hosts()))
	}
}

// applyDetectorActions executes the actions of the failure detector.
func (h *host) applyDetectorActions(now time.Time, actions []bbtmember.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case bbtmember.Send:
			h.send(a.To, a.Message, now)
		case bbtmember.DigestReceived:
			h.applyViewActions(now, h.view.ReceiveDigest(now, a.PingSentAt, a.Host, a.Digest))
		case bbtmember.NeighboursChanged:
			h.view.SetNeighbours(a.Hosts)
		case bbtmember.StateChanged:
			h.world.checks.stateChanged(h, a)
		case bbtmember.Paused:
			h.applyViewActions(now, h.view.Paused(now))
		}
	}
}

// contact returns the host's latest contact with another host.
func (h *host) contact(id bbtfleet.HostID) bbtowner.Contact {
	c := h.detector.Contact(id)
	sameHostList := c.HostListRevision() == h.view.Hosts().Revision()
	return bbtowner.NewContact(c.LastHeard(), c.LastAckedPing(), sameHostList, h.detector.State(id) == bbtmember.Leaving).AnsweringSince(c.AnsweringSince())
}

// slots returns how many of the endpoint's slots the host may fill now. A frozen
// host keeps the view and contacts from before the freeze.
func (h *host) slots(id bbtfleet.EndpointID) int {
	if !h.view.Fresh(h.world.now) {
		return 0
	}
	return h.rights.Slots(h.world.now, id, h.contact)
}

// parseManifest parses a manifest.
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

// parse parses a configuration. Unless settings.Unshared is set, the hosts share the
// result, and each is charged with the processor time of the first that parsed it.
func (h *host) parse(m bbtview.Manifest, contents [][]byte) (*bbtfleet.Configuration, error) {
	if h.world.settings.Unshared {
		return parseConfiguration(m, contents)
	}
	if p, ok := h.world.parsed[m.Version()]; ok {
		h.cpu += p.cost
		return p.config, p.err
	}
	startedAt := time.Now()
	p := parsed{}
	p.config, p.err = parseConfiguration(m, contents)
	p.cost = time.Since(startedAt)
	h.world.parsed[m.Version()] = p
	return p.config, p.err
}

// parseConfiguration parses the manifest and the contents of its parts.
func parseConfiguration(m bbtview.Manifest, contents [][]byte) (*bbtfleet.Configuration, error) {
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
