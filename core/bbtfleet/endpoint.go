package bbtfleet

// Kind tells model engines from plain services.
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
	out     bool
	fencing bool
}

// EndpointOption sets an optional part of an Endpoint.
type EndpointOption func(*Endpoint)

// WithAddr sets the TCP address as IP:port.
func WithAddr(addr string) EndpointOption { return func(e *Endpoint) { e.addr = addr } }

// WithSlots sets how many requests the endpoint runs at once when warm.
func WithSlots(n int) EndpointOption { return func(e *Endpoint) { e.slots = n } }

// WithEndpointOutOfService marks the endpoint as leaving: it takes no new work.
func WithEndpointOutOfService(out bool) EndpointOption { return func(e *Endpoint) { e.out = out } }

// WithFencing says whether the endpoint refuses orders with an old fencing
// number.
func WithFencing(on bool) EndpointOption { return func(e *Endpoint) { e.fencing = on } }

// NewEndpoint returns an endpoint with one slot.
func NewEndpoint(id EndpointID, zone ZoneID, kind Kind, pool PoolID, opts ...EndpointOption) Endpoint {
	e := Endpoint{id: id, zone: zone, kind: kind, pool: pool, slots: 1}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// ID returns the endpoint's name.
func (e Endpoint) ID() EndpointID { return e.id }

// Zone returns the endpoint's availability zone.
func (e Endpoint) Zone() ZoneID { return e.zone }

// Kind returns whether the endpoint is a model engine or a plain service.
func (e Endpoint) Kind() Kind { return e.kind }

// Addr returns the TCP address as IP:port.
func (e Endpoint) Addr() string { return e.addr }

// Pool returns the model or service the endpoint serves.
func (e Endpoint) Pool() PoolID { return e.pool }

// Slots returns how many requests the endpoint runs at once when warm.
func (e Endpoint) Slots() int { return e.slots }

// OutOfService reports whether the endpoint itself takes no new work. A zone that is
// out takes its endpoints out too; see Configuration.InService.
func (e Endpoint) OutOfService() bool { return e.out }

// Fencing reports whether the endpoint refuses orders with an old fencing
// number.
func (e Endpoint) Fencing() bool { return e.fencing }

// LimitSlots returns the endpoint with at most n slots.
func (e Endpoint) LimitSlots(n int) Endpoint {
	e.slots = min(e.slots, n)
	return e
}
