package bbtedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlead"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtroom"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Queue capacity, periods and log line size of an edge.
const (
	eventQueueCapacity = 4096
	tickPeriod         = 50 * time.Millisecond
	busyTickPeriod     = 10 * time.Millisecond // while requests wait for endpoints
	membershipPeriod   = 200 * time.Millisecond
	loadLogPeriod      = time.Second // between log lines on the load of the owner's endpoints
	// endpointsPerLoadLine limits the size of a load log line: log collectors that
	// read the output through a pipe accept only lines of a few KB.
	endpointsPerLoadLine = 24
	catalogPeriod        = 200 * time.Millisecond // between calls of publishCatalog, so that delayed removals take effect
)

// peerTransport exchanges messages with the other hosts. *bbtpeer.Node implements
// it.
type peerTransport interface {
	SetHosts(hosts []bbtfleet.Host)
	Send(to bbtfleet.HostID, msg any) bool
	Reconnect(host bbtfleet.HostID)
	Connect(host bbtfleet.HostID)
	Inbox() <-chan bbtpeer.Inbound
	Lost() <-chan bbtfleet.HostID
	Close() error
}

// Edge is one entry host. Only the goroutine of run accesses its mutable state,
// except for the fields marked below. Other goroutines post events to it.
type Edge struct {
	settings        Settings
	log             *zap.Logger
	counters        *bbtmetric.Counters
	peers           peerTransport
	addressTTLBound time.Duration // operators' upper bound on the lifetime of an address lookup result
	events          chan event
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	// Read by other goroutines too.
	index     atomic.Pointer[bbtcatalog.Index]
	entrances atomic.Pointer[[]bbtlead.Entrance]
	ready     atomic.Bool
	leaving   atomic.Bool
	reader    *reader

	catalog            *bbtcatalog.Catalog
	detector           *bbtmember.Detector
	election           *bbtlead.Election
	hosts              []bbtfleet.Host               // the known hosts other than this one
	peerConfirmedAt    map[bbtfleet.HostID]time.Time // when the platform last confirmed the view of a peer
	updateRequestedAt  time.Time                     // when a peer was last asked for catalog changes
	discoveredAt       time.Time                     // when a host unknown until then was last discovered
	snapshotAt         time.Time                     // when the last membership snapshot was sent
	rng                *rand.Rand
	membershipTickedAt time.Time
	catalogPublishedAt time.Time
	excludedEndpoints  int // at addresses of hosts
	loadLoggedAt       time.Time
	loop               loopStats
	standby            bbtfleet.HostID // that this host connects to at standbyConnectAt
	standbyConnectAt   time.Time

	entry           *bbtentry.Entry
	requests        map[bbtschedule.RequestID]*Request
	relocations     map[bbtschedule.RequestID]chan<- RelocationAnswer // where the answer to Request.Relocate goes
	scheduler       *bbtschedule.Scheduler
	ownerDeficitsAt time.Time             // when ownerDeficits arrived
	ownerDeficits   []bbtschedule.Deficit // of client accounts, as last reported by the owner
	localMessages   []any                 // messages from this host to itself
}

// Option sets an optional part of an Edge.
type Option func(*Edge)

// WithLogger sets the logger, by default one that discards everything.
func WithLogger(l *zap.Logger) Option { return func(e *Edge) { e.log = l } }

// WithCounters sets the counters that the edge updates.
func WithCounters(c *bbtmetric.Counters) Option { return func(e *Edge) { e.counters = c } }

// New starts an edge on a transport. Close closes the transport too.
func New(s Settings, source bluebelltray.Source, transport peerTransport, opts ...Option) *Edge {
	now := time.Now()
	incarnation := bbtlead.NewIncarnation(now, s.Cores)
	rng := rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(s.Host))))
	ctx, cancel := context.WithCancel(context.Background())
	// The base of the request IDs grows by 2^20 per microsecond between starts, so
	// that a process uses none of the IDs of earlier ones.
	e := &Edge{
		settings:        s,
		log:             zap.NewNop(),
		counters:        bbtmetric.New(),
		peers:           transport,
		addressTTLBound: s.Bounds.Lifetime,
		events:          make(chan event, eventQueueCapacity),
		ctx:             ctx,
		cancel:          cancel,
		catalog:         bbtcatalog.NewCatalog(s.Bounds),
		detector:        bbtmember.New(s.Host, bbtfleet.Incarnation(incarnation), rng),
		rng:             rng,
		election:        bbtlead.New(bbtlead.Host{ID: s.Host, Incarnation: incarnation}),
		peerConfirmedAt: make(map[bbtfleet.HostID]time.Time),
		entry:           bbtentry.New(bbtschedule.RequestID(incarnation<<20), s.Bounds),
		requests:        make(map[bbtschedule.RequestID]*Request),
		relocations:     make(map[bbtschedule.RequestID]chan<- RelocationAnswer),
		scheduler:       newScheduler(s, now),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.index.Store(bbtcatalog.NewIndex(nil))
	e.entrances.Store(&[]bbtlead.Entrance{{Addr: s.ListenAddr}})
	e.reader = &reader{edge: e, source: source, applyTime: s.Bounds.ApplyTime}
	for _, id := range s.Seeds {
		e.hosts = append(e.hosts, e.settings.newHost(id))
	}
	e.wg.Go(e.run)
	e.wg.Go(e.reader.run)
	return e
}

// newScheduler returns a scheduler that, unless the fleet starts for the first
// time, assumes that client accounts have exhausted their limits.
func newScheduler(s Settings, now time.Time) *bbtschedule.Scheduler {
	var opts []bbtschedule.Option
	if s.TierRoomObjective > 0 {
		opts = append(opts, bbtschedule.WithTierRoom(s.TierRoomObjective))
	}
	if !s.FirstStart {
		opts = append(opts, bbtschedule.WithPriorUsage(now))
	}
	return bbtschedule.New(s.Bounds, opts...)
}

// Close stops the edge, closes its transport and waits for its goroutines.
func (e *Edge) Close() {
	e.cancel()
	e.peers.Close()
	e.wg.Wait()
}

// Index returns the configuration in force.
func (e *Edge) Index() *bbtcatalog.Index { return e.index.Load() }

// Ready reports whether the host has a configuration and is not leaving.
func (e *Edge) Ready() bool { return e.ready.Load() && !e.leaving.Load() }

// Zone returns the host's availability zone.
func (e *Edge) Zone() bbtfleet.ZoneID { return e.settings.Zone }

// Leaving reports whether Leave has been called.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// maxAddressTTL is the longest time for which callers may cache an address lookup
// result. A leaving host waits longer than that before it stops accepting callers.
const maxAddressTTL = 1500 * time.Millisecond

// Addresses returns the addresses of the hosts that accept requests of a new caller,
// which is known by any name that it keeps, and how long the caller may cache them.
func (e *Edge) Addresses(caller string) ([]string, time.Duration) {
	return bbtlead.Entrances(caller, *e.entrances.Load()), min(maxAddressTTL, e.addressTTLBound)
}

// Reload applies those of the new settings that can change while the process
// runs.
func (e *Edge) Reload(s Settings) { e.post(settingsReloaded{s}) }

// Leave announces to the other hosts that this one leaves. The host accepts
// requests until Close is called.
func (e *Edge) Leave() {
	e.leaving.Store(true)
	e.post(leaveRequested{})
}

// run is the event loop.
func (e *Edge) run() {
	now := time.Now()
	e.setHosts(now)
	wake := time.NewTimer(tickPeriod)
	defer wake.Stop()
	for {
		var began time.Time
		select {
		case <-e.ctx.Done():
			return
		case ev := <-e.events:
			began = time.Now()
			ev.apply(e, began)
		case in := <-e.peers.Inbox():
			began = time.Now()
			e.receive(began, in.From(), in.Message())
		case <-e.peers.Lost():
			began = time.Now()
			e.counters.Add("peer-connections-lost", 1)
		case <-wake.C:
			began = time.Now()
			e.tick(began)
			wake.Reset(e.tickInterval())
		}
		e.deliverLocal(began)
		e.logNotices()
		e.loop.busy += time.Since(began)
	}
}

// tickInterval returns the time until the next tick.
func (e *Edge) tickInterval() time.Duration {
	if e.scheduler.HasWaiting() {
		return busyTickPeriod
	}
	return tickPeriod
}

// tick runs the periodic work of all roles.
func (e *Edge) tick(now time.Time) {
	if now.Sub(e.membershipTickedAt) >= membershipPeriod {
		e.membershipTickedAt = now
		e.sendSnapshot(now)
		e.doDetector(now, e.detector.Tick(now, e.digest(now)))
		e.electOwner(now)
		e.connectStandby(now)
		e.updateEntrances()
		e.setShare(now)
		e.reader.setMode(e.election.ReadsPlatform(len(e.hosts), now.Sub(e.confirmedAt()), e.settings.Bounds.ApplyTime), !bbtlead.SmallFleet(len(e.hosts)))
	}
	if now.Sub(e.catalogPublishedAt) >= catalogPeriod {
		e.publishCatalog(now)
	}
	e.doEntry(now, e.entry.Tick(now))
	e.doScheduler(e.scheduler.Tick(now))
	e.logLoad(now)
}

// logLoad updates the gauges once per loadLogPeriod and, on the owner, logs the
// load of its endpoints.
func (e *Edge) logLoad(now time.Time) {
	if now.Sub(e.loadLoggedAt) < loadLogPeriod {
		return
	}
	e.loadLoggedAt = now
	e.reportLoop(now)
	services := e.scheduler.Status(now)
	e.setGauges(now, services)
	if e.entry.Owner() != e.settings.Host {
		return
	}
	for _, st := range services {
		if t := st.Tiers; t != nil {
			e.log.Info("room", zap.String("service", st.Name), zap.Int("waiting", st.Waiting), zap.Float64("load", t.Load),
				zap.Int("promises", t.Promises), zap.Int("limited", t.Limited), zap.Any("forecasts", t.Forecasts))
		}
		for part := range slices.Chunk(st.Endpoints, endpointsPerLoadLine) {
			e.log.Info("load", zap.String("service", st.Name), zap.Int("waiting", st.Waiting),
				zap.Float64("per-second", st.PermitsPerSecond), zap.Float64("share", e.scheduler.Share()), zap.Any("endpoints", part))
		}
	}
}

func (e *Edge) setGauges(now time.Time, services []bbtschedule.ServiceStatus) {
	waiting, running, cold := 0, 0, 0
	for _, st := range services {
		waiting, running, cold = waiting+st.Waiting, running+st.Running(), cold+st.Cold()
	}
	e.setRoomGauges(services)
	e.counters.Set("requests-waiting", int64(waiting))
	e.counters.Set("permits-out", int64(running))
	e.counters.Set("endpoints-cold", int64(cold))
	e.counters.Set("requests-in-hand", int64(e.entry.Len()))
	e.counters.Set("platform-revision", int64(e.catalog.Position().Revision))
	e.counters.Set("hosts-up", int64(len(*e.entrances.Load())))
	if at := e.reader.confirmedAt(); !at.IsZero() {
		e.counters.Set("platform-age-ms", now.Sub(at).Milliseconds())
	}
	owner := int64(0)
	if e.entry.Owner() == e.settings.Host {
		owner = 1
	}
	e.counters.Set("is-owner", owner)
}

// setRoomGauges sets the gauges of the services that keep room for their tiers.
func (e *Edge) setRoomGauges(services []bbtschedule.ServiceStatus) {
	promises, limited, tiers := 0, 0, make(map[int]bbtroom.TierScore)
	for _, st := range services {
		if st.Tiers == nil {
			continue
		}
		promises, limited = promises+st.Tiers.Promises, limited+st.Tiers.Limited
		for _, f := range st.Tiers.Forecasts {
			sum := tiers[f.Tier]
			sum.Served, sum.Late, sum.Broken, sum.Refused = sum.Served+f.Served, sum.Late+f.Late, sum.Broken+f.Broken, sum.Refused+f.Refused
			tiers[f.Tier] = sum
		}
	}
	e.counters.Set("promises-open", int64(promises))
	e.counters.Set("endpoints-limited", int64(limited))
	for tier, f := range tiers {
		e.counters.Set("forecasts-kept-tier-"+strconv.Itoa(tier), f.Served-f.Late)
		e.counters.Set("forecasts-exceeded-tier-"+strconv.Itoa(tier), f.Late)
		e.counters.Set("forecasts-broken-tier-"+strconv.Itoa(tier), f.Broken)
		e.counters.Set("refused-on-arrival-tier-"+strconv.Itoa(tier), f.Refused)
	}
}

// post passes an event to run and blocks while the queue is full. It returns
// false once the edge is closed.
func (e *Edge) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ctx.Done():
		return false
	}
}
