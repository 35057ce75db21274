package proxy

import (
	"math/rand/v2"
	"strings"
	"testing"
)

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

// An event is forwarded only if its id may follow the last one.
func TestFollow(t *testing.T) {
	events := func(ids ...string) (b string) {
		for _, id := range ids {
			b += "id: " + id + "\ndata: x\n\n"
		}
		return b
	}
	for _, c := range []struct {
		name          string
		first, second string // of two servers
		want          string // what is forwarded of the second
	}{
		{"goes on", events("1", "2"), events("3", "4"), events("3", "4")},
		{"repeats", events("1", "2"), events("2", "3"), ""},
		{"skips", events("1", "2"), events("4"), ""},
		{"ids are not consecutive", events("10", "20"), events("30", "25"), events("30")},
		{"repeats later", events("1"), events("2", "2", "3"), events("2")},
		{"no id", events("1"), "data: x\n\n" + events("2"), ""},
		{"no ids at all", "data: x\n\n", "data: x\n\n", ""},
		{"comment first", events("1"), ": x\n\n" + events("2"), ": x\n\n" + events("2")},
		{"two ids, the last counts", events("1"), "id: 2\nid: 5\n\n", ""},
		{"not a number", events("a"), events("b"), ""},
		{"the first had no event", ": x\n\n", events("7"), events("7")},
	} {
		s := &stream{request: &request{server: &Server{Protocol: &Protocol{Echo: "Id-Of-Request"}}}}
		if n, err := s.follow([]byte(c.first)); n != len(c.first) || err != nil {
			t.Errorf("%s: got %d %v of the first server", c.name, n, err)
		}
		s.joined = s.started
		if n, err := s.follow([]byte(c.second)); c.second[:n] != c.want || (err == nil) != (c.want == c.second) {
			t.Errorf("%s: got %q %v of the second server, want %q", c.name, c.second[:n], err, c.want)
		}
	}
}

// Guards against a long event that costs the square of its length: what was looked at is not looked at again, and the
// events are the same.
func TestWholeEventsFrom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 3000 {
		var b []byte
		scanned := 0
		for range 15 {
			for range r.IntN(4) {
				b = append(b, "\r\nd:"[r.IntN(4)])
			}
			whole, next := wholeEventsFrom(b, scanned)
			if want := wholeEvents(b); whole != want {
				t.Fatalf("%q from %d: got %d, want %d", b, scanned, whole, want)
			}
			b, scanned = b[whole:], max(0, next-whole)
		}
	}
	long := []byte(strings.Repeat("data: x\n", 1000))
	if _, next := wholeEventsFrom(long, 0); next != len(long) {
		t.Errorf("%d of %d bytes need not be looked at again", next, len(long))
	}
}
