package proxy

// This file defines the target of a request. Its bytes select the route, and with it the kind and the key, and the same
// bytes are forwarded: nothing in between decodes or cleans them, so that a server never gets another path than the one
// that was looked up.

import (
	"net/http"
	"strings"
)

// originForm returns the target of a request as its bytes arrived, without scheme and authority: a caller may send these to
// a proxy, and net/http takes the host from them. A target without a path, as * has none, is returned as it is.
func originForm(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, rest, ok := strings.Cut(r.RequestURI, "://")
	if !ok {
		return r.RequestURI
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// path returns the path of the request's target, without its query.
func (q *request) path() string {
	p, _, _ := strings.Cut(q.target, "?")
	return p
}
