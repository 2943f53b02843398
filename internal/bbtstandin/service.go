package bbtstandin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Service is a stand-in for a plain service, some of whose calls must not be
// repeated. It counts how often each request body was executed, which shows whether a
// call was repeated.
type Service struct {
	faultInjector
	mux         *http.ServeMux
	delay       time.Duration
	incarnation uint64

	mu      sync.Mutex
	running int
	runs    map[string]int
}

// NewService returns a service whose calls each take delay.
func NewService(delay time.Duration) *Service {
	s := &Service{
		mux:         http.NewServeMux(),
		delay:       delay,
		incarnation: uint64(time.Now().UnixNano()),
		runs:        make(map[string]int),
	}
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("PUT /control/fault", s.serveFault)
	s.mux.HandleFunc("GET /control/runs", s.serveRuns)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP handles calls, reads of the load report and the tests' control requests.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderIncarnation, strconv.FormatUint(s.incarnation, 10))
	s.mux.ServeHTTP(w, r)
}

// RunCounts returns how often each request body was executed.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

// beginRun counts the start of an execution of the body.
func (s *Service) beginRun(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs[body]++
}

// endRun counts the end of an execution.
func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.beginRun(string(body))
	defer s.endRun()
	if !s.awaitStart(r) || !wait(r, s.scale(s.delay)) {
		return
	}
	response := "done: " + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if s.activeFault().Truncate {
		response = response[:len(response)/2]
	}
	_, _ = io.WriteString(w, response) // a write error means that the caller has disconnected
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, LoadRecord{Incarnation: s.incarnation, Running: s.running})
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if readJSON(w, r, &fault) {
		s.setFault(fault)
	}
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.RunCounts()) }
