package bbtgateway

import (
	"net/url"
	"strings"
)

// endpointURL returns the URL whose request target net/http writes as the caller sent it,
// to an endpoint at an address; nil if it cannot. A target that begins with two slashes
// would get the scheme in front, unless it is a path.
func endpointURL(addr, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr, Opaque: target}
	if !strings.HasPrefix(target, "//") {
		return u
	}
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		return nil
	}
	u = &url.URL{Scheme: "http", Host: addr, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if u.RequestURI() != target {
		return nil
	}
	return u
}
