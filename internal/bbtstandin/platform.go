package bbtstandin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the configuration service stand-in.
const (
	MaxValueBytes     = 1 << 20
	MaxReadsPerSecond = 2000
	maxWatchWait      = 60 * time.Second
)

// HostRecord is one host of the published host list.
type HostRecord struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer-address"`
	CallerAddress string `json:"caller-address"`
	State         string `json:"state"`
}

// HostListRecord is the published host list.
type HostListRecord struct {
	Revision uint64       `json:"revision"`
	Hosts    []HostRecord `json:"hosts"`
}

// value is one stored value with its revision.
type value struct {
	revision uint64
	data     []byte
}

// Platform is a stand-in for the configuration service and the host list. It
// counts every read; a watch counts once, however long it waits.
type Platform struct {
	mux     *http.ServeMux
	limiter *rate.Limiter

	mu          sync.Mutex
	revision    uint64
	values      map[string]value
	hosts       HostListRecord
	changed     chan struct{}
	reads       uint64
	rateLimited uint64
	down        bool
}

// NewPlatform returns an empty platform that allows MaxReadsPerSecond reads per second.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		limiter: rate.NewLimiter(MaxReadsPerSecond, MaxReadsPerSecond),
		values:  make(map[string]value),
		changed: make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/values/{key}", p.serveValue)
	p.mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	p.mux.HandleFunc("PUT /control/values/{key}", p.servePut)
	p.mux.HandleFunc("PUT /control/hosts", p.servePutHosts)
	p.mux.HandleFunc("POST /control/down", p.serveDown)
	p.mux.HandleFunc("GET /control/reads", p.serveReads)
	return p
}

// ServeHTTP handles reads, watches and the tests' control requests.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Put stores a value and notifies all watches.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = value{revision: p.revision, data: data}
	p.notifyWatches()
}

// PutHosts replaces the host list and returns its new revision.
func (p *Platform) PutHosts(hosts []HostRecord) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = HostListRecord{Revision: p.hosts.Revision + 1, Hosts: hosts}
	return p.hosts.Revision
}

// SetDown makes all reads fail if down is true, and succeed again otherwise.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// Reads returns the number of reads and watches, including rejected ones.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// notifyWatches wakes all waiting watches. The caller holds mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit counts a read and reports whether it may proceed.
func (p *Platform) admit(w http.ResponseWriter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return false
	}
	if !p.limiter.Allow() {
		p.rateLimited++
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w) {
		return
	}
	after := formUint(r, "after")
	timeout := time.NewTimer(min(formDuration(r, "wait", 0), maxWatchWait))
	defer timeout.Stop()
	for {
		v, ok, changed := p.lookup(r.PathValue("key"))
		if ok && v.revision > after {
			w.Header().Set(HeaderRevision, strconv.FormatUint(v.revision, 10))
			_, _ = w.Write(v.data) // a write error means that the reader has disconnected
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			p.respondNoValue(w, ok)
			return
		}
	}
}

// respondNoValue responds to a read whose value does not exist or has not changed. A
// watch that times out while the service is down is answered as if the value did not exist.
func (p *Platform) respondNoValue(w http.ResponseWriter, exists bool) {
	if exists {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, "no such key", http.StatusNotFound)
}

// lookup returns the value, whether it exists and the service is up, and a channel
// that is closed at the next change.
func (p *Platform) lookup(key string) (value, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok && !p.down, p.changed
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	if !p.admit(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.hosts)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if rev := formUint(r, "revision"); rev > 0 {
		p.setNextRevision(rev)
	}
	p.Put(r.PathValue("key"), data)
}

// setNextRevision makes the next stored value have revision rev, as a service
// restored from a backup does.
func (p *Platform) setNextRevision(rev uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = rev - 1
}

func (p *Platform) servePutHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []HostRecord
	if !readJSON(w, r, &hosts) {
		return
	}
	writeJSON(w, p.PutHosts(hosts))
}

func (p *Platform) serveDown(_ http.ResponseWriter, r *http.Request) {
	p.SetDown(r.FormValue("down") != "false")
}

func (p *Platform) serveReads(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Reads()) }
