package edge

// This file tests requests that crash servers which then answer nothing, not even connections.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// darkTime is how long a server answers nothing after a crash, until its next process has started.
const darkTime = 3 * time.Second

// darkServers are plain servers that go dark on some requests.
type darkServers struct {
	fleet *testFleet
	mu    sync.Mutex
	boots int
	times []time.Time // at which such requests reached a server
}

// goDark makes the plain servers go dark on requests whose id begins with d.
func (w *testFleet) goDark() *darkServers {
	x := &darkServers{fleet: w}
	for _, d := range []string{"a", "b", "c"} {
		s := w.servers["plain-"+d]
		s.Started = time.Now()
		w.register(s, "plain", d, "ready", 0)
		x.watch(s, d)
	}
	time.Sleep(2 * time.Second)
	return x
}

func (x *darkServers) watch(s *platformstandin.Server, domain string) {
	s.Raw = func(r platformstandin.Run) string {
		if r.ID[0] != 'd' {
			return ""
		}
		x.mu.Lock()
		x.times = append(x.times, time.Now())
		x.mu.Unlock()
		x.crash(s, domain)
		return "\n"
	}
}

// crash makes a server go dark. Its next process has another id at the same address; the entry of the one before goes some
// time later.
func (x *darkServers) crash(s *platformstandin.Server, domain string) {
	w := x.fleet
	w.net.SetHost(hostOf(s.Address), standin.HostGone)
	w.serving.Go(func() {
		time.Sleep(darkTime)
		w.net.SetHost(hostOf(s.Address), standin.HostRefuses) // the connections of before end
		x.mu.Lock()
		x.boots++
		p := w.newServer("plain", fmt.Sprint("plain-", domain, x.boots), s.Address)
		x.mu.Unlock()
		p.Started = time.Now()
		x.watch(p, domain)
		w.processes.Store(s.Address, p)
		w.net.SetHost(hostOf(s.Address), standin.HostUp)
		w.register(p, "plain", domain, "ready", 0)
		time.Sleep(600 * time.Millisecond)
		w.store.Remove("servers", s.ID)
	})
}

// reached returns when the requests reached servers.
func (x *darkServers) reached() []time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.times)
}

// A request comes again and again and crashes servers that go dark for some seconds: from 4 s after the third crash on, it
// reaches three at most, and is refused. Sound requests are served all the while, and never blamed. Guards against review
// case 13.
func TestCrashingRequestOfDarkServers(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		x := w.goDark()
		end := time.Now().Add(22 * time.Second)
		var g sync.WaitGroup
		served := 0
		g.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				if w.request("b1", http.MethodGet, "/read/sound", fmt.Sprint("s", i)).status == http.StatusOK {
					served++
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		last := 0
		for i := 0; time.Now().Before(end); i++ {
			node := []string{"a1", "a2", "b1", "c1"}[i%4]
			last = w.request(node, http.MethodGet, "/read/deadly", fmt.Sprint("d", i), "X-Bergamotspring-Deadline-Ms", "800").status
			time.Sleep(700 * time.Millisecond)
		}
		g.Wait()
		l := x.reached()
		if len(l) < 3 {
			t.Fatalf("%d servers were reached, want three at least", len(l))
		}
		late := 0
		for _, at := range l {
			if at.Sub(l[2]) > contactTime {
				late++
			}
		}
		if late > 3 || last != http.StatusServiceUnavailable {
			t.Errorf("%d of %d requests reached servers %v after the third crash, and the last one got %d", late, len(l), contactTime, last)
		}
		if served < 100 {
			t.Errorf("%d sound requests were served, want 100 at least", served)
		}
		blamed := map[string]bool{}
		for _, line := range w.log.matching("culprit_found") {
			_, x, _ := strings.Cut(line, `"fingerprint":`)
			x, _, _ = strings.Cut(x, ",")
			blamed[x] = true
		}
		if len(blamed) != 1 {
			t.Errorf("%d requests were blamed, want the deadly one only", len(blamed))
		}
		for i, node := range []string{"a1", "a2", "b1", "c1"} {
			w.wantOK(w.request(node, http.MethodGet, "/read/sound", fmt.Sprint("after", i)), "a sound request at %s", node)
		}
	})
}

// Servers are silent for some seconds, and go on as the same processes, or others take their places, while sound requests run
// there. None of these is blamed, and all are served once the servers are back.
func TestDarkServersOfSoundRequests(t *testing.T) {
	for name, crash := range map[string]bool{"cut off": false, "crashed by something else": true} {
		runFleet(t, func(w *testFleet) {
			x := w.goDark()
			for round := range 4 {
				for _, d := range []string{"a", "b", "c"} {
					s, _ := w.processes.Load(w.servers["plain-"+d].Address)
					s.(*platformstandin.Server).ServiceTime = 100 * time.Millisecond
				}
				var g sync.WaitGroup
				for i := range 12 {
					node := []string{"a1", "a2", "b1", "c1"}[i%4]
					g.Go(func() {
						w.request(node, http.MethodGet, "/read/same", fmt.Sprint("s", round, "-", i), "X-Bergamotspring-Deadline-Ms", "1500")
					})
				}
				time.Sleep(50 * time.Millisecond)
				for i, d := range []string{"a", "b"} {
					s, _ := w.processes.Load(w.servers["plain-"+d].Address)
					if crash {
						x.crash(s.(*platformstandin.Server), d)
					} else {
						host := hostOf(w.servers["plain-"+d].Address)
						w.net.SetHost(host, standin.HostGone)
						time.AfterFunc(darkTime, func() { w.net.SetHost(host, standin.HostUp) })
					}
					time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				}
				g.Wait()
				time.Sleep(darkTime + 3*time.Second)
				w.wantOK(w.request("b1", http.MethodGet, "/read/same", fmt.Sprint("after", round)), "%s: after round %d", name, round)
			}
			if l := w.log.matching("culprit_found"); len(l) > 0 {
				t.Errorf("%s: got %v", name, l)
			}
		})
	}
}
