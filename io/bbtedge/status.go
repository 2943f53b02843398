package bbtedge

import (
	"encoding/json"
	"net/http"
	"time"

	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtschedule"
)

// Status is what a host believes.
type Status struct {
	Host          string                      `json:"host"`
	Zone          string                      `json:"zone"`
	Ready         bool                        `json:"ready"`
	Leaving       bool                        `json:"leaving"`
	ConfigVersion int64                       `json:"configuration-version"`
	Revision      uint64                      `json:"platform-revision"`
	PlatformAgeMs int64                       `json:"platform-age-ms"` // since the platform answered last; -1 if it never did
	Owner         string                      `json:"owner"`
	Share         float64                     `json:"share"` // of all limits, if this host is an owner
	Requests      int                         `json:"requests"`
	Hosts         map[string]string           `json:"hosts"` // states of the others
	Services      []bbtschedule.ServiceStatus `json:"services"`
	Deficits      []bbtschedule.Deficit       `json:"deficits"` // of client accounts
}

// statusRequested is a question for the status.
type statusRequested struct{ reply chan<- Status }

func (ev statusRequested) apply(e *Edge, now time.Time) { ev.reply <- e.status(now) }

// status returns what the host believes now.
func (e *Edge) status(now time.Time) Status {
	s := Status{
		Host:          string(e.settings.Host),
		Zone:          string(e.settings.Zone),
		Ready:         e.Ready(),
		Leaving:       e.Leaving(),
		ConfigVersion: e.index.Load().Version(),
		Revision:      e.catalog.Revision(),
		PlatformAgeMs: -1,
		Owner:         string(e.entry.Owner()),
		Share:         e.scheduler.Share(),
		Requests:      e.entry.Len(),
		Hosts:         make(map[string]string),
		Services:      e.scheduler.Status(now),
		Deficits:      e.scheduler.Deficits(now),
	}
	if at := e.reader.confirmedAt(); !at.IsZero() {
		s.PlatformAgeMs = now.Sub(at).Milliseconds()
	}
	for _, h := range e.hosts {
		state := e.detector.State(h.ID())
		if state == bbtmember.Alive && e.detector.Incarnation(h.ID()) == 0 {
			continue // a seed that was never heard
		}
		s.Hosts[string(h.ID())] = state.String()
	}
	return s
}

// StatusPage returns a page with the host's status in JSON.
func (e *Edge) StatusPage() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan Status, 1)
		if !e.post(statusRequested{reply}) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case s := <-reply:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(s) // a reader that has gone needs no answer
		case <-r.Context().Done():
		case <-e.ctx.Done():
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
