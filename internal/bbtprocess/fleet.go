package bbtprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bluebelltray/core/bbtconfig"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/internal/bbtstandin"
	"bluebelltray/io/bbtkey"
	"github.com/cockroachdb/errors"
)

// authorityLifetime is the validity period of a test fleet's keys.
const authorityLifetime = time.Hour

// pollInterval is the interval at which Await checks its condition.
const pollInterval = 20 * time.Millisecond

// Fleet is a set of processes that communicate over loopback.
type Fleet struct {
	dir         string
	log         io.Writer
	binaries    Binaries
	authority   *bbtkey.Authority
	platform    *Process
	endpoints   []bbtfleet.Endpoint
	hostRecords []bbtstandin.HostRecord
	processes   map[string]*Process
	network     *Network // nil if hosts reach each other directly
	revision    bbtfleet.Revision
}

// NewFleet returns a fleet that consists of a platform only. Files are written to
// dir, the processes' standard error to log.
func NewFleet(dir string, b Binaries, log io.Writer) (*Fleet, error) {
	authority, err := bbtkey.NewAuthority(authorityLifetime)
	if err != nil {
		return nil, err
	}
	platform, err := startStandin(log, b.standin, "platform")
	if err != nil {
		return nil, err
	}
	return &Fleet{
		dir:       dir,
		log:       log,
		binaries:  b,
		authority: authority,
		platform:  platform,
		processes: map[string]*Process{"platform": platform},
	}, nil
}

// Close kills all processes.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.Kill()
	}
}

// Process returns the process with the given name, or nil if there is none.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// SetNetwork routes traffic between hosts added after this call through n.
func (f *Fleet) SetNetwork(n *Network) { f.network = n }

// AddEndpoint starts an endpoint: a stand-in with the given command line arguments.
func (f *Fleet) AddEndpoint(id bbtfleet.EndpointID, zone bbtfleet.ZoneID, kind bbtfleet.Kind, pool bbtfleet.PoolID, slots int, args ...string) error {
	p, err := startStandin(f.log, f.binaries.standin, args...)
	if err != nil {
		return err
	}
	f.processes[string(id)] = p
	f.endpoints = append(f.endpoints, bbtfleet.NewEndpoint(id, zone, kind, pool,
		bbtfleet.WithAddr(p.Addr()), bbtfleet.WithSlots(slots)))
	return nil
}

// AddHost starts an entry host on free ports and publishes the extended host
// list.
func (f *Fleet) AddHost(id bbtfleet.HostID, zone bbtfleet.ZoneID) error {
	callerAddr, err := freeAddr("tcp")
	if err != nil {
		return err
	}
	peerAddr, err := freeAddr("udp")
	if err != nil {
		return err
	}
	reachableAddr := peerAddr
	if f.network != nil {
		if reachableAddr, err = f.network.Add(id, peerAddr); err != nil {
			return err
		}
	}
	f.hostRecords = append(f.hostRecords, bbtstandin.HostRecord{
		ID: string(id), Zone: string(zone), PeerAddress: reachableAddr, CallerAddress: callerAddr, State: "live",
	})
	if err := f.writeSettings(id, zone, callerAddr, peerAddr); err != nil {
		return err
	}
	if err := f.StartHost(id); err != nil {
		return err
	}
	return f.PublishHosts()
}

// StartHost starts the process of a host that was added with AddHost.
func (f *Fleet) StartHost(id bbtfleet.HostID) error {
	p, err := start(f.log, f.binaries.host, "serve", "--settings", f.iniPath(id))
	if err != nil {
		return err
	}
	f.processes[string(id)] = p
	return nil
}

// iniPath returns the path of a host's settings file.
func (f *Fleet) iniPath(id bbtfleet.HostID) string { return filepath.Join(f.dir, string(id)+".ini") }

// writeSettings writes a host's settings file and keys.
func (f *Fleet) writeSettings(id bbtfleet.HostID, zone bbtfleet.ZoneID, callerAddr, peerAddr string) error {
	keys, err := f.authority.IssueFiles(f.dir, id)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(settingsTemplate, id, zone, callerAddr, peerAddr, f.platform.Addr(), f.seedSetting(id),
		keys.Cert(), keys.Key(), keys.Authority())
	return os.WriteFile(f.iniPath(id), []byte(text), 0o600)
}

// seedSetting returns the settings line that lists the hosts added so far as
// seeds. It is empty if there are none.
func (f *Fleet) seedSetting(self bbtfleet.HostID) string {
	var items []string
	for _, r := range f.hostRecords {
		if r.ID != string(self) {
			items = append(items, r.ID+"@"+r.PeerAddress)
		}
	}
	if len(items) == 0 {
		return ""
	}
	return "seeds = " + strings.Join(items, ", ") + "\n"
}

// freeAddr returns a loopback address that is currently unused.
func freeAddr(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// PublishHosts publishes the current host list.
func (f *Fleet) PublishHosts() error {
	data, err := json.Marshal(f.hostRecords)
	if err != nil {
		return err
	}
	return f.putPlatform("/control/hosts", data)
}

// Publish publishes the next revision of the configuration.
func (f *Fleet) Publish(zones []bbtfleet.Zone, contracts []bbtfleet.Contract) error {
	f.revision++
	return f.PublishRevision(f.revision, zones, contracts)
}

// PublishRevision publishes the configuration with the given revision.
func (f *Fleet) PublishRevision(r bbtfleet.Revision, zones []bbtfleet.Zone, contracts []bbtfleet.Contract) error {
	manifest, parts := bbtconfig.Format(r, bbtfleet.NewConfiguration(bbtfleet.Version{},
		bbtfleet.WithZones(zones...),
		bbtfleet.WithEndpoints(f.endpoints...),
		bbtfleet.WithContracts(contracts...)))
	for _, p := range parts {
		if err := f.putPlatform("/control/values/"+p.Key(), p.Data()); err != nil {
			return err
		}
	}
	return f.putPlatform("/control/values/"+bbtconfig.ManifestKey, manifest)
}

// RestartPlatform starts an empty platform on the address of the previous one,
// which must have been killed.
func (f *Fleet) RestartPlatform() error {
	p, err := startStandin(f.log, f.binaries.standin, "platform", "--listen="+f.platform.Addr())
	if err != nil {
		return err
	}
	f.platform, f.processes["platform"] = p, p
	return nil
}

// putPlatform sends data to a control path of the platform.
func (f *Fleet) putPlatform(path string, data []byte) error {
	return Put(f.platform.Addr(), path, data)
}

// Put sends data to a control path of a stand-in.
func Put(addr, path string, data []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "put %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("put %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// Get requests a path from a process and decodes the JSON response into v.
func Get(addr, path string, v any) error {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return errors.Wrapf(err, "get %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("get %s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// CallerAddr returns the address at which a host serves callers.
func (f *Fleet) CallerAddr(id bbtfleet.HostID) string {
	for _, r := range f.hostRecords {
		if r.ID == string(id) {
			return r.CallerAddress
		}
	}
	return ""
}

// Await polls until the condition holds or ctx ends. The error names the condition,
// as described by what.
func Await(ctx context.Context, what string, holds func() bool) error {
	ticks := time.NewTicker(pollInterval)
	defer ticks.Stop()
	for !holds() {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return errors.Newf("condition %q not met: %v", what, ctx.Err())
		}
	}
	return nil
}

// settingsTemplate is the format string of a host's settings file.
const settingsTemplate = `[host]
id = %s
availability-zone = %s

[addresses]
callers = %s
peers = %s
platform = %s
%s
[keys]
certificate = %s
key = %s
authority = %s

[log]
format = console

[limits]
address-lifetime = 2s
drain-time = 20s
`
