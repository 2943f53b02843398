package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// newID returns an ID of a client attempt, which names the host that it is sent to.
func newID(h *host) string {
	return fmt.Sprintf("%08x-%s", requestCount.Add(1), h.name)
}

// ask sends one request to a host and reads the whole answer.
func ask(h *host, method, path, key string, deadline time.Duration, headers map[string]string, body string) (id string, status int, answer string, err error) {
	id = newID(h)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, strings.NewReader(body))
	check(err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Api-Key", key)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	logf("client sends %s to %s", id, h.name)
	resp, err := clientTransport.RoundTrip(req)
	if err != nil {
		logf("client gets no answer to %s: %v", id, err)
		return id, 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	logf("client gets %d for %s, %d bytes, error %v", resp.StatusCode, id, len(data), err)
	return id, resp.StatusCode, string(data), err
}

var clientTransport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
