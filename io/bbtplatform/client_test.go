package bbtplatform_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/internal/bbtstandin"
	"bluebelltray/io/bbtplatform"
	"github.com/cockroachdb/errors"
)

var _ bluebelltray.Platform = (*bbtplatform.Client)(nil)

// startPlatform starts a simulated platform and returns it with a client.
func startPlatform(t *testing.T, opts ...bbtplatform.Option) (*bbtstandin.Platform, *bbtplatform.Client) {
	t.Helper()
	p := bbtstandin.NewPlatform()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, bbtplatform.New(strings.TrimPrefix(srv.URL, "http://"), opts...)
}

func TestWatchReturnsTheNextValue(t *testing.T) {
	p, c := startPlatform(t)
	p.Put("manifest", []byte("one"))
	first, err := c.Read(t.Context(), "manifest")
	if err != nil {
		t.Fatal(err)
	}
	p.Put("manifest", []byte("two"))
	next, err := c.Watch(t.Context(), "manifest", first.Revision())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(next.Data()), "two"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if next.Revision() <= first.Revision() {
		t.Errorf("got revision %d, want more than %d", next.Revision(), first.Revision())
	}
}

func TestWatchEndsUnchanged(t *testing.T) {
	p, c := startPlatform(t, bbtplatform.WithWatchWait(time.Millisecond))
	p.Put("manifest", []byte("one"))
	_, err := c.Watch(t.Context(), "manifest", 1)
	if !errors.Is(err, bbtplatform.ErrUnchanged) {
		t.Errorf("got %v, want %v", err, bbtplatform.ErrUnchanged)
	}
}

func TestReadFailsWhilePlatformIsDown(t *testing.T) {
	p, c := startPlatform(t)
	p.Put("manifest", []byte("one"))
	p.SetDown(true)
	if _, err := c.Read(context.Background(), "manifest"); err == nil {
		t.Error("got no error, want one from a platform that is down")
	}
	if got, want := p.Reads(), uint64(1); got != want {
		t.Errorf("got %d counted reads, want %d", got, want)
	}
}

func TestHostsReadsUnknownStatesAsLeaving(t *testing.T) {
	p, c := startPlatform(t)
	p.PutHosts([]bbtstandin.HostRecord{{ID: "a", State: "live"}, {ID: "b", State: "odd"}})
	list, err := c.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []bbtfleet.HostState{bbtfleet.HostLive, bbtfleet.HostLeaving} {
		if got := list.Hosts()[i].State(); got != want {
			t.Errorf("host %d: got %v, want %v", i, got, want)
		}
	}
}
