package bbthttp

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtverdict"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Recorder counts refusals and other events of the server.
type Recorder interface {
	Refused(err *bbtverdict.Error)
	Add(name string, n int64)
}

// Server is the HTTP server of one host for callers and operators.
type Server struct {
	*khttp.Server
	scheduler bluebelltray.Scheduler
	recorder  Recorder
	limits    Limits
	semaphore chan struct{} // one element per request in progress
}

// ServerOption configures a Server.
type ServerOption func(*serverConfig)

// serverConfig holds the settings from the options until the server is created.
type serverConfig struct {
	limits     Limits
	kratosOpts []khttp.ServerOption
	pages      map[string]http.Handler
}

// WithLimits sets the limits for callers' requests.
func WithLimits(l Limits) ServerOption { return func(c *serverConfig) { c.limits = l } }

// WithListener makes the server accept connections from l.
func WithListener(l net.Listener) ServerOption {
	return func(c *serverConfig) { c.kratosOpts = append(c.kratosOpts, khttp.Listener(l)) }
}

// WithPage registers a handler for operators at a path.
func WithPage(path string, h http.Handler) ServerOption {
	return func(c *serverConfig) { c.pages[path] = h }
}

// NewServer returns a server that submits callers' requests to s.
func NewServer(s bluebelltray.Scheduler, rec Recorder, opts ...ServerOption) *Server {
	cfg := serverConfig{limits: NewLimits(), pages: make(map[string]http.Handler)}
	for _, opt := range opts {
		opt(&cfg)
	}
	kratosOpts := append([]khttp.ServerOption{
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		khttp.NotFoundHandler(unknownPath{rec}),
		khttp.MethodNotAllowedHandler(unknownPath{rec}),
	}, cfg.kratosOpts...)
	srv := &Server{
		Server:    khttp.NewServer(kratosOpts...),
		scheduler: s,
		recorder:  rec,
		limits:    cfg.limits,
		semaphore: make(chan struct{}, cfg.limits.maxConcurrent),
	}
	srv.MaxHeaderBytes = cfg.limits.maxHeaderBytes
	srv.ReadHeaderTimeout = cfg.limits.headerTimeout
	srv.HandleFunc(pathAddresses, srv.serveAddresses)
	srv.HandleFunc(pathCompletions, srv.serveRequest)
	srv.HandlePrefix(pathPrefixServices, http.HandlerFunc(srv.serveRequest))
	for path, h := range cfg.pages {
		srv.Handle(path, h)
	}
	return srv
}

// addressResponse is the JSON response with the host addresses for an account's
// callers.
type addressResponse struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime-seconds"`
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	account, err := parseAccount(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	list, lifetime, err := s.scheduler.Addresses(account)
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.recorder.Add("address-answers", 1)
	w.Header().Set(headerContentType, typeJSON)
	_ = json.NewEncoder(w).Encode(addressResponse{list, lifetime.Seconds()}) // the caller may have disconnected
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	default:
		s.refuse(w, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonOverloaded,
			bbtverdict.WithRetryAfter(time.Second)))
		return
	}
	req, err := s.readRequest(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	resp, err := s.scheduler.Submit(r.Context(), req)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer resp.Close()
	s.stream(w, resp)
}

// readRequest reads and parses a request. It fails if the caller takes longer than
// the body timeout to send the body.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*Request, error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(s.limits.bodyTimeout)); err != nil {
		return nil, badRequest("set read deadline: %v", err)
	}
	body, err := readBody(w, r, s.limits.maxBodyBytes)
	if err != nil {
		return nil, err
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, badRequest("clear read deadline: %v", err)
	}
	return parseRequest(r, body)
}

// refuse counts a refusal and writes it to the response.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	e := bbtverdict.FromError(err, bbtverdict.ReasonOverloaded)
	s.recorder.Refused(e)
	refuse(w, e)
}
