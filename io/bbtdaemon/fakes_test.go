package bbtdaemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbtpeer"
	"github.com/cockroachdb/errors"
)

// alone are the connections of a host without peers.
type alone struct{}

func (alone) SetHosts([]bbtfleet.Host)            {}
func (alone) Send(bbtfleet.HostID, any) bool      { return false }
func (alone) Reset(bbtfleet.HostID)               {}
func (alone) Inbox() <-chan bbtpeer.Inbound       { return nil }
func (alone) Exchanges() <-chan *bbtpeer.Exchange { return nil }
func (alone) Lost() <-chan bbtfleet.HostID        { return nil }
func (alone) Close() error                        { return nil }

func (alone) Open(context.Context, bbtfleet.HostID) (*bbtpeer.Exchange, error) {
	return nil, bbtpeer.ErrUnknownHost
}

// published is a platform that never changes.
type published struct {
	values map[string][]byte
	hosts  bbtfleet.HostList
}

func (p published) Read(_ context.Context, key string) (bbtfleet.Value, error) {
	data, ok := p.values[key]
	if !ok {
		return bbtfleet.Value{}, errors.Newf("no key %s", key)
	}
	return bbtfleet.NewValue(1, data), nil
}

func (p published) Watch(ctx context.Context, _ string, _ bbtfleet.Revision) (bbtfleet.Value, error) {
	<-ctx.Done()
	return bbtfleet.Value{}, ctx.Err()
}

func (p published) Hosts(context.Context) (bbtfleet.HostList, error) { return p.hosts, nil }

// backend is a bluebelltray.Backend that answers as it is told.
type backend struct {
	do func(ctx context.Context, n int) (bluebelltray.Response, error)

	mu   sync.Mutex
	used []bbtfleet.EndpointID
}

func (b *backend) Do(ctx context.Context, ep bbtfleet.Endpoint, _ bluebelltray.Call, _ time.Time) (bluebelltray.Response, error) {
	b.mu.Lock()
	b.used = append(b.used, ep.ID())
	n := len(b.used)
	b.mu.Unlock()
	return b.do(ctx, n)
}

// endpoints returns where calls were sent, in order.
func (b *backend) endpoints() []bbtfleet.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// stream is an answer that sends its pieces and then ends with err, or with the
// connection's closing if err is nil.
type stream struct {
	ctx    context.Context
	pieces []string
	err    error
	closed bool
}

func (*stream) Status() int                       { return http.StatusOK }
func (*stream) ContentType() string               { return "text/event-stream" }
func (*stream) Incarnation() bbtfleet.Incarnation { return 1 }

func (s *stream) Read(p []byte) (int, error) {
	if len(s.pieces) > 0 {
		n := copy(p, s.pieces[0])
		s.pieces = s.pieces[1:]
		return n, nil
	}
	if s.err == nil {
		<-s.ctx.Done()
		return 0, bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost, bbtverdict.WithCause(s.ctx.Err()))
	}
	return 0, s.err
}

func (s *stream) Close() error {
	s.closed = true
	return nil
}
