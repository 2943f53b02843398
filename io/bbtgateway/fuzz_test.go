package bbtgateway_test

import (
	"bytes"
	"net/http"
	"testing"
)

// FuzzEndpointsStream forwards a stream of arbitrary bytes that ends or is cut
// off. The caller must get only complete events, in order and each byte once,
// and the response may look complete only if the stream ended after a complete
// event.
func FuzzEndpointsStream(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\nda", "", "\n\n\n\n", "data: x", "\r\n\r\nid:\x00\n\n",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, endsNormally bool) {
		g := newTestGateway(t, 1, func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Answer-Seal", "seal")
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write(data)
			_ = http.NewResponseController(rw).Flush()
			if !endsNormally {
				panic(http.ErrAbortHandler)
			}
		})
		resp, body, err := g.send(http.MethodPost, "/stream/", "")
		if resp == nil {
			t.Fatalf("got %v, want a response", err)
		}
		if resp.StatusCode != http.StatusOK {
			body = ""
		}
		end := bytes.LastIndex(data, []byte("\n\n")) + 2
		if end == 1 {
			end = 0
		}
		if body != string(data[:end]) && (endsNormally || !bytes.HasPrefix(data[:end], []byte(body))) {
			t.Errorf("got %q forwarded of %q, want its complete events", body, data)
		}
		complete := resp.StatusCode == http.StatusOK && err == nil
		if want := endsNormally && end == len(data) && end > 0; complete != want {
			t.Errorf("got status %d, %v for %q with normal end %t, want a complete response %t", resp.StatusCode, err, data, endsNormally, want)
		}
	})
}
