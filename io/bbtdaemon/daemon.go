// Package bbtdaemon runs one entry host: it joins the decisions of the core
// packages with callers, endpoints, peers and the platform.
package bbtdaemon

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtexec"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtgrant"
	"bluebelltray/core/bbthome"
	"bluebelltray/core/bbtledger"
	"bluebelltray/core/bbtlimit"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtowner"
	"bluebelltray/core/bbtroute"
	"bluebelltray/core/bbtsuspect"
	"bluebelltray/core/bbtticket"
	"bluebelltray/core/bbtview"
	"bluebelltray/io/bbthttp"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Bounds and periods of a daemon.
const (
	eventQueue      = 4096
	tickPeriod      = 50 * time.Millisecond
	execPeriod      = time.Second
	wakeLeast       = time.Millisecond
	secretBytes     = 32
	agentPeriod     = 200 * time.Millisecond
	loadPeriod      = 500 * time.Millisecond
	loadTimeout     = time.Second
	defaultLifetime = 30 * time.Second
)

// Daemon is one entry host. All its state belongs to the goroutine of run;
// other goroutines pass it events.
type Daemon struct {
	id       bbtfleet.HostID
	start    time.Time
	log      *zap.Logger
	counters *bbtmetric.Counters
	platform bluebelltray.Platform
	peers    peers
	seeds    []bbtfleet.Host
	backend  bluebelltray.Backend
	loads    *bbthttp.LoadReader
	lifetime time.Duration // of an address answer
	events   chan event
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	// The view, and who owns what under it.
	keeper     *bbtview.View
	member     *bbtmember.Detector
	config     *bbtfleet.Configuration
	pools      map[bbtfleet.PoolID]bbtfleet.Kind
	hosts      bbtfleet.HostList
	places     *bbtowner.Map // over all hosts of the list
	callers    *bbtowner.Map // over the hosts that callers may be sent to
	rights     *bbtowner.Rights
	owned      []bbtfleet.Endpoint // with the slots that this host may fill
	misplaced  bool                // a host has changed since the roles were last told
	asking     *bbtpeer.Exchange   // of the peer's question at hand
	leaving    bool
	announceAt time.Time // when peers are told that the host leaves; zero for not

	// Requests, from their admission to their dispatch.
	limiter   *bbtlimit.Limiter
	held      map[bbtfleet.AccountID][]held
	agent     *bbtsuspect.Agent
	agentTold time.Time // when the agent was told the time last
	claims    map[bbtsuspect.CallID]*claim
	lastClaim bbtsuspect.CallID
	entry     *bbtroute.Entry
	jobs      map[bbtgrant.RequestID]*job
	lastID    bbtgrant.RequestID

	// Calls that run at most once.
	exec     *bbtexec.Executor
	execTold time.Time // when the executor was told the time last
	calls    map[bbtexec.CallID]*call
	lastCall bbtexec.CallID

	// The owner role.
	owner   *bbtgrant.Owner
	pollers map[bbtfleet.EndpointID]*poller

	local []any // messages to this host itself
}

// Option sets an optional part of a Daemon.
type Option func(*Daemon)

// WithLogger sets where changes of state are logged.
func WithLogger(l *zap.Logger) Option { return func(d *Daemon) { d.log = l } }

// WithCounters sets the metrics that the daemon counts in.
func WithCounters(c *bbtmetric.Counters) Option { return func(d *Daemon) { d.counters = c } }

// WithBackend sets how calls reach endpoints.
func WithBackend(b bluebelltray.Backend) Option { return func(d *Daemon) { d.backend = b } }

// WithAddressLifetime sets how long callers may keep an address answer.
func WithAddressLifetime(t time.Duration) Option { return func(d *Daemon) { d.lifetime = t } }

// WithSeeds sets the hosts that are asked for a view while the host list cannot
// be read.
func WithSeeds(hosts []bbtfleet.Host) Option { return func(d *Daemon) { d.seeds = hosts } }

// New returns a daemon on a host of the availability zone zone. It takes no
// requests before it has a view. It owns node, which is a *bbtpeer.Node; Close ends both.
func New(id bbtfleet.HostID, zone bbtfleet.ZoneID, platform bluebelltray.Platform, node peers, opts ...Option) *Daemon {
	start := time.Now()
	incarnation := uint64(start.UnixNano())
	rng := rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(id))))
	ctx, cancel := context.WithCancel(context.Background())
	var p parser
	d := &Daemon{
		id:       id,
		start:    start,
		log:      zap.NewNop(),
		counters: bbtmetric.New(),
		platform: platform,
		peers:    node,
		backend:  bbthttp.NewBackend(),
		loads:    bbthttp.NewLoadReader(loadTimeout),
		lifetime: defaultLifetime,
		events:   make(chan event, eventQueue),
		ctx:      ctx,
		cancel:   cancel,
		member:   bbtmember.New(id, bbtfleet.Incarnation(incarnation), rng),
		entry:    bbtroute.New(id, start),
		owner:    bbtgrant.New(bbtgrant.WithPermitIDBase(bbtgrant.PermitID(incarnation))),
		exec:     newExecutor(id, bbtfleet.Incarnation(incarnation), start),
		calls:    make(map[bbtexec.CallID]*call),
		limiter:  bbtlimit.New(id),
		rights:   bbtowner.NewRights(id),
		held:     make(map[bbtfleet.AccountID][]held),
		agent:    bbtsuspect.NewAgent(id, bbtfleet.Incarnation(incarnation), keyHome),
		claims:   make(map[bbtsuspect.CallID]*claim),
		jobs:     make(map[bbtgrant.RequestID]*job),
		pollers:  make(map[bbtfleet.EndpointID]*poller),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.keeper = bbtview.New(id, zone, rng, bbtview.WithParsers(p.parseManifest, p.parse), bbtview.WithSeeds(names(d.seeds)...))
	node.SetHosts(d.seeds)
	in := &inbox{daemon: d, node: node}
	d.done.Go(in.run)
	d.done.Go(d.run)
	return d
}

// names returns the names of hosts.
func names(hosts []bbtfleet.Host) []bbtfleet.HostID {
	ids := make([]bbtfleet.HostID, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID())
	}
	return ids
}

// newExecutor returns the executor of a process with a secret of its own.
func newExecutor(id bbtfleet.HostID, inc bbtfleet.Incarnation, start time.Time) *bbtexec.Executor {
	secret := make([]byte, secretBytes)
	_, _ = crand.Read(secret) // never fails
	return bbtexec.New(bbtticket.NewIssuer(id, inc, start, secret), bbtledger.NewLedger(), bbthome.New(id, keyHome))
}

// Counters returns the daemon's metrics.
func (d *Daemon) Counters() *bbtmetric.Counters { return d.counters }

// Close ends the daemon and waits for its goroutines. Requests that still run
// are cut; see Drain.
func (d *Daemon) Close() {
	d.cancel()
	d.peers.Close()
	d.done.Wait()
	d.loads.Close()
}

// run applies events one after the other.
func (d *Daemon) run() {
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	wake := time.NewTimer(tickPeriod)
	defer wake.Stop()
	now := time.Now()
	d.doView(now, d.keeper.Start(now))
	for {
		select {
		case <-d.ctx.Done():
			return
		case ev := <-d.events:
			ev.apply(d, time.Now())
		case <-ticks.C:
			d.tick(time.Now())
		case <-wake.C:
			d.tickRoles(time.Now())
		}
		d.deliverLocal(time.Now())
		wake.Reset(d.untilWake(time.Now()))
	}
}

// tick does what is due by time alone.
func (d *Daemon) tick(now time.Time) {
	d.doMember(now, d.member.Tick(now, d.keeper.Digest(now)))
	d.doView(now, d.keeper.Tick(now))
	if !d.keeper.Fresh(now) {
		d.rights.Suspend(now)
	}
	d.announceLeave(now)
	d.member.SetPartners(d.rights.ProbeTargets(now, d.contact))
	if d.misplaced {
		d.place(now)
	}
	d.own(now, false)
	if d.keeper.Fresh(now) {
		d.doOwner(now, d.owner.ConfirmView(now))
	}
	if now.Sub(d.execTold) >= execPeriod {
		d.execTold = now
		d.step(now, bbtexec.Tick{})
		d.pruneCalls()
		d.limiter.Tick(now)
		d.gauge(now)
	}
	d.resumeDue(now)
	if now.Sub(d.agentTold) >= agentPeriod {
		d.agentTold = now
		d.stepAgent(now, bbtsuspect.Tick{})
	}
	d.tickRoles(now)
}

// tickRoles does what is due for requests and permits.
func (d *Daemon) tickRoles(now time.Time) {
	d.doEntry(now, d.entry.Tick(now))
	d.doOwner(now, d.owner.Tick(now))
}

// untilWake returns the time until a request or permit needs attention.
func (d *Daemon) untilWake(now time.Time) time.Duration {
	wait := tickPeriod
	for _, next := range []time.Time{d.entry.Next(), d.owner.Next()} {
		if !next.IsZero() {
			wait = min(wait, next.Sub(now))
		}
	}
	return max(wait, wakeLeast)
}

// post passes an event to run, waiting for room; it reports false once the
// daemon is closed.
func (d *Daemon) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// offer passes an event to run unless the queue is full.
func (d *Daemon) offer(ev event) bool {
	select {
	case d.events <- ev:
		return true
	default:
		return false
	}
}
