package proxy

import (
	"net/http"
	"testing"
)

// The target keeps its bytes, and its path ends where the query begins.
func TestOriginForm(t *testing.T) {
	for _, c := range []struct{ uri, target, path string }{
		{"/a/b?c=/d", "/a/b?c=/d", "/a/b"},
		{"/a%2Fb%3Fc", "/a%2Fb%3Fc", "/a%2Fb%3Fc"},
		{"//a//../b", "//a//../b", "//a//../b"},
		{"/a?b?c", "/a?b?c", "/a"},
		{"/a?u=http://h/b", "/a?u=http://h/b", "/a"},
		{"http://h/a%2F?b", "/a%2F?b", "/a%2F"},
		{"http://h:80", "/", "/"},
		{"http://h?b", "/?b", "/"},
		{"*", "*", "*"},
		{"h:80", "h:80", "h:80"},
	} {
		q := request{target: originForm(&http.Request{RequestURI: c.uri})}
		if q.target != c.target || q.path() != c.path {
			t.Errorf("%s: got target %q and path %q, want %q and %q", c.uri, q.target, q.path(), c.target, c.path)
		}
	}
}
