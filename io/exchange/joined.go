package exchange

// This file recognises heads that go over into another response.

import (
	"net/http"
	"regexp"
	"slices"
)

var statusLine = regexp.MustCompile(`HTTP/1\.[01] \d{3}`)

// holdsStatusLine reports whether another response begins inside a head: the server stopped there, and went on with
// that response. The head has the status of the one and fields of both.
func holdsStatusLine(a *http.Response) bool {
	if statusLine.MatchString(a.Status) {
		return true
	}
	for _, l := range a.Header {
		if slices.ContainsFunc(l, statusLine.MatchString) {
			return true
		}
	}
	return false
}
