package bbtedge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtcatalog"
	"bluebelltray/core/bbtentry"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtlead"
	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtschedule"
	"bluebelltray/io/bbtmetric"
	"bluebelltray/io/bbtpeer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Bounds and periods of an edge.
const (
	eventQueueCapacity = 4096
	tickPeriod         = 50 * time.Millisecond
	busyTickPeriod     = 10 * time.Millisecond // while requests wait for endpoints
	membershipPeriod   = 200 * time.Millisecond
	loadLogPeriod      = time.Second // between log lines on the owner's endpoints
	// endpointsPerLoadLine is how many endpoints a line on their load holds. Readers of pipes
	// take lines of a few KB.
	endpointsPerLoadLine = 24
	catalogPeriod        = 200 * time.Millisecond // for what time alone changes
)

// peers is a host's end of the connections to its peers; *bbtpeer.Node is one.
type peerTransport interface {
	SetHosts(hosts []bbtfleet.Host)
	Send(to bbtfleet.HostID, msg any) bool
	Reset(host bbtfleet.HostID)
	Inbox() <-chan bbtpeer.Inbound
	Lost() <-chan bbtfleet.HostID
	Close() error
}

// Edge is one entry host. All its state belongs to the goroutine of run; other
// goroutines pass it events.
type Edge struct {
	settings        Settings
	log             *zap.Logger
	counters        *bbtmetric.Counters
	peers           peerTransport
	addressTTLBound time.Duration // operators' bound on that of an address answer
	events          chan event
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	// For other goroutines.
	index     atomic.Pointer[bbtcatalog.Index]
	addresses atomic.Pointer[[]string]
	ready     atomic.Bool
	leaving   atomic.Bool
	reader    *reader

	catalog            *bbtcatalog.Catalog
	detector           *bbtmember.Detector
	election           *bbtlead.Election
	hosts              []bbtfleet.Host               // without this one
	peerConfirmedAt    map[bbtfleet.HostID]time.Time // when a peer's view was confirmed by the platform last
	updateRequestedAt  time.Time                     // when a peer was asked for its catalog last
	discoveredAt       time.Time                     // when a host was met last that was not known
	snapshotAt         time.Time                     // when a host was told of all others last
	rng                *rand.Rand
	membershipAt       time.Time
	catalogPublishedAt time.Time
	loadLoggedAt       time.Time

	entry           *bbtentry.Entry
	requests        map[bbtschedule.RequestID]*Request
	scheduler       *bbtschedule.Scheduler
	ownerDeficitsAt time.Time             // when the owner told what accounts have used
	ownerDeficits   []bbtschedule.Deficit // of that
	localMessages   []any                 // messages to this host itself
}

// Option sets an optional part of an Edge.
type Option func(*Edge)

// WithLogger sets where decisions are logged.
func WithLogger(l *zap.Logger) Option { return func(e *Edge) { e.log = l } }

// WithCounters sets the metrics that the edge counts in.
func WithCounters(c *bbtmetric.Counters) Option { return func(e *Edge) { e.counters = c } }

// New returns an edge, which owns node from then on. Close ends both.
func New(s Settings, source bluebelltray.Source, node peerTransport, opts ...Option) *Edge {
	now := time.Now()
	incarnation := bbtlead.NewIncarnation(now, s.Cores)
	rng := rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(s.Host))))
	ctx, cancel := context.WithCancel(context.Background())
	e := &Edge{
		settings:        s,
		log:             zap.NewNop(),
		counters:        bbtmetric.New(),
		peers:           node,
		addressTTLBound: s.Bounds.Lifetime,
		events:          make(chan event, eventQueueCapacity),
		ctx:             ctx,
		cancel:          cancel,
		catalog:         bbtcatalog.NewCatalog(s.Bounds.Drain),
		detector:        bbtmember.New(s.Host, bbtfleet.Incarnation(incarnation), rng),
		rng:             rng,
		election:        bbtlead.New(bbtlead.Host{ID: s.Host, Incarnation: incarnation}),
		peerConfirmedAt: make(map[bbtfleet.HostID]time.Time),
		entry:           bbtentry.New(bbtschedule.RequestID(incarnation<<20), s.Bounds),
		requests:        make(map[bbtschedule.RequestID]*Request),
		scheduler:       newScheduler(s, now),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.index.Store(bbtcatalog.NewIndex(nil))
	e.addresses.Store(&[]string{s.ListenAddr})
	e.reader = &reader{edge: e, source: source, applyTime: s.Bounds.ApplyTime}
	for _, id := range s.Seeds {
		e.hosts = append(e.hosts, e.settings.newHost(id))
	}
	e.wg.Go(e.run)
	e.wg.Go(e.reader.run)
	return e
}

// newScheduler returns the owner role of a process that begins now.
func newScheduler(s Settings, now time.Time) *bbtschedule.Scheduler {
	if s.FirstStart {
		return bbtschedule.New(s.Bounds)
	}
	return bbtschedule.New(s.Bounds, bbtschedule.WithPriorUsage(now))
}

// Close ends the edge and waits for its goroutines.
func (e *Edge) Close() {
	e.cancel()
	e.peers.Close()
	e.wg.Wait()
}

// Index returns the configuration in force.
func (e *Edge) Index() *bbtcatalog.Index { return e.index.Load() }

// Ready reports whether the host takes requests.
func (e *Edge) Ready() bool { return e.ready.Load() && !e.leaving.Load() }

// Zone returns the host's availability zone.
func (e *Edge) Zone() bbtfleet.ZoneID { return e.settings.Zone }

// Leaving reports whether the host is about to stop.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// maxAddressTTL is how long callers keep an address answer, unless the operators'
// bound is shorter. It is the time a host that leaves waits for them.
const maxAddressTTL = 1500 * time.Millisecond

// Addresses returns the caller addresses to use, and for how long.
func (e *Edge) Addresses() ([]string, time.Duration) {
	return *e.addresses.Load(), min(maxAddressTTL, e.addressTTLBound)
}

// Reload takes over new settings as far as they can change while the process
// runs.
func (e *Edge) Reload(s Settings) { e.post(settingsReloaded{s}) }

// Leave makes the host known as leaving; it takes requests on until it closes.
func (e *Edge) Leave() {
	e.leaving.Store(true)
	e.post(leaveRequested{})
}

// run applies events one after the other.
func (e *Edge) run() {
	now := time.Now()
	e.setHosts(now)
	wake := time.NewTimer(tickPeriod)
	defer wake.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case ev := <-e.events:
			ev.apply(e, time.Now())
		case in := <-e.peers.Inbox():
			e.receive(time.Now(), in.From(), in.Message())
		case <-e.peers.Lost():
			e.counters.Add("peer-connections-lost", 1)
		case <-wake.C:
			e.tick(time.Now())
			wake.Reset(e.tickInterval())
		}
		e.deliverLocal(time.Now())
	}
}

// period returns the time until the next tick.
func (e *Edge) tickInterval() time.Duration {
	if e.scheduler.HasWaiting() {
		return busyTickPeriod
	}
	return tickPeriod
}

// tick does what is due by time alone.
func (e *Edge) tick(now time.Time) {
	if now.Sub(e.membershipAt) >= membershipPeriod {
		e.membershipAt = now
		e.sendSnapshot(now)
		e.doDetector(now, e.detector.Tick(now, e.digest(now)))
		e.electOwner(now)
		e.updateAddresses()
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

// logLoad logs once in a while what the owner knows of its endpoints.
func (e *Edge) logLoad(now time.Time) {
	if now.Sub(e.loadLoggedAt) < loadLogPeriod {
		return
	}
	e.loadLoggedAt = now
	services := e.scheduler.Status(now)
	e.setGauges(now, services)
	if e.entry.Owner() != e.settings.Host {
		return
	}
	for _, st := range services {
		for part := range slices.Chunk(st.Endpoints, endpointsPerLoadLine) {
			e.log.Info("load", zap.String("service", st.Name), zap.Int("waiting", st.Waiting),
				zap.Float64("per-second", st.PermitsPerSecond), zap.Float64("share", e.scheduler.Share()), zap.Any("endpoints", part))
		}
	}
}

// gauge sets the gauges.
func (e *Edge) setGauges(now time.Time, services []bbtschedule.ServiceStatus) {
	waiting, running, cold := 0, 0, 0
	for _, st := range services {
		waiting, running, cold = waiting+st.Waiting, running+st.Running(), cold+st.Cold()
	}
	e.counters.Set("requests-waiting", int64(waiting))
	e.counters.Set("permits-out", int64(running))
	e.counters.Set("endpoints-cold", int64(cold))
	e.counters.Set("requests-in-hand", int64(e.entry.Len()))
	e.counters.Set("platform-revision", int64(e.catalog.Revision()))
	e.counters.Set("hosts-up", int64(len(*e.addresses.Load())))
	if at := e.reader.confirmedAt(); !at.IsZero() {
		e.counters.Set("platform-age-ms", now.Sub(at).Milliseconds())
	}
	owner := int64(0)
	if e.entry.Owner() == e.settings.Host {
		owner = 1
	}
	e.counters.Set("is-owner", owner)
}

// post passes an event to run, waiting for room; it reports false once the
// edge is closed.
func (e *Edge) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ctx.Done():
		return false
	}
}
