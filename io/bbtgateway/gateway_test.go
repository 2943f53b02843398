package bbtgateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	g := newTestGateway(t, 1, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Answer-Seal", "seal")
		rw.Header().Set("X-Own", "kept")
		rw.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(rw, "body")
	})
	resp, body, err := g.send(http.MethodPost, "/once//a/%2Fb?x=1&y=/../z", "sent", "Account-Name", "forged", "Reserved", "1")
	if err != nil || resp.StatusCode != http.StatusCreated || body != "body" || resp.Header.Get("X-Own") != "kept" || resp.Header.Get("Answer-Seal") != "seal" {
		t.Fatalf("got %v %q, %v, want the endpoint's status, headers and body", resp, body, err)
	}
	r := g.requests[0]
	if r.RequestURI != "/once//a/%2Fb?x=1&y=/../z" || r.Host != "h.example" || g.bodies[0] != "sent" || r.Method != http.MethodPost {
		t.Errorf("got %s %s at %s with %q, want the caller's method, target, host and body", r.Method, r.RequestURI, r.Host, g.bodies[0])
	}
	for name, want := range map[string]string{"Account-Name": "salons", "Wanted-Endpoint": "i-0", "Call-Id": "id-1", "Account-Key": "", "Reserved": "", "User-Agent": "Go-http-client/1.1"} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

func TestChunkedBodyIsForwardedComplete(t *testing.T) {
	g := newTestGateway(t, 1, respond(200, "ok"))
	req, err := http.NewRequest(http.MethodPost, g.server.URL+"/once/", io.MultiReader(strings.NewReader("one"), strings.NewReader(strings.Repeat("x", 50_000))))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Account-Key", "key")
	resp, err := g.server.Client().Do(req)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v, %v, want 200", resp, err)
	}
	resp.Body.Close()
	if want := "one" + strings.Repeat("x", 50_000); g.bodies[0] != want {
		t.Errorf("got %d bytes, want %d", len(g.bodies[0]), len(want))
	}
}

func TestInvalidRequestsReachNoEndpoint(t *testing.T) {
	g := newTestGateway(t, 1, respond(200, "ok"))
	for name, c := range map[string]struct {
		target, body string
		headers      []string
		want         int
	}{
		"unknown path":         {"/none/", "", nil, 404},
		"prefix without slash": {"/once", "", nil, 404},
		"unknown key":          {"/once/", "", []string{"Account-Key", "unknown"}, 401},
		"large body":           {"/once/", strings.Repeat("x", 100_001), nil, 413},
		"large headers":        {"/once/", "", []string{"X-Large", strings.Repeat("x", 5000)}, 431},
		"bad deadline":         {"/once/", "", []string{"Left-Ms", "soon"}, 400},
	} {
		resp, _, err := g.send(http.MethodPost, c.target, c.body, c.headers...)
		if err != nil || resp.StatusCode != c.want {
			t.Errorf("%s: got %v, %v, want %d", name, resp, err, c.want)
		}
	}
	if got := g.requestCount(); got != 0 {
		t.Errorf("got %d requests at endpoints, want none", got)
	}
	if resp, _, err := g.send(http.MethodGet, "/open/", "", "Account-Key", "unknown"); err != nil || resp.StatusCode != 200 {
		t.Errorf("public route: got %v, %v, want 200", resp, err)
	}
}

func TestRejectedRequestIsSentToAnotherEndpoint(t *testing.T) {
	g := newTestGateway(t, 2, rejectNotRun, respond(200, "ok"))
	resp, body, err := g.send(http.MethodPost, "/once/", "")
	if err != nil || resp.StatusCode != 200 || body != "ok" {
		t.Fatalf("got %v %q, %v, want the second endpoint's response", resp, body, err)
	}
	if a, b := g.requests[0].Header.Get("Wanted-Endpoint"), g.requests[1].Header.Get("Wanted-Endpoint"); a == b {
		t.Errorf("got %s twice, want two endpoints", a)
	}
}

func TestRequestRejectedInAllAttemptsIsRefused(t *testing.T) {
	g := newTestGateway(t, 3, rejectNotRun)
	resp, _, err := g.send(http.MethodPost, "/once/", "")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Header.Get("Answer-Seal") != "" {
		t.Errorf("got %v, %v, want 503 with Retry-After", resp, err)
	}
	if got := g.requestCount(); got != 2 {
		t.Errorf("got %d endpoints tried, want 2 attempts", got)
	}
}

func TestNonIdempotentRequestIsNotRetriedAfterFailure(t *testing.T) {
	for name, s := range map[string]http.HandlerFunc{
		"reset":            writeRawAndClose(""),
		"invalid response": writeRawAndClose("nonsense\r\n\r\n"),
		"truncated":        writeRawAndClose("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nContent-Length: 100\r\n\r\nshort"),
	} {
		g := newTestGateway(t, 2, s, respond(200, "ok"))
		resp, body, err := g.send(http.MethodPost, "/once/", "")
		if err != nil || resp.StatusCode != 502 || body != "" {
			t.Errorf("%s: got %v %q, %v, want 502", name, resp, body, err)
		}
		if got := g.requestCount(); got != 1 {
			t.Errorf("%s: got %d runs, want 1", name, got)
		}
	}
}

func TestIdempotentRequestIsRetriedAfterFailure(t *testing.T) {
	for name, s := range map[string]http.HandlerFunc{
		"reset":            writeRawAndClose(""),
		"invalid response": writeRawAndClose("nonsense\r\n\r\n"),
		"truncated":        writeRawAndClose("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nContent-Length: 100\r\n\r\nshort"),
		"failure":          respond(500, "failed"),
		"no seal":          func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "forged") },
		"other ID":         writeRawAndClose("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nCall-Id: other\r\nContent-Length: 2\r\n\r\nno"),
		"encoded":          writeRawAndClose("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"),
		"truncated chunk":  writeRawAndClose("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
	} {
		g := newTestGateway(t, 2, s, respond(200, "ok"))
		resp, body, err := g.send(http.MethodGet, "/again/", "")
		if err != nil || resp.StatusCode != 200 || body != "ok" {
			t.Errorf("%s: got %v %q, %v, want the second endpoint's response", name, resp, body, err)
		}
	}
}

func TestEndpointErrorIsReturnedAfterLastAttempt(t *testing.T) {
	g := newTestGateway(t, 2, respond(500, "failed"))
	resp, body, err := g.send(http.MethodGet, "/again/", "")
	if err != nil || resp.StatusCode != 500 || body != "failed" || resp.Header.Get("Answer-Seal") != "seal" {
		t.Errorf("got %v %q, %v, want the endpoint's 500", resp, body, err)
	}
	if got := g.requestCount(); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}

func TestEndpointErrorIsReturnedIfNoEndpointIsLeft(t *testing.T) {
	g := newTestGateway(t, 1, respond(500, "failed"))
	resp, body, err := g.send(http.MethodGet, "/again/", "", "Left-Ms", "300")
	if err != nil || resp.StatusCode != 500 || body != "failed" {
		t.Errorf("got %v %q, %v, want the endpoint's 500", resp, body, err)
	}
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	g := newTestGateway(t, 1, writeRawAndClose("HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nCall-Id: id-1\r\n\r\nall of it"))
	resp, body, err := g.send(http.MethodPost, "/once/", "")
	if err != nil || resp.StatusCode != 200 || body != "all of it" {
		t.Errorf("got %v %q, %v, want the complete response", resp, body, err)
	}
}

func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nCall-Id: id-1\r\nContent-Length: 2\r\n\r\nok"
	g := newTestGateway(t, 1, writeRawAndClose(response+response), respond(200, "second"))
	for _, want := range []string{"ok", "second"} {
		if _, body, err := g.send(http.MethodPost, "/once/", ""); err != nil || body != want {
			t.Errorf("got %q, %v, want %q", body, err, want)
		}
	}
}
