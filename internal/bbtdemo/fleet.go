// Package bbtdemo runs a small fleet in one process over loopback: a platform,
// endpoints, entry hosts and callers.
package bbtdemo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/internal/bbtstandin"
	"bluebelltray/io/bbtapp"
	"bluebelltray/io/bbtkey"
	"bluebelltray/io/bbtpeer"
	"bluebelltray/io/bbtsettings"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Parameters of the demo's fleet.
const (
	hostCount         = 4
	enginesPerSpeed   = 2
	fastTokenInterval = 6 * time.Millisecond
	slowTokenInterval = 12 * time.Millisecond
	initialServed     = 1000 // the engines count as warm from the start
	endpointSlots     = 4
	serviceDelay      = 5 * time.Millisecond
	authorityLifetime = time.Hour
	addressLifetime   = 2 * time.Second // how long callers may use an address response
	readyPollInterval = 50 * time.Millisecond
	drainTime         = 7 * time.Second
	loopbackAddr      = "127.0.0.1:0"

	poolModel   bbtfleet.PoolID = "summary"
	poolService bbtfleet.PoolID = "dispatch"
)

// zones are the demo's availability zones.
var zones = [...]bbtfleet.ZoneID{"zone-a", "zone-b"}

// Fleet is a running demo fleet.
type Fleet struct {
	log       *zap.Logger
	platform  *bbtstandin.Platform
	endpoints []bbtfleet.Endpoint
	hosts     []bbtstandin.HostRecord
	apps      []*bbtapp.App
	servers   []*http.Server
	done      sync.WaitGroup
}

// Start starts the fleet and publishes its configuration.
func Start(log *zap.Logger) (*Fleet, error) {
	f := &Fleet{log: log, platform: bbtstandin.NewPlatform()}
	platformAddr, err := f.serve(f.platform)
	if err != nil {
		return nil, err
	}
	if err := f.startEndpoints(); err != nil {
		return nil, err
	}
	if err := f.startHosts(platformAddr); err != nil {
		return nil, err
	}
	f.platform.PutHosts(f.hosts)
	f.publish()
	return f, nil
}

// serve starts an HTTP server on a free port, which runs until Stop, and returns its address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &server{http: &http.Server{Handler: h}, listener: l}
	f.servers = append(f.servers, s.http)
	f.done.Go(s.run)
	return l.Addr().String(), nil
}

// server is the HTTP server of one stand-in.
type server struct {
	http     *http.Server
	listener net.Listener
}

// run serves until the server is closed.
func (s *server) run() { _ = s.http.Serve(s.listener) }

// startEndpoints starts engines of two speeds in every zone and one plain
// service.
func (f *Fleet) startEndpoints() error {
	for i, interval := range [...]time.Duration{fastTokenInterval, slowTokenInterval} {
		speed := bbtstandin.DefaultEngineSpeed()
		speed.Slots, speed.TokenInterval, speed.InitialServed = endpointSlots, interval, initialServed
		for n := range enginesPerSpeed {
			id := bbtfleet.EndpointID(fmt.Sprintf("engine-%d-%d", i, n))
			err := f.startEndpoint(id, n, bbtfleet.ModelEngine, poolModel, bbtstandin.NewEngine(speed, true))
			if err != nil {
				return err
			}
		}
	}
	return f.startEndpoint("service-0", 0, bbtfleet.PlainService, poolService, bbtstandin.NewService(serviceDelay))
}

// startEndpoint starts one endpoint in the n-th zone, modulo the number of zones.
func (f *Fleet) startEndpoint(id bbtfleet.EndpointID, n int, kind bbtfleet.Kind, pool bbtfleet.PoolID, h http.Handler) error {
	addr, err := f.serve(h)
	if err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, bbtfleet.NewEndpoint(id, zones[n%len(zones)], kind, pool,
		bbtfleet.WithAddr(addr), bbtfleet.WithSlots(endpointSlots), bbtfleet.WithFencing(true)))
	return nil
}

// startHosts starts the entry hosts with certificates from one new authority.
func (f *Fleet) startHosts(platformAddr string) error {
	authority, err := bbtkey.NewAuthority(authorityLifetime)
	if err != nil {
		return err
	}
	for i := range hostCount {
		id := bbtfleet.HostID(fmt.Sprintf("host-%d", i))
		cert, err := authority.Issue(id)
		if err != nil {
			return err
		}
		identity := bbtpeer.NewIdentity(cert, authority.Pool())
		if err := f.startHost(id, zones[i%len(zones)], platformAddr, identity); err != nil {
			return err
		}
	}
	return nil
}

// startHost starts one entry host on free ports.
func (f *Fleet) startHost(id bbtfleet.HostID, zone bbtfleet.ZoneID, platformAddr string, identity bbtpeer.Identity) error {
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	packets, err := net.ListenPacket("udp", loopbackAddr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	s := bbtsettings.New(id, zone,
		bbtsettings.WithPlatformAddr(platformAddr),
		bbtsettings.WithAddressLifetime(addressLifetime),
		bbtsettings.WithDrainTime(drainTime))
	app, err := bbtapp.Assemble(s, f.log.With(zap.String("host", string(id))), identity, l, packets)
	if err != nil {
		return err
	}
	f.apps = append(f.apps, app)
	f.hosts = append(f.hosts, bbtstandin.HostRecord{
		ID:            string(id),
		Zone:          string(zone),
		PeerAddress:   packets.LocalAddr().String(),
		CallerAddress: l.Addr().String(),
		State:         "live",
	})
	r := &runner{app: app, log: f.log}
	f.done.Go(r.run)
	return nil
}

// runner runs one entry host.
type runner struct {
	app *bbtapp.App
	log *zap.Logger
}

// run serves until the app is stopped.
func (r *runner) run() {
	if err := r.app.Run(); err != nil {
		r.log.Error("entry host ended with an error", zap.Error(err))
	}
}

// publish stores the demo's configuration in the configuration service.
func (f *Fleet) publish() {
	var contracts []bbtfleet.Contract
	for _, a := range accounts {
		contracts = append(contracts, a.contract())
	}
	var configZones []bbtfleet.Zone
	for _, z := range zones {
		configZones = append(configZones, bbtfleet.NewZone(z, "demo", false))
	}
	manifest, parts := bbtconfig.Format(1, bbtfleet.NewConfiguration(bbtfleet.Version{},
		bbtfleet.WithZones(configZones...),
		bbtfleet.WithEndpoints(f.endpoints...),
		bbtfleet.WithContracts(contracts...)))
	for _, p := range parts {
		f.platform.Put(p.Key(), p.Data())
	}
	f.platform.Put(bbtconfig.ManifestKey, manifest)
}

// CallerAddrs returns the caller addresses of all hosts.
func (f *Fleet) CallerAddrs() []string {
	var addrs []string
	for _, h := range f.hosts {
		addrs = append(addrs, h.CallerAddress)
	}
	return addrs
}

// HostCount returns the number of running entry hosts.
func (f *Fleet) HostCount() int { return len(f.apps) }

// CounterTotal returns the sum of a counter over all hosts.
func (f *Fleet) CounterTotal(name string) int64 {
	var n int64
	for _, app := range f.apps {
		n += app.Daemon().Counters().Get(name)
	}
	return n
}

// AwaitReady waits until every host serves and the hosts' usable slots add up to all
// slots of the endpoints. It returns an error if ctx ends first.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	ticks := time.NewTicker(readyPollInterval)
	defer ticks.Stop()
	for !f.isReady() {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for hosts to serve")
		}
	}
	return nil
}

// isReady reports whether all hosts serve and their usable slots add up to all slots.
func (f *Fleet) isReady() bool {
	usableSlots, slots := 0, 0
	for _, ep := range f.endpoints {
		slots += ep.Slots()
	}
	for _, app := range f.apps {
		s := app.Daemon().Status()
		if !s.Serving {
			return false
		}
		for _, o := range s.OwnedEndpoints {
			usableSlots += o.UsableSlots
		}
	}
	return usableSlots == slots
}

// stopper drains one entry host.
type stopper struct {
	app *bbtapp.App
	log *zap.Logger
}

// run stops the host and returns once it has drained.
func (s *stopper) run() {
	if err := s.app.Stop(); err != nil {
		s.log.Error("stop", zap.Error(err))
	}
}

// Stop drains all hosts concurrently and then closes the stand-ins' servers.
func (f *Fleet) Stop() {
	var stopped sync.WaitGroup
	for _, app := range f.apps {
		s := &stopper{app: app, log: f.log}
		stopped.Go(s.run)
	}
	stopped.Wait()
	for _, s := range f.servers {
		s.Close()
	}
	f.done.Wait()
}
