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
		{"next process", 5, func(s *Cache) { s.Put(&Server{ID: "1", Service: "s", StartedAt: 100_001}) }, true},
		{"next process, which may have stated it", 5, func(s *Cache) { s.Put(&Server{ID: "1", Service: "s", StartedAt: 100_000}) }, false},
		{"late response of the earlier process", 5, func(s *Cache) {
			s.Put(&Server{ID: "1", Service: "s", StartedAt: 100_001})
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

// A mark is kept for a while without an entry, as for a server that this node reads of later. An entry ends that
// time; it is that of another process if this started after the mark. What has expired is dropped with the next
// change.
func TestMarkWithoutEntry(t *testing.T) {
	for _, c := range []struct {
		name             string
		marked, returned int64 // starts; returned is that of the entry that comes, 0: none
		kept             bool
	}{
		{"no entry", 5, 0, false}, {"the entry came back", 5, 5, true}, {"start unknown until the entry came", 0, 5, true},
		{"start unknown, later process", 0, 100_001, false},
	} {
		now := time.Unix(100, 0)
		s := Cache{Now: func() time.Time { return now }}
		p := Process{ID: "1", StartedAt: c.marked}
		s.Put(&Server{ID: "2"})
		s.Delete("2")
		s.MarkLeaving(p)
		if now = now.Add(leavingTTL); !s.Withdrawn(p) {
			t.Errorf("%s: got no mark after %v", c.name, leavingTTL)
		}
		if c.returned > 0 {
			p.StartedAt = c.returned
			s.Put(&Server{ID: "1", Service: "s", StartedAt: c.returned})
		}
		now = now.Add(time.Second)
		if v := s.View(); s.Withdrawn(p) != c.kept || (len(v.Servers["s"]) == 0) != (c.kept || c.returned == 0) {
			t.Errorf("%s: got %v and %d servers after more than %v, want %v", c.name, s.Withdrawn(p), len(v.Servers["s"]), leavingTTL, c.kept)
		}
		s.Put(&Server{ID: "3"})
		s.Delete("3")
		if delete(s.gone, "3"); len(s.leaving) > 0 != c.kept || len(s.gone) > 0 {
			t.Errorf("%s: got %d marks and %d removed entries after their time", c.name, len(s.leaving), len(s.gone))
		}
	}
	now := time.Unix(100, 0)
	s := Cache{Now: func() time.Time { return now }}
	s.MarkLeaving(Process{ID: "1"})
	now = now.Add(leavingTTL + time.Second)
	if again := s.MarkLeaving(Process{ID: "1"}); !again || !s.Withdrawn(Process{ID: "1"}) {
		t.Errorf("got %v and %v when marked again after %v, want a new mark", again, s.Withdrawn(Process{ID: "1"}), leavingTTL)
	}
	s.Put(&Server{ID: "1", StartedAt: 5})
	s.MarkLeaving(Process{ID: "1", StartedAt: 5})
	s.Delete("1")
	if m, ok := s.leaving["1"]; !ok || m.removedAt.IsZero() {
		t.Errorf("got %v, want a mark that ends", m)
	}
}

// A response to a request that was sent before this node read the server's entry marks the process of the entry.
func TestMarkAfterEntryCame(t *testing.T) {
	s := Cache{Now: func() time.Time { return time.Unix(100, 0) }}
	p := s.Process(&Server{ID: "1"}) // as another node has granted it
	s.Put(&Server{ID: "1", Service: "s", StartedAt: 5})
	first, again := s.MarkLeaving(p), s.MarkLeaving(p)
	if !first || again || !s.Withdrawn(Process{ID: "1", StartedAt: 5}) || len(s.View().Servers["s"]) > 0 {
		t.Errorf("got %v %v, and %v in the view, want a mark", first, again, s.View().Servers["s"])
	}
	if s.Put(&Server{ID: "1", Service: "s", StartedAt: 100_001}); len(s.View().Servers["s"]) != 1 {
		t.Error("the next process is not in the view")
	}
}

// A node that has read that a server's entry says leaving, or that its failure domain is taken out, sends nothing
// there, also if it was placed by another node, which does not tell the process.
func TestWithdrawnByEntry(t *testing.T) {
	var s Cache
	s.Put(&Server{ID: "1", StartedAt: 5, Leaving: true})
	s.Put(&Server{ID: "2", StartedAt: 5, Domain: "a"})
	s.Put(&Server{ID: "3", StartedAt: 5, Domain: "b"})
	s.TakeOut(map[string]bool{"a": true})
	for id, want := range map[string]bool{"1": true, "2": true, "3": false, "4": false} {
		if got := s.Withdrawn(s.Process(&Server{ID: id})); got != want {
			t.Errorf("%s: got %v, want %v", id, got, want)
		}
	}
	s.MarkLeaving(s.Process(&Server{ID: "3"}))
	if p := (Process{ID: "3", StartedAt: 5}); !s.Withdrawn(p) {
		t.Errorf("got no mark of %v", p)
	}
}

// The process that a node learns of after the statement had started before it, so that the statement may be its own: it
// gets nothing for leavingTTL, also if its entry changes. It does then, unless it has stated that it is leaving itself.
func TestMarkOfUnknownProcess(t *testing.T) {
	for _, again := range []bool{false, true} {
		now := time.Unix(100, 0)
		s := Cache{Now: func() time.Time { return now }}
		s.Put(&Server{ID: "1", Service: "s", StartedAt: 5})
		s.MarkLeaving(Process{ID: "1", StartedAt: 5})
		p := Process{ID: "1", StartedAt: 99_000}
		s.Put(&Server{ID: "1", Service: "s", StartedAt: p.StartedAt})
		s.Put(&Server{ID: "1", Service: "s", StartedAt: p.StartedAt, Slots: 7})
		check := func(what string, want bool) {
			t.Helper()
			if got := len(s.View().Servers["s"]) == 0; got != want || s.Withdrawn(p) != want {
				t.Errorf("%s: got %v in the views and withdrawn: %v, want %v", what, s.View().Servers["s"], s.Withdrawn(p), want)
			}
		}
		now = now.Add(leavingTTL)
		check("after its entry", true)
		if again {
			if first := s.MarkLeaving(p); !first {
				t.Error("its own statement is not new")
			}
		}
		now = now.Add(time.Second)
		check("after the time of the mark", again)
	}
}
