package bbtdaemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"bluebelltray"
	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbthttp"
)

// callAs submits a request for an account and a pool and returns its error.
func callAs(ctx context.Context, d *Daemon, a bbtfleet.AccountID, pool bbtfleet.PoolID, opts ...bbthttp.RequestOption) error {
	opts = append(opts, bbthttp.WithTokens(1, 4))
	resp, err := d.Submit(ctx, bbthttp.NewRequest(a, pool, http.MethodPost, "/", opts...))
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.ReadAll(resp)
	return err
}

func TestNonRetryableModelCallRunsOnceWithoutTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := bbtverdict.New(bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointTimeout)
		b := &fakeBackend{do: func(context.Context, int) (bluebelltray.Response, error) { return nil, lost }}
		d := startDaemon(t, b)
		checkVerdict(t, callAs(t.Context(), d, "guest", "m"), bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointTimeout)
		if got, want := len(b.endpoints()), 1; got != want {
			t.Errorf("got %d dispatches, want %d", got, want)
		}
	})
}

func TestUnknownPoolIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, &fakeBackend{})
		err := callAs(t.Context(), d, "guest", "nowhere", bbthttp.WithIdempotencyKey("order-1", bbthttp.FirstAttempt))
		checkVerdict(t, err, bbtverdict.NotRun, bbtverdict.ReasonUnknownPool)
	})
}
