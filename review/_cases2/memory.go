package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	memoryMB    = 284    // of the machine, as the settings say
	answerBytes = 250000 // of the long answers
	slowCallers = 1800   // connections; the settings allow 4,100 descriptors
	slowPerS    = 90     // connections opened a second
	maxSegment  = 1460   // bytes of a packet, as on an ordinary network
)

// memoryUnreadAnswers: a crowd of callers each asks for one long answer and stops reading
// it half-way. The process has to stay within the memory of its machine.
func memoryUnreadAnswers() {
	st := newStore()
	st.put("op/config", config(7,
		[]route{{Name: "r1", Host: "h.example", Prefix: "/a/", Kind: "idempotent", TimeoutMS: 800, TargetMS: 100, Service: "app", Attempts: 2}},
		[]map[string]any{{"name": "app", "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		[]map[string]any{{"name": "t1", "api_keys": []string{"key1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 270192, "burst": 270192}}))
	for i := range 4 {
		s := newServer(st, fmt.Sprintf("i-%d", i+1), "app", "z1", 6, 0, 15*time.Millisecond, 0)
		s.answer = strings.Repeat("x", answerBytes)
	}
	f := newFleet(2, st.addr)
	f.awaitReady()
	time.Sleep(time.Second)
	h := f.hosts[0]
	if f.owner() == h {
		h = f.hosts[1]
	}
	logf("the callers use %s, which has %d MB", h.name, memoryMB)
	var peak, asked, answered, whole atomic.Int64
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			peak.Store(max(peak.Load(), residentMB(h)))
		}
	}()
	for i := range slowCallers {
		go func() {
			asked.Add(1)
			n, all := askSlowly(h, i, !trouble)
			if n > 0 {
				answered.Add(1)
			}
			if all {
				whole.Add(1)
			}
		}()
		time.Sleep(time.Second / slowPerS)
		if i%100 == 99 {
			logf("%d asked, %d have a part of the answer, %d all of it; the process has %d MB, at most %d MB", asked.Load(), answered.Load(), whole.Load(), residentMB(h), peak.Load())
		}
	}
	time.Sleep(2 * time.Second)
	_, status, answer, err := ask(h, "GET", "/a/ordinary", "key1", 1500*time.Millisecond, nil, "")
	logf("an ordinary caller gets %d, %d bytes, %v", status, len(answer), err)
	logf("%d asked, %d have a part of the answer, %d all of it", asked.Load(), answered.Load(), whole.Load())
	if whole.Load()+answered.Load() < slowCallers/2 {
		exit(2, "could not run: too few callers got an answer")
	}
	judge(peak.Load() > memoryMB, "the process took %d MB of the %d MB of its machine", peak.Load(), memoryMB)
}

// askSlowly sends one request on a connection of its own and reads the start of the answer,
// or all of it. It returns the bytes of the body that it read, and whether these are all.
// The connection stays open.
func askSlowly(h *host, i int, all bool) (int, bool) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxSegment)
			if !all {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10)
			}
		})
	}}
	conn, err := d.Dial("tcp", h.front)
	if err != nil {
		logf("caller %d cannot connect: %v", i, err)
		return 0, false
	}
	held.Store(i, conn)
	if _, err := fmt.Fprintf(conn, "GET /a/long HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow-%05d\r\nX-Deadline-Ms: 1500\r\nApi-Key: key1\r\n\r\n", i); err != nil {
		return 0, false
	}
	r := bufio.NewReaderSize(conn, 512)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		logf("caller %d gets no answer: %v", i, err)
		return 0, false
	}
	if resp.StatusCode != 200 {
		logf("caller %d gets %d", i, resp.StatusCode)
		return 0, false
	}
	buf, n := make([]byte, 16<<10), 0
	for {
		k, err := resp.Body.Read(buf)
		n += k
		if err != nil {
			return n, n == answerBytes
		}
		if !all && n > 0 {
			return n, false // half-way
		}
	}
}

// residentMB returns the memory that a host's process takes now.
func residentMB(h *host) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	n, _ := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	return n >> 10
}
