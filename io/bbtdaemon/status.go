package bbtdaemon

import (
	"encoding/json"
	"net/http"
	"time"

	"bluebelltray/core/bbtfleet"
)

// Status is a host's status as shown to operators.
type Status struct {
	Host           bbtfleet.HostID       `json:"host"`
	Configuration  string                `json:"configuration"`
	HostList       bbtfleet.Revision     `json:"host-list"`
	Serving        bool                  `json:"serving"`
	Fresh          bool                  `json:"view-fresh"` // the view was confirmed recently enough to act as an owner
	Leaving        bool                  `json:"leaving"`
	Refused        string                `json:"refused-configuration,omitempty"` // last refused version and its error, if newer than the active one
	Requests       int                   `json:"requests"`
	OwnedEndpoints []OwnedEndpointStatus `json:"endpoints-owned"`
	Queues         []QueueStatus         `json:"queues"`
	Peers          []PeerStatus          `json:"peers"`
}

// OwnedEndpointStatus is the state of an endpoint whose slots the host may use.
type OwnedEndpointStatus struct {
	Endpoint    bbtfleet.EndpointID `json:"endpoint"`
	UsableSlots int                 `json:"right"` // slots that this host may use
	Slots       int                 `json:"slots"` // all slots of the endpoint
	Cold        bool                `json:"cold"`  // its concurrency limit is still being raised
	Outstanding int                 `json:"outstanding-permits"`
	Foreign     int                 `json:"foreign-requests"` // requests of other owners
	Headroom    int                 `json:"room"`             // permits that may be granted now
}

// QueueStatus is the number of requests that wait for a pool in the owner role
// of the host.
type QueueStatus struct {
	Pool    bbtfleet.PoolID `json:"pool"`
	Waiting int             `json:"waiting"`
}

// PeerStatus is the state of another host as seen by this one.
type PeerStatus struct {
	Host  bbtfleet.HostID `json:"host"`
	Zone  bbtfleet.ZoneID `json:"zone"`
	State string          `json:"state"`
}

// statusRequested requests the status.
type statusRequested struct{ reply chan<- Status }

func (ev statusRequested) apply(d *Daemon, now time.Time) { ev.reply <- d.status(now) }

// Status returns the current status of the host, or the zero Status if the
// daemon is closed.
func (d *Daemon) Status() Status {
	reply := make(chan Status, 1)
	if !d.post(statusRequested{reply}) {
		return Status{}
	}
	select {
	case s := <-reply:
		return s
	case <-d.ctx.Done():
		return Status{}
	}
}

// status returns the current status. It must be called from the goroutine of
// run.
func (d *Daemon) status(now time.Time) Status {
	s := Status{
		Host:          d.id,
		Configuration: d.view.Version().String(),
		HostList:      d.hosts.Revision(),
		Serving:       d.view.Serving(),
		Fresh:         d.view.Fresh(now),
		Leaving:       d.draining,
		Requests:      d.requestCount(),
	}
	if v, err := d.view.Refused(); err != nil {
		s.Refused = v.String() + ": " + err.Error()
	}
	for _, h := range d.hosts.Hosts() {
		if h.ID() != d.id {
			s.Peers = append(s.Peers, PeerStatus{h.ID(), h.Zone(), d.detector.State(h.ID()).String()})
		}
	}
	s.OwnedEndpoints = d.ownedStatus(now)
	s.Queues = d.queues()
	return s
}

// ownedStatus returns the status of the endpoints that this host owns.
func (d *Daemon) ownedStatus(now time.Time) []OwnedEndpointStatus {
	usableSlots := make(map[bbtfleet.EndpointID]int, len(d.owned))
	for _, limited := range d.owned {
		usableSlots[limited.ID()] = limited.Slots()
	}
	var owned []OwnedEndpointStatus
	for _, e := range d.owner.Endpoints(now) {
		ep, _ := d.config.Endpoint(e.Endpoint())
		owned = append(owned, OwnedEndpointStatus{
			Endpoint:    e.Endpoint(),
			UsableSlots: usableSlots[e.Endpoint()],
			Slots:       ep.Slots(),
			Cold:        e.Cold(),
			Outstanding: e.Outstanding(),
			Foreign:     e.Foreign(),
			Headroom:    e.Headroom(),
		})
	}
	return owned
}

// queues returns the number of requests that wait for each pool at this host.
func (d *Daemon) queues() []QueueStatus {
	var queues []QueueStatus
	for _, p := range d.owner.Pools() {
		queues = append(queues, QueueStatus{p.Pool(), p.Waiting()})
	}
	return queues
}

// StatusHandler serves the status as JSON.
func (d *Daemon) StatusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.Status()) // fails only if the client has disconnected
	})
}

// ReadinessHandler responds with 200 while the host accepts new callers and
// with 503 otherwise.
func (d *Daemon) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s := d.Status(); !s.Serving || s.Leaving {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n")) // fails only if the client has disconnected
	})
}

// LivenessHandler responds with 200 while the daemon's goroutine processes
// events.
func (d *Daemon) LivenessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if d.Status().Host == "" {
			http.Error(w, "not live", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("live\n")) // fails only if the client has disconnected
	})
}
