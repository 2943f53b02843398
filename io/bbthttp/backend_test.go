package bbthttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bluebelltray/core/bbtfleet"
	"bluebelltray/core/bbtverdict"
	"bluebelltray/io/bbthttp"
)

// serveOnce starts an endpoint that accepts one connection, reads a request and calls
// reply with the connection.
func serveOnce(t *testing.T, reply func(net.Conn)) bbtfleet.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			reply(conn)
		}
	}()
	return bbtfleet.NewEndpoint("e", "z", bbtfleet.ModelEngine, "m", bbtfleet.WithAddr(l.Addr().String()))
}

// call returns a request without a body.
func call() *bbthttp.Request {
	return bbthttp.NewRequest("a", "m", http.MethodPost, "/v1/completions")
}

func TestDoVerdicts(t *testing.T) {
	const streamHeaders = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	tests := []struct {
		name    string
		reply   string
		verdict bbtverdict.Verdict
		reason  bbtverdict.Reason
	}{
		{"complete stream", streamHeaders + "data: x\n\ndata: [DONE]\n\n", bbtverdict.Ran, ""},
		{"stream without end mark", streamHeaders + "data: x\n\n", bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete},
		{"body without length or chunks", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", bbtverdict.MayHaveRun, bbtverdict.ReasonResponseIncomplete},
		{"closed before the headers", "", bbtverdict.MayHaveRun, bbtverdict.ReasonEndpointLost},
		{"explicit refusal", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", bbtverdict.NotRun, bbtverdict.ReasonEndpointRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ep := serveOnce(t, func(c net.Conn) { _, _ = io.WriteString(c, tt.reply) })
			resp, err := bbthttp.NewBackend().Do(t.Context(), ep, call(), time.Time{})
			if err == nil {
				defer resp.Close()
				_, err = io.ReadAll(resp)
			}
			if got, want := bbtverdict.Of(err), tt.verdict; got != want {
				t.Errorf("got verdict %v (%v), want %v", got, err, want)
			}
			if err != nil {
				if got, want := bbtverdict.FromError(err, "").Reason(), tt.reason; got != want {
					t.Errorf("got reason %v, want %v", got, want)
				}
			}
		})
	}
}

func TestDoSendsNothingIfPermitHasExpired(t *testing.T) {
	received := make(chan struct{})
	ep := serveOnce(t, func(net.Conn) { close(received) })
	_, err := bbthttp.NewBackend().Do(t.Context(), ep, call(), time.Now().Add(-time.Nanosecond))
	if got, want := bbtverdict.Of(err), bbtverdict.NotRun; got != want {
		t.Errorf("got verdict %v (%v), want %v", got, err, want)
	}
	select {
	case <-received:
		t.Error("endpoint received a request, want none")
	default:
	}
}

func TestDoIsNotRunIfConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	ep := bbtfleet.NewEndpoint("e", "z", bbtfleet.ModelEngine, "m", bbtfleet.WithAddr(l.Addr().String()))
	_, err = bbthttp.NewBackend().Do(t.Context(), ep, call(), time.Time{})
	if got, want := bbtverdict.Of(err), bbtverdict.NotRun; got != want {
		t.Errorf("got verdict %v (%v), want %v", got, err, want)
	}
}
