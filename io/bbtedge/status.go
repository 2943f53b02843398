package bbtedge

import (
	"encoding/json"
	"net/http"
	"time"

	"bluebelltray/core/bbtmember"
	"bluebelltray/core/bbtschedule"
)

// Status is a host's view of itself and of the fleet, as shown on its status page.
type Status struct {
	Host          string                      `json:"host"`
	Zone          string                      `json:"zone"`
	Ready         bool                        `json:"ready"`
	Leaving       bool                        `json:"leaving"`
	ConfigVersion int64                       `json:"configuration-version"`
	Era           uint64                      `json:"platform-era"`
	Revision      uint64                      `json:"platform-revision"`
	PlatformAgeMs int64                       `json:"platform-age-ms"` // since the platform's last answer; -1 if there was none
	Owner         string                      `json:"owner"`
	Share         float64                     `json:"share"` // fraction of all limits that this host may use as an owner
	Requests      int                         `json:"requests"`
	Hosts         map[string]string           `json:"hosts"` // states of the other hosts by ID
	Services      []bbtschedule.ServiceStatus `json:"services"`
	Deficits      []bbtschedule.Deficit       `json:"deficits"` // client accounts' use of their bursts
}

// statusRequested asks for the status.
type statusRequested struct{ reply chan<- Status }

func (ev statusRequested) apply(e *Edge, now time.Time) { ev.reply <- e.status(now) }

func (e *Edge) status(now time.Time) Status {
	s := Status{
		Host:          string(e.settings.Host),
		Zone:          string(e.settings.Zone),
		Ready:         e.Ready(),
		Leaving:       e.Leaving(),
		ConfigVersion: e.index.Load().Version(),
		Era:           e.catalog.Position().Era,
		Revision:      e.catalog.Position().Revision,
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
			continue // a seed that was never heard from
		}
		s.Hosts[string(h.ID())] = state.String()
	}
	return s
}

// StatusPage returns a handler that answers with the status in JSON.
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
			_ = json.NewEncoder(w).Encode(s) // a failed write means that the client has gone
		case <-r.Context().Done():
		case <-e.ctx.Done():
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
