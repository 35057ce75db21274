package proxy

import "testing"

// Only whole events are forwarded, whatever their line ends, and comments are no progress.
func TestWholeEvents(t *testing.T) {
	for _, c := range []struct {
		stream, whole string
		field         bool
	}{
		{"", "", false},
		{"data: a\n", "", false},
		{"data: a\n\ndata: b\n", "data: a\n\n", true},
		{"data: a\r\n\r\ndata: b\r\n", "data: a\r\n\r\n", true},
		{"id: 1\n\nid: 2\r\n\r\nid", "id: 1\n\nid: 2\r\n\r\n", true},
		{"data: a\r\rdata: b\r", "data: a\r\r", true},
		{"data: a\r\r\ndata: b", "data: a\r\r\n", true},
		{"data: a\r\n\r", "", false}, // its LF may be still to come
		{"data: a\n\rdata", "data: a\n\r", true},
		{":\r\n\r\n: x\n\n", ":\r\n\r\n: x\n\n", false},
	} {
		got := c.stream[:wholeEvents([]byte(c.stream))]
		if got != c.whole || hasField([]byte(got)) != c.field {
			t.Errorf("%q: got %q with fields: %v, want %q and %v", c.stream, got, hasField([]byte(got)), c.whole, c.field)
		}
	}
}
