package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is a running daemon of the system.
type host struct {
	name, ip, zone                      string
	front, ready, control, dir, metrics string
	settings                            string // path
	peers                               int    // port
	store                               string // address
	cmd                                 *exec.Cmd
}

// fleet is the daemons of one case; all use the same ports.
type fleet struct {
	ports [6]int // front, ready, control, directory, peers, metrics
	hosts []*host
}

// portsFree reports whether a port is unused on all addresses, by TCP and UDP.
func portsFree(ips []string, port int) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		l.Close()
		p, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		p.Close()
	}
	return true
}

// newFleet writes the settings of n hosts at 127.0.77.x and starts them in turn.
func newFleet(n int, storeAddr string) *fleet {
	f := &fleet{}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.77.%d", i+1))
	}
	for i, port := 0, 20000+os.Getpid()%9000; i < len(f.ports); port++ {
		if port > 32000 {
			exit(2, "could not run: no free ports")
		}
		if portsFree(ips, port) {
			f.ports[i] = port
			i++
		}
	}
	for i, ip := range ips {
		at := func(p int) string { return fmt.Sprintf("%s:%d", ip, f.ports[p]) }
		h := &host{name: fmt.Sprintf("edge-%d", i+1), ip: ip, zone: "z1", front: at(0), ready: at(1), control: at(2), dir: at(3), metrics: at(5)}
		h.settings = filepath.Join(tempDir, h.name+".toml")
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.peers, h.store = f.ports[4], storeAddr
	}
	for _, h := range f.hosts {
		f.writeSettings(h, true)
		f.start(h)
		time.Sleep(60 * time.Millisecond)
	}
	return f
}

// writeSettings writes a host's settings file, as the platform does.
func (f *fleet) writeSettings(h *host, bootstrap bool) {
	var seeds []string
	for _, s := range f.hosts[:min(3, len(f.hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", s.control))
	}
	check(os.WriteFile(h.settings, []byte(fmt.Sprintf(`node = %q
role = "edge"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = %q
zone = %q
region = "r"
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","places","platform"]
[zones]
z1 = "r"
[listen]
front = %q
ready = %q
control = %q
directory = %q
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
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, h.name, h.ip, h.zone, h.peers, h.peers+3, strings.Join(seeds, ","), bootstrap, h.front, h.ready, h.control, h.dir, h.store)), 0o600))
}

// start starts a host's process with the command of the deploy file.
func (f *fleet) start(h *host) {
	out, err := os.Create(filepath.Join(tempDir, fmt.Sprintf("%s-%d.log", h.name, time.Now().UnixMilli())))
	check(err)
	h.cmd = exec.Command(filepath.Join(repo, "target/bluebelltray"), "edge", "--metrics-port", fmt.Sprint(f.ports[5]), "--tier-room", "750ms")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BLUEBELLTRAY_BOOT=" + h.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	h.cmd.Dir = repo
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.cmd.Start())
	processes = append(processes, h.cmd)
}

// signal sends a signal to a host's process.
func (h *host) signal(s syscall.Signal) { check(h.cmd.Process.Signal(s)) }

// get requests a page within a time; the status is 0 if there is no answer.
func get(url string, timeout time.Duration) (int, []byte) {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(url)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, body
}

// awaitReady waits until all hosts are ready and each directory names all of them.
func (f *fleet) awaitReady() {
	await("all hosts are ready", 15*time.Second, func() bool {
		for _, h := range f.hosts {
			if code, _ := get("http://"+h.ready+"/-/ready", time.Second); code != 200 {
				return false
			}
			_, body := get("http://"+h.dir+"/-/resolve?name=h.example&region=r&zone=z1", time.Second)
			for _, o := range f.hosts {
				if !strings.Contains(string(body), `"`+o.front+`"`) {
					return false
				}
			}
		}
		return true
	})
}

// owner returns the host that schedules for the fleet, by its own metrics.
func (f *fleet) owner() *host {
	var owner *host
	await("one host is the owner", 10*time.Second, func() bool {
		n := 0
		for _, h := range f.hosts {
			var vars struct {
				Gauges map[string]any `json:"gauges"`
			}
			_, body := get("http://"+h.metrics+"/debug/vars", time.Second)
			if json.Unmarshal(body, &vars) == nil && vars.Gauges["is-owner"] == float64(1) {
				owner = h
				n++
			}
		}
		return n == 1
	})
	return owner
}

// await waits until a condition holds, or ends the case as one that could not run.
func await(what string, limit time.Duration, cond func() bool) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		if cond() {
			return
		}
		if time.Now().After(end) {
			exit(2, "could not run: not within "+limit.String()+": "+what)
		}
	}
}
