package bbtfleet

// HostState tells whether a host accepts new requests.
type HostState uint8

// The states of a host in the host list.
const (
	HostLive HostState = iota
	HostLeaving
)

// String returns the state's name in kebab case.
func (s HostState) String() string {
	if s == HostLeaving {
		return "leaving"
	}
	return "live"
}

// Host is an entry host of the host list.
type Host struct {
	id         HostID
	zone       ZoneID
	peerAddr   string
	callerAddr string
	state      HostState
}

// HostOption sets an optional part of a Host.
type HostOption func(*Host)

// WithPeerAddr sets the UDP address for messages from other hosts, as IP:port.
func WithPeerAddr(addr string) HostOption { return func(h *Host) { h.peerAddr = addr } }

// WithCallerAddr sets the TCP address that callers connect to, as IP:port.
func WithCallerAddr(addr string) HostOption { return func(h *Host) { h.callerAddr = addr } }

// WithHostState sets the host's state.
func WithHostState(s HostState) HostOption { return func(h *Host) { h.state = s } }

// NewHost returns a host that is live unless an option says otherwise.
func NewHost(id HostID, zone ZoneID, opts ...HostOption) Host {
	h := Host{id: id, zone: zone}
	for _, opt := range opts {
		opt(&h)
	}
	return h
}

// ID returns the host's ID.
func (h Host) ID() HostID { return h.id }

// Zone returns the host's availability zone.
func (h Host) Zone() ZoneID { return h.zone }

// PeerAddr returns the UDP address for messages from other hosts, as IP:port.
func (h Host) PeerAddr() string { return h.peerAddr }

// CallerAddr returns the TCP address that callers connect to, as IP:port.
func (h Host) CallerAddr() string { return h.callerAddr }

// State returns the host's state.
func (h Host) State() HostState { return h.state }
