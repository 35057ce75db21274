package edge

import (
	"testing"
	"time"

	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
)

// A server that broke off a request and listens has crashed if another process has its id or address soon.
func TestServerReplaced(t *testing.T) {
	now := time.Unix(1e6, 0)
	for _, x := range []struct {
		what   string
		s      relay.Server
		silent bool
		after  time.Duration
		want   bool
	}{
		{"same process", relay.Server{ID: "s", Address: "a:1", StartedAt: 5}, false, 0, false},
		{"another one under its id", relay.Server{ID: "s", Address: "a:1", StartedAt: 9}, false, 0, true},
		{"unknown start", relay.Server{ID: "s", Address: "a:1"}, false, 0, false},
		{"another id at its address", relay.Server{ID: "x", Address: "a:1", StartedAt: 9}, false, 0, true},
		{"entry of a server from before at its address", relay.Server{ID: "x", Address: "a:1", StartedAt: 4}, false, 0, false},
		{"another server", relay.Server{ID: "x", Address: "b:1", StartedAt: 9}, false, 0, false},
		{"too late", relay.Server{ID: "s", Address: "a:1", StartedAt: 9}, false, replacedWithin + 1, false},
		{"a silent one, later", relay.Server{ID: "x", Address: "a:1", StartedAt: 9}, true, replacedWithin + 1, true},
		{"a silent one, the same process", relay.Server{ID: "s", Address: "a:1", StartedAt: 5}, true, replacedWithin + 1, false},
		{"a silent one, too late", relay.Server{ID: "x", Address: "a:1", StartedAt: 9}, true, silentWithin + 1, false},
		{"a crash that is reported later", relay.Server{}, false, replacedWithin + 1, false},
	} {
		var b brokenRequests
		l := []suspect.Request{{Fingerprint: 1, Segments: []uint64{2, 3}}}
		b.keep(awaited{silent: x.silent, process: relay.Process{ID: "s", StartedAt: 5}, address: "a:1", since: now, requests: l})
		b.clear(suspect.Request{Segments: []uint64{3}})
		var got []suspect.Request
		if x.s.ID == "" {
			got = b.crashed("s", now.Add(x.after))
		} else {
			for _, y := range b.replaced(&x.s, now.Add(x.after)) {
				got = append(got, y.requests...)
			}
		}
		if (len(got) == 1) != x.want || x.want && len(got[0].Segments) != 1 {
			t.Errorf("%s: got %+v, want %v", x.what, got, x.want)
		}
	}
}
