package bbthttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbthttp"
)

// silentEndpoint returns an endpoint that accepts one call, sends start and then
// nothing. The channel is closed once the caller has closed the connection.
func silentEndpoint(t *testing.T, start string) (bbtfleet.Endpoint, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{})
	ep := serveOnce(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, start)
		_, _ = bufio.NewReader(conn).ReadByte() // returns when the caller closes the connection
		close(closed)
	})
	return ep, closed
}

// streamStart holds the headers and the first event of an event stream.
const streamStart = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: x\n\n"

func TestEndpointTimeoutMayHaveRun(t *testing.T) {
	for name, start := range map[string]string{"before the headers": "", "during the stream": streamStart} {
		t.Run(name, func(t *testing.T) {
			ep, closed := silentEndpoint(t, start)
			resp, err := bbthttp.NewBackend(bbthttp.WithIdleTimeout(20*time.Millisecond)).Do(t.Context(), ep, call(), time.Time{})
			if err == nil {
				_, err = io.ReadAll(resp)
				resp.Close()
			}
			if got, want := bbtverdict.Of(err), bbtverdict.MayHaveRun; got != want {
				t.Errorf("got verdict %v (%v), want %v", got, err, want)
			}
			if got, want := bbtverdict.FromError(err, "").Reason(), bbtverdict.ReasonEndpointTimeout; got != want {
				t.Errorf("got reason %v (%v), want %v", got, err, want)
			}
			<-closed
		})
	}
}

func TestCallerDisconnectClosesEndpointConnection(t *testing.T) {
	ep, closed := silentEndpoint(t, streamStart)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := bbthttp.NewBackend().Do(ctx, ep, call(), time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if got, want := resp.Status(), http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	cancel()
	<-closed
	_, err = io.ReadAll(resp)
	if got, want := bbtverdict.Of(err), bbtverdict.MayHaveRun; got != want {
		t.Errorf("got verdict %v (%v), want %v", got, err, want)
	}
}
