package bbtfleet

// Kind is the type of an endpoint: model engine or plain service.
type Kind uint8

// The kinds of endpoint.
const (
	ModelEngine Kind = iota
	PlainService
)

// String returns the kind's name in kebab case.
func (k Kind) String() string {
	if k == PlainService {
		return "plain-service"
	}
	return "model-engine"
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	id      EndpointID
	zone    ZoneID
	kind    Kind
	addr    string
	pool    PoolID
	slots   int
	out     bool // out of service
	fencing bool
}

// EndpointOption sets an optional part of an Endpoint.
type EndpointOption func(*Endpoint)

// WithAddr sets the TCP address as IP:port.
func WithAddr(addr string) EndpointOption { return func(e *Endpoint) { e.addr = addr } }

// WithSlots sets how many requests the endpoint runs concurrently when warm.
func WithSlots(n int) EndpointOption { return func(e *Endpoint) { e.slots = n } }

// WithEndpointOutOfService sets whether the endpoint is out of service. It then
// takes no new requests.
func WithEndpointOutOfService(out bool) EndpointOption { return func(e *Endpoint) { e.out = out } }

// WithFencing sets whether the endpoint rejects requests with an outdated
// fencing token.
func WithFencing(on bool) EndpointOption { return func(e *Endpoint) { e.fencing = on } }

// NewEndpoint returns an endpoint that has one slot unless an option says
// otherwise.
func NewEndpoint(id EndpointID, zone ZoneID, kind Kind, pool PoolID, opts ...EndpointOption) Endpoint {
	e := Endpoint{id: id, zone: zone, kind: kind, pool: pool, slots: 1}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// ID returns the endpoint's ID.
func (e Endpoint) ID() EndpointID { return e.id }

// Zone returns the endpoint's availability zone.
func (e Endpoint) Zone() ZoneID { return e.zone }

// Kind returns whether the endpoint is a model engine or a plain service.
func (e Endpoint) Kind() Kind { return e.kind }

// Addr returns the TCP address as IP:port.
func (e Endpoint) Addr() string { return e.addr }

// Pool returns the model or service that the endpoint provides.
func (e Endpoint) Pool() PoolID { return e.pool }

// Slots returns how many requests the endpoint runs concurrently when warm.
func (e Endpoint) Slots() int { return e.slots }

// OutOfService reports whether the endpoint itself is out of service. An
// endpoint is also out of service while its zone is; see
// Configuration.InService.
func (e Endpoint) OutOfService() bool { return e.out }

// Fencing reports whether the endpoint rejects requests with an outdated
// fencing token.
func (e Endpoint) Fencing() bool { return e.fencing }

// LimitSlots returns a copy of the endpoint with at most n slots.
func (e Endpoint) LimitSlots(n int) Endpoint {
	e.slots = min(e.slots, n)
	return e
}
