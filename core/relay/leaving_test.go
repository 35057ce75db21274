package relay

import (
	"strconv"
	"testing"
	"time"
)

// A process that stated that it is leaving stays out of the views, whatever its entry says, until
// another one has its ID.
func TestMarkLeaving(t *testing.T) {
	for _, c := range []struct {
		name  string
		start int64
		steps func(s *Cache)
		want  bool // in the view at the end
	}{
		{"marked", 5, func(*Cache) {}, false},
		{"entry says ready", 5, func(s *Cache) { s.Put(&Server{ID: "1", Service: "s", StartedAt: 5}) }, false},
		{"entry came back", 5, func(s *Cache) { s.Delete("1"); s.Put(&Server{ID: "1", Service: "s", StartedAt: 5}) }, false},
		{"next process", 5, func(s *Cache) { s.Put(&Server{ID: "1", Service: "s", StartedAt: 6}) }, true},
		{"late response of the earlier process", 5, func(s *Cache) {
			s.Put(&Server{ID: "1", Service: "s", StartedAt: 6})
			s.MarkLeaving(Process{ID: "1", StartedAt: 5})
		}, true},
		{"start unknown, entry says ready", 0, func(s *Cache) { s.Put(&Server{ID: "1", Service: "s"}) }, false},
		{"start unknown, entry came back", 0, func(s *Cache) { s.Delete("1"); s.Put(&Server{ID: "1", Service: "s"}) }, true},
		{"start unknown, ready after it left", 0, func(s *Cache) {
			s.Put(&Server{ID: "1", Service: "s", Leaving: true})
			s.Put(&Server{ID: "1", Service: "s"})
		}, true},
		{"start unknown, another address", 0, func(s *Cache) { s.Put(&Server{ID: "1", Service: "s", Address: "b"}) }, true},
	} {
		now := time.Unix(100, 0)
		s := Cache{Now: func() time.Time { return now }}
		s.Put(&Server{ID: "1", Service: "s", StartedAt: c.start})
		s.Put(&Server{ID: "2", Service: "s", StartedAt: c.start})
		p := Process{ID: "1", StartedAt: c.start}
		if first, again := s.MarkLeaving(p), s.MarkLeaving(p); !first || again || !s.Withdrawn(p) {
			t.Errorf("%s: got %v %v when marked twice, want true, then false", c.name, first, again)
		}
		c.steps(&s)
		v := s.View()
		if got := len(v.Servers["s"]) == 2; got != c.want || (len(v.Departing["s"]) == 0) != c.want {
			t.Errorf("%s: got %v in the view and %v departing, want %v", c.name, got, v.Departing["s"], c.want)
		}
	}
}

// Views are asked for many times in each decision, so a view that is there costs nothing for servers that are gone.
func TestViewWithoutWork(t *testing.T) {
	reads := 0
	s := Cache{Now: func() time.Time { reads++; return time.Unix(100, 0) }}
	for i := range 100 {
		p := Process{ID: strconv.Itoa(i), StartedAt: 5}
		s.Put(&Server{ID: p.ID, Service: "s", StartedAt: p.StartedAt})
		s.MarkLeaving(p)
		s.Delete(p.ID)
	}
	s.View()
	reads = 0
	if s.View(); reads > 0 {
		t.Errorf("got %d reads of the clock for 100 servers that are gone, want none", reads)
	}
}

// A mark is kept for a while without an entry, as for a server that this node reads of later.
func TestMarkWithoutEntry(t *testing.T) {
	now := time.Unix(100, 0)
	s := Cache{Now: func() time.Time { return now }}
	p := Process{ID: "1", StartedAt: 5}
	s.MarkLeaving(p)
	now = now.Add(leavingTTL)
	s.View()
	if !s.Withdrawn(p) {
		t.Errorf("got no mark after %v", leavingTTL)
	}
	now = now.Add(time.Second)
	s.View()
	if s.Withdrawn(p) {
		t.Errorf("got a mark after more than %v", leavingTTL)
	}
}
