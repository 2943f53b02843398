package bbtgateway_test

import (
	"bytes"
	"net/http"
	"testing"
)

// FuzzEndpointsStream passes on a stream of whatever bytes, which end or break
// off. The caller gets whole events alone, in order, each byte once; the answer
// looks complete only if its last event is.
func FuzzEndpointsStream(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\nda", "", "\n\n\n\n", "data: x", "\r\n\r\nid:\x00\n\n",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, ends bool) {
		w := newWorld(t, 1, func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Answer-Seal", "seal")
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write(data)
			_ = http.NewResponseController(rw).Flush()
			if !ends {
				panic(http.ErrAbortHandler)
			}
		})
		resp, body, err := w.send(http.MethodPost, "/stream/", "")
		if resp == nil {
			t.Fatalf("got %v, want an answer", err)
		}
		if resp.StatusCode != http.StatusOK {
			body = ""
		}
		whole := bytes.LastIndex(data, []byte("\n\n")) + 2
		if whole == 1 {
			whole = 0
		}
		if body != string(data[:whole]) && (ends || !bytes.HasPrefix(data[:whole], []byte(body))) {
			t.Errorf("got %q passed on of %q, want its whole events", body, data)
		}
		complete := resp.StatusCode == http.StatusOK && err == nil
		if want := ends && whole == len(data) && whole > 0; complete != want {
			t.Errorf("got status %d, %v for %q that ends %t, want a complete answer %t", resp.StatusCode, err, data, ends, want)
		}
	})
}
