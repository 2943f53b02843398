// Package bbtdaemon runs the entry process of a host on a platform that publishes
// the configuration, that is, zones, endpoints and contracts, as a manifest and its
// parts. It connects the state machines of the core packages to callers, endpoints,
// peers and the platform.
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

// Limits, periods and timeouts of a daemon.
const (
	eventQueueSize         = 4096
	tickPeriod             = 50 * time.Millisecond
	executorTickPeriod     = time.Second
	minWakeDelay           = time.Millisecond
	ticketSecretBytes      = 32
	crashAgentTickPeriod   = 200 * time.Millisecond
	loadPollPeriod         = 500 * time.Millisecond
	loadTimeout            = time.Second
	defaultAddressLifetime = 30 * time.Second
)

// Daemon is the entry process of one host. All its state is confined to the
// goroutine of run; other goroutines send it events.
type Daemon struct {
	id         bbtfleet.HostID
	start      time.Time
	log        *zap.Logger
	counters   *bbtmetric.Counters
	platform   bluebelltray.Platform
	peers      peers
	seeds      []bbtfleet.Host
	backend    bluebelltray.Backend
	loadReader *bbthttp.LoadReader
	lifetime   time.Duration // how long callers may cache the result of Addresses
	events     chan event
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	// The view, that is, the active configuration and host list, and the ownership
	// of endpoints derived from it.
	view            *bbtview.View
	detector        *bbtmember.Detector
	config          *bbtfleet.Configuration
	pools           map[bbtfleet.PoolID]bbtfleet.Kind
	hosts           bbtfleet.HostList
	placement       *bbtowner.Placement // over all hosts of the host list
	callerPlacement *bbtowner.Placement // over the hosts that accept new callers; see computeCallerPlacement
	rights          *bbtowner.Rights
	owned           []bbtfleet.Endpoint // with the number of slots that this host may use
	placementStale  bool                // a host has changed state since applyPlacement last ran
	pendingQuery    *bbtpeer.Exchange   // exchange of the query being handled; nil if none
	draining        bool
	announceLeaveAt time.Time // when to tell peers that the host leaves; zero if not pending

	// Requests from admission to dispatch.
	limiter            *bbtlimit.Limiter
	awaitingCredit     map[bbtfleet.AccountID][]heldJob
	crashAgent         *bbtsuspect.Agent // limits how many endpoints one request can crash
	crashAgentTickedAt time.Time         // time of the last Tick event
	pendingClaims      map[bbtsuspect.CallID]*pendingClaim
	lastClaimID        bbtsuspect.CallID // number of the last claim, the crash agent's call; a retry after a crash takes a new one
	entry              *bbtroute.Entry
	jobs               map[bbtgrant.RequestID]*job
	lastRequestID      bbtgrant.RequestID

	// At-most-once calls.
	executor         *bbtexec.Executor
	executorTickedAt time.Time // time of the last Tick event
	calls            map[bbtexec.CallID]*call
	lastCallID       bbtexec.CallID // number of the last at-most-once call; unrelated to lastClaimID

	// The owner role: permits for the endpoints that this host owns.
	owner   *bbtgrant.Owner
	pollers map[bbtfleet.EndpointID]*poller

	loopback []any // messages from this host to itself
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l *zap.Logger) Option { return func(d *Daemon) { d.log = l } }

// WithCounters sets the metrics that the daemon updates.
func WithCounters(c *bbtmetric.Counters) Option { return func(d *Daemon) { d.counters = c } }

// WithBackend sets the backend that sends calls to endpoints.
func WithBackend(b bluebelltray.Backend) Option { return func(d *Daemon) { d.backend = b } }

// WithAddressLifetime sets how long callers may cache the result of Addresses.
func WithAddressLifetime(t time.Duration) Option { return func(d *Daemon) { d.lifetime = t } }

// WithSeeds sets the hosts to query for a view while the host list cannot be
// read.
func WithSeeds(hosts []bbtfleet.Host) Option { return func(d *Daemon) { d.seeds = hosts } }

// New starts a daemon on a host of the given availability zone. The daemon
// refuses requests until it has a view. It owns node, which is a *bbtpeer.Node
// outside tests; Close closes both.
func New(id bbtfleet.HostID, zone bbtfleet.ZoneID, platform bluebelltray.Platform, node peers, opts ...Option) *Daemon {
	start := time.Now()
	incarnation := uint64(start.UnixNano())
	rng := rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(id))))
	ctx, cancel := context.WithCancel(context.Background())
	var p parser
	d := &Daemon{
		id:             id,
		start:          start,
		log:            zap.NewNop(),
		counters:       bbtmetric.New(),
		platform:       platform,
		peers:          node,
		backend:        bbthttp.NewBackend(),
		loadReader:     bbthttp.NewLoadReader(loadTimeout),
		lifetime:       defaultAddressLifetime,
		events:         make(chan event, eventQueueSize),
		ctx:            ctx,
		cancel:         cancel,
		detector:       bbtmember.New(id, bbtfleet.Incarnation(incarnation), rng),
		entry:          bbtroute.New(id, start),
		owner:          bbtgrant.New(bbtgrant.WithPermitIDBase(bbtgrant.PermitID(incarnation))),
		executor:       newExecutor(id, bbtfleet.Incarnation(incarnation), start),
		calls:          make(map[bbtexec.CallID]*call),
		limiter:        bbtlimit.New(id),
		rights:         bbtowner.NewRights(id),
		awaitingCredit: make(map[bbtfleet.AccountID][]heldJob),
		crashAgent:     bbtsuspect.NewAgent(id, bbtfleet.Incarnation(incarnation), keyHome),
		pendingClaims:  make(map[bbtsuspect.CallID]*pendingClaim),
		jobs:           make(map[bbtgrant.RequestID]*job),
		pollers:        make(map[bbtfleet.EndpointID]*poller),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.view = bbtview.New(id, zone, rng, bbtview.WithParsers(p.parseManifest, p.parseConfiguration), bbtview.WithSeeds(hostIDs(d.seeds)...))
	node.SetHosts(d.seeds)
	r := &peerReceiver{daemon: d, node: node}
	d.wg.Go(r.run)
	d.wg.Go(d.run)
	return d
}

func hostIDs(hosts []bbtfleet.Host) []bbtfleet.HostID {
	ids := make([]bbtfleet.HostID, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID())
	}
	return ids
}

// newExecutor returns an executor that issues tickets with a random secret of
// this process.
func newExecutor(id bbtfleet.HostID, inc bbtfleet.Incarnation, start time.Time) *bbtexec.Executor {
	secret := make([]byte, ticketSecretBytes)
	_, _ = crand.Read(secret) // never fails
	return bbtexec.New(bbtticket.NewIssuer(id, inc, start, secret), bbtledger.NewLedger(), bbthome.New(id, keyHome))
}

// Counters returns the daemon's metrics.
func (d *Daemon) Counters() *bbtmetric.Counters { return d.counters }

// Close stops the daemon and waits for its goroutines. Running requests are
// aborted; use Drain first to let them finish.
func (d *Daemon) Close() {
	d.cancel()
	d.peers.Close()
	d.wg.Wait()
	d.loadReader.Close()
}

// run applies events one at a time.
func (d *Daemon) run() {
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	wake := time.NewTimer(tickPeriod)
	defer wake.Stop()
	now := time.Now()
	d.performViewActions(now, d.view.Start(now))
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
		d.deliverLoopback(time.Now())
		wake.Reset(d.untilWake(time.Now()))
	}
}

// tick performs periodic work.
func (d *Daemon) tick(now time.Time) {
	d.performDetectorActions(now, d.detector.Tick(now, d.view.Digest(now)))
	d.performViewActions(now, d.view.Tick(now))
	if !d.view.Fresh(now) {
		d.rights.Suspend(now)
	}
	d.announceLeave(now)
	d.detector.SetPartners(d.rights.ProbeTargets(now, d.contact))
	if d.placementStale {
		d.applyPlacement(now)
	}
	d.updateOwnedEndpoints(now, false)
	if d.view.Fresh(now) {
		d.performOwnerActions(now, d.owner.ConfirmView(now))
	}
	if now.Sub(d.executorTickedAt) >= executorTickPeriod {
		d.executorTickedAt = now
		d.stepExecutor(now, bbtexec.Tick{})
		d.pruneCalls()
		d.limiter.Tick(now)
		d.updateGauges(now)
	}
	d.resumeExpired(now)
	if now.Sub(d.crashAgentTickedAt) >= crashAgentTickPeriod {
		d.crashAgentTickedAt = now
		d.stepCrashAgent(now, bbtsuspect.Tick{})
	}
	d.tickRoles(now)
}

// tickRoles processes expired timers of requests and permits.
func (d *Daemon) tickRoles(now time.Time) {
	d.performEntryActions(now, d.entry.Tick(now))
	d.performOwnerActions(now, d.owner.Tick(now))
}

// untilWake returns the time until the next timer of a request or permit,
// between minWakeDelay and tickPeriod.
func (d *Daemon) untilWake(now time.Time) time.Duration {
	wait := tickPeriod
	for _, next := range []time.Time{d.entry.Next(), d.owner.Next()} {
		if !next.IsZero() {
			wait = min(wait, next.Sub(now))
		}
	}
	return max(wait, minWakeDelay)
}

// post queues an event for run and blocks while the queue is full. It returns
// false if the daemon is closed.
func (d *Daemon) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// offer queues an event for run without blocking. It returns false if the queue
// is full.
func (d *Daemon) offer(ev event) bool {
	select {
	case d.events <- ev:
		return true
	default:
		return false
	}
}
