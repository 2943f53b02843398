package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName    = "salone.example"
	region      = "italia-nord"
	apiKey      = "i9n73hh2b9wu3fexd9dn"
	cappedKey   = "n2ctnfzs989anu6wsjnb" // of a tenant with a usage cap
	capRate     = 270192                 // tokens a second
	capBurst    = 270192                 // tokens
	metricsPort = "9464"
)

var zones = []string{"mi-lambrate", "to-lingotto"}

// edge is one machine with the process of the deploy file.
type edge struct {
	name, zone, ip                           string
	front, ready, control, directory, folder string
	cmd                                      *exec.Cmd
	log                                      *os.File
	ended                                    chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	store    *store
	servers  []*server
	arrivals *arrivals
	edges    []*edge
	clients  *clients
	subnet   string
	root     string
	folder   string
	storeAt  string
	seeds    string

	stopOnce sync.Once
	https    []*http.Server
}

// newFleet returns a deployment without machines and servers.
func newFleet(rec *record, root string) (*fleet, error) {
	f := &fleet{rec: rec, store: newStore(), arrivals: &arrivals{}, root: root}
	var err error
	if f.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for range 20 {
		f.subnet = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(60), 1+rand.IntN(250))
		f.storeAt = f.subnet + "2:8225"
		srv, err := f.store.serve(f.storeAt)
		if err == nil {
			f.https = append(f.https, srv)
			f.clients = newClients(f)
			return f, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

// addServer starts a server of a service.
func (f *fleet) addServer(s *server) (*server, error) {
	n := len(f.servers)
	s.address = fmt.Sprintf("%s%d:8300", f.subnet, 10+n)
	if s.zone == "" {
		s.zone = zones[n%len(zones)]
	}
	s.store, s.rec, s.arrivals = f.store, f.rec, f.arrivals
	f.servers = append(f.servers, s)
	return s, s.start()
}

// configure writes the configuration.
func (f *fleet) configure(version int, routes, services []map[string]any) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []map[string]any{
			{"name": "saloni", "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
			{"name": "corrieri", "api_keys": []string{cappedKey}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": capRate, "burst": capBurst},
		},
	})
	f.store.put("op/config", value)
}

const settings = `node = "%[1]s"
role = "edge"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = "%[2]s"
zone = "%[3]s"
region = "italia-nord"
port_range = [7600,7615]
seeds = [%[4]s]
bootstrap = %[6]t
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","places","platform"]
[zones]
mi-lambrate = "italia-nord"
to-lingotto = "italia-nord"
[listen]
front = "%[2]s:8221"
ready = "%[2]s:8224"
control = "%[2]s:8229"
directory = "%[2]s:8220"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
quota_window_s = 8
quota_over = 0.25
quota_slack = 140000
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 9.8
ttl_max_s = 5
[platform]
address = "%[5]s"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// startEdges starts the machines and waits until they are ready.
func (f *fleet) startEdges(n int) error {
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("%s%d", f.subnet, 101+i)
		f.edges = append(f.edges, &edge{name: fmt.Sprintf("m%d", i+1), zone: zones[i%len(zones)], ip: ip,
			front: ip + ":8221", ready: ip + ":8224", control: ip + ":8229", directory: ip + ":8220"})
		if i < 3 {
			seeds = append(seeds, `"`+ip+`:8229"`)
		}
	}
	f.seeds = strings.Join(seeds, ",")
	for _, e := range f.edges {
		if err := f.startEdge(e, true); err != nil {
			return err
		}
	}
	for _, e := range f.edges {
		if err := f.waitReady(e); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // they meet
	return nil
}

// startEdge starts the process of one machine with the command of the deploy file.
func (f *fleet) startEdge(e *edge, first bool) error {
	for _, port := range []string{"8220", "8221", "8224", metricsPort} {
		l, err := net.Listen("tcp", e.ip+":"+port)
		if err != nil {
			return err
		}
		l.Close()
	}
	e.folder = filepath.Join(f.folder, e.name)
	if err := os.MkdirAll(e.folder, 0o755); err != nil {
		return err
	}
	boot := filepath.Join(e.folder, "boot.toml")
	if err := os.WriteFile(boot, fmt.Appendf(nil, settings, "edge-"+e.name, e.ip, e.zone, f.seeds, f.storeAt, first), 0o644); err != nil {
		return err
	}
	var err error
	if e.log, err = os.OpenFile(filepath.Join(e.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	e.cmd = exec.Command(filepath.Join(f.root, "target", "bluebelltray"), "edge", "--metrics-port", metricsPort)
	e.cmd.Dir = f.root
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.folder, "LANG=C.UTF-8",
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "BLUEBELLTRAY_BOOT=" + boot}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := e.cmd, make(chan struct{})
	e.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	f.rec.printf("machine %s starts", e.name)
	return nil
}

// waitReady waits until a machine says that it is ready.
func (f *fleet) waitReady(e *edge) error {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/-/ready", nil)
		resp, err := f.clients.http.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("machine %s is not ready", e.name)
}

// killEdge kills the process of a machine, which is started again after down.
func (f *fleet) killEdge(e *edge, down time.Duration) error {
	f.rec.printf("the process of machine %s is killed", e.name)
	if err := e.cmd.Process.Kill(); err != nil {
		return err
	}
	<-e.ended
	e.log.Close()
	time.Sleep(down)
	return f.startEdge(e, false)
}

// owner returns the machine that says that it schedules for all, nil if none does.
func (f *fleet) owner() *edge {
	for _, e := range f.edges {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":"+metricsPort+"/debug/vars", nil)
		resp, err := f.clients.http.Do(req)
		if err != nil {
			cancel()
			continue
		}
		var vars struct{ Gauges map[string]any }
		err = json.NewDecoder(resp.Body).Decode(&vars)
		resp.Body.Close()
		cancel()
		if err == nil && fmt.Sprint(vars.Gauges["is-owner"]) == "1" {
			return e
		}
	}
	return nil
}

// running reports whether all processes still run.
func (f *fleet) running() bool {
	for _, e := range f.edges {
		select {
		case <-e.ended:
			f.rec.say("the process of machine %s has ended", e.name)
			return false
		default:
		}
	}
	return true
}

// stop ends all that the fleet started.
func (f *fleet) stop() {
	f.stopOnce.Do(func() {
		for _, e := range f.edges {
			if e.cmd != nil && e.cmd.Process != nil && e.ended != nil {
				e.cmd.Process.Kill()
				<-e.ended
				e.log.Close()
			}
		}
		for _, s := range f.servers {
			s.stop()
		}
		for _, h := range f.https {
			h.Close()
		}
		if keep := os.Getenv("KEEP"); keep != "" {
			os.Rename(f.folder, keep)
			return
		}
		os.RemoveAll(f.folder)
	})
}
