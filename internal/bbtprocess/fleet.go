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

// authorityLife is how long the keys of a test fleet last.
const authorityLife = time.Hour

// pollPeriod is the time between two looks at a condition.
const pollPeriod = 20 * time.Millisecond

// Fleet is a set of processes on loopback.
type Fleet struct {
	dir       string
	log       io.Writer
	binaries  Binaries
	authority *bbtkey.Authority
	platform  *Process
	endpoints []bbtfleet.Endpoint
	records   []bbtstandin.HostRecord
	processes map[string]*Process
	network   *Network // nil if peers reach one another directly
	revision  bbtfleet.Revision
}

// NewFleet returns a fleet of a platform alone. Files go into dir, the
// processes' lines to log.
func NewFleet(dir string, b Binaries, log io.Writer) (*Fleet, error) {
	authority, err := bbtkey.NewAuthority(authorityLife)
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

// Process returns the process of the given name, nil if there is none.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// SetNetwork puts a network between the hosts that are added from then on.
func (f *Fleet) SetNetwork(n *Network) { f.network = n }

// AddEndpoint starts a stand-in with the given arguments as an endpoint.
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

// AddHost starts an entry host on free ports and publishes the longer host
// list.
func (f *Fleet) AddHost(id bbtfleet.HostID, zone bbtfleet.ZoneID) error {
	caller, err := freeAddr("tcp")
	if err != nil {
		return err
	}
	peer, err := freeAddr("udp")
	if err != nil {
		return err
	}
	reached := peer
	if f.network != nil {
		if reached, err = f.network.Add(id, peer); err != nil {
			return err
		}
	}
	f.records = append(f.records, bbtstandin.HostRecord{
		ID: string(id), Zone: string(zone), PeerAddress: reached, CallerAddress: caller, State: "live",
	})
	if err := f.writeSettings(id, zone, caller, peer); err != nil {
		return err
	}
	if err := f.StartHost(id); err != nil {
		return err
	}
	return f.PublishHosts()
}

// StartHost starts the process of a host that AddHost has set up.
func (f *Fleet) StartHost(id bbtfleet.HostID) error {
	p, err := start(f.log, f.binaries.host, "serve", "--settings", f.settings(id))
	if err != nil {
		return err
	}
	f.processes[string(id)] = p
	return nil
}

// settings returns the path of a host's settings.
func (f *Fleet) settings(id bbtfleet.HostID) string { return filepath.Join(f.dir, string(id)+".ini") }

// writeSettings writes a host's settings and keys.
func (f *Fleet) writeSettings(id bbtfleet.HostID, zone bbtfleet.ZoneID, caller, peer string) error {
	keys, err := f.authority.IssueFiles(f.dir, id)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(settingsText, id, zone, caller, peer, f.platform.Addr(), f.seeds(id),
		keys.Cert(), keys.Key(), keys.Authority())
	return os.WriteFile(f.settings(id), []byte(text), 0o600)
}

// seeds returns the setting that names the hosts added before.
func (f *Fleet) seeds(self bbtfleet.HostID) string {
	var items []string
	for _, r := range f.records {
		if r.ID != string(self) {
			items = append(items, r.ID+"@"+r.PeerAddress)
		}
	}
	if len(items) == 0 {
		return ""
	}
	return "seeds = " + strings.Join(items, ", ") + "\n"
}

// freeAddr returns a loopback address that was free a moment ago.
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

// PublishHosts publishes the present host list.
func (f *Fleet) PublishHosts() error {
	data, err := json.Marshal(f.records)
	if err != nil {
		return err
	}
	return f.put("/control/hosts", data)
}

// Publish publishes the next revision of the configuration.
func (f *Fleet) Publish(zones []bbtfleet.Zone, contracts []bbtfleet.Contract) error {
	f.revision++
	return f.PublishRevision(f.revision, zones, contracts)
}

// PublishRevision publishes the configuration under a revision.
func (f *Fleet) PublishRevision(r bbtfleet.Revision, zones []bbtfleet.Zone, contracts []bbtfleet.Contract) error {
	manifest, parts := bbtconfig.Publish(r, bbtfleet.NewConfiguration(bbtfleet.Version{},
		bbtfleet.WithZones(zones...),
		bbtfleet.WithEndpoints(f.endpoints...),
		bbtfleet.WithContracts(contracts...)))
	for _, p := range parts {
		if err := f.put("/control/values/"+p.Key(), p.Data()); err != nil {
			return err
		}
	}
	return f.put("/control/values/"+bbtconfig.ManifestKey, manifest)
}

// RestartPlatform starts an empty platform at the address of the one that was
// killed.
func (f *Fleet) RestartPlatform() error {
	p, err := startStandin(f.log, f.binaries.standin, "platform", "--listen="+f.platform.Addr())
	if err != nil {
		return err
	}
	f.platform, f.processes["platform"] = p, p
	return nil
}

// put sends data to a control page of the platform.
func (f *Fleet) put(path string, data []byte) error {
	return Put(f.platform.Addr(), path, data)
}

// Put sends data to a control page of a stand-in.
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

// Get decodes a JSON page of a process.
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

// CallerAddr returns the caller address of a host.
func (f *Fleet) CallerAddr(id bbtfleet.HostID) string {
	for _, r := range f.records {
		if r.ID == string(id) {
			return r.CallerAddress
		}
	}
	return ""
}

// Await polls until the condition holds or ctx ends.
func Await(ctx context.Context, what string, holds func() bool) error {
	ticks := time.NewTicker(pollPeriod)
	defer ticks.Stop()
	for !holds() {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return errors.Newf("%s: %v", what, ctx.Err())
		}
	}
	return nil
}

// settingsText is the form of a host's settings.
const settingsText = `[host]
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
