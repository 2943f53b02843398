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

// Recorder counts what the server refuses.
type Recorder interface {
	Refused(err *bbtverdict.Error)
	Add(name string, n int64)
}

// Server serves callers and operators of one host.
type Server struct {
	*khttp.Server
	scheduler bluebelltray.Scheduler
	recorder  Recorder
	limits    Limits
	slots     chan struct{}
}

// ServerOption sets an optional part of a Server.
type ServerOption func(*serverConfig)

// serverConfig holds what the options set before the server is made.
type serverConfig struct {
	limits Limits
	kratos []khttp.ServerOption
	pages  map[string]http.Handler
}

// WithLimits sets the limits on callers.
func WithLimits(l Limits) ServerOption { return func(c *serverConfig) { c.limits = l } }

// WithListener makes the server accept from l.
func WithListener(l net.Listener) ServerOption {
	return func(c *serverConfig) { c.kratos = append(c.kratos, khttp.Listener(l)) }
}

// WithPage serves an operators' page at a path.
func WithPage(path string, h http.Handler) ServerOption {
	return func(c *serverConfig) { c.pages[path] = h }
}

// NewServer returns a server in front of s.
func NewServer(s bluebelltray.Scheduler, rec Recorder, opts ...ServerOption) *Server {
	cfg := serverConfig{limits: NewLimits(), pages: make(map[string]http.Handler)}
	for _, opt := range opts {
		opt(&cfg)
	}
	kratos := append([]khttp.ServerOption{
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		khttp.NotFoundHandler(unknownPath{rec}),
		khttp.MethodNotAllowedHandler(unknownPath{rec}),
	}, cfg.kratos...)
	srv := &Server{
		Server:    khttp.NewServer(kratos...),
		scheduler: s,
		recorder:  rec,
		limits:    cfg.limits,
		slots:     make(chan struct{}, cfg.limits.concurrent),
	}
	srv.MaxHeaderBytes = cfg.limits.headerBytes
	srv.ReadHeaderTimeout = cfg.limits.headerTimeout
	srv.HandleFunc(pathAddresses, srv.serveAddresses)
	srv.HandleFunc(pathCompletions, srv.serveRequest)
	srv.HandlePrefix(prefixServices, http.HandlerFunc(srv.serveRequest))
	for path, h := range cfg.pages {
		srv.Handle(path, h)
	}
	return srv
}

// addresses is the answer to a caller that asks where to connect.
type addresses struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime-seconds"`
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	a, err := account(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	list, lifetime, err := s.scheduler.Addresses(a)
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.recorder.Add("address-answers", 1)
	w.Header().Set(headerContentType, typeJSON)
	_ = json.NewEncoder(w).Encode(addresses{list, lifetime.Seconds()}) // a caller that has gone needs no answer
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.refuse(w, bbtverdict.New(bbtverdict.NotRun, bbtverdict.ReasonOverloaded,
			bbtverdict.WithRetryAfter(time.Second)))
		return
	}
	req, err := s.read(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ans, err := s.scheduler.Submit(r.Context(), req)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer ans.Close()
	s.stream(w, ans)
}

// read reads and checks a request; a sender that is too slow is refused.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (*Request, error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(s.limits.bodyTimeout)); err != nil {
		return nil, badRequest("connection: %v", err)
	}
	body, err := readBody(w, r, s.limits.bodyBytes)
	if err != nil {
		return nil, err
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, badRequest("connection: %v", err)
	}
	return parse(r, body)
}

// refuse counts and sends a refusal.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	e := bbtverdict.FromError(err, bbtverdict.ReasonOverloaded)
	s.recorder.Refused(e)
	refuse(w, e)
}
