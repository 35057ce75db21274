package edge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "bergamotspring/platform/standin"
)

// requestsInFlight is how long after a response requests may still arrive that were sent before it.
const requestsInFlight = 20 * time.Millisecond

// Under load, while servers of all kinds reject requests for a time or begin to leave, each node keeps
// to what it was told by each of them, whatever becomes of their entries.
func TestNodesKeepToResponses(t *testing.T) {
	for seed := range uint64(4) {
		runFleet(t, func(w *testFleet) {
			r := rand.New(rand.NewPCG(seed, 0))
			for _, id := range serverIDs() {
				w.renew(id, 1)
			}
			time.Sleep(2 * time.Second) // until the nodes know the processes
			start := time.Now()
			for _, n := range serverIDs() {
				w.misbehave(w.servers[n], r.Uint64(), start)
			}
			var g sync.WaitGroup
			for i := range 120 {
				node, path := []string{"a1", "a2", "b1", "c1"}[r.IntN(4)], []string{"/read/x", "/file/x", "/draft/x", "/once/x"}[r.IntN(4)]
				pause := time.Duration(r.IntN(8000)) * time.Millisecond
				g.Go(func() {
					time.Sleep(pause)
					w.request(node, http.MethodPost, path, fmt.Sprint(i), modelHeaders(fmt.Sprint(i))...)
				})
			}
			g.Go(func() { w.changeEntries(rand.New(rand.NewPCG(seed, 2))) })
			g.Wait()
			held, left := 0, 0
			for id, s := range w.servers {
				h, l := checkArrivals(t, fmt.Sprintf("seed %d, %s", seed, id), s.Arrivals())
				held, left = held+h, left+l
			}
			if held == 0 || left == 0 {
				t.Errorf("seed %d: got %d rejections and %d responses of leaving servers, want some", seed, held, left)
			}
		})
	}
}

// renew writes the entry of a server, which says that it is ready.
func (w *testFleet) renew(id string, sequence int) {
	kind, domain, _ := strings.Cut(id, "-")
	w.registerProcess(w.servers[id], kind, domain, 1000, sequence)
}

// changeEntries renews entries for 8 s, half of them after they were gone for a while, and half of these while some
// nodes do not reach the store.
func (w *testFleet) changeEntries(r *rand.Rand) {
	end := time.Now().Add(8 * time.Second)
	for n := 2; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
		id := serverIDs()[r.IntN(len(w.servers))]
		if r.IntN(2) == 0 {
			w.refuseStore(r.IntN(4))
			w.store.Remove("servers", id)
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			w.refuseStore(0)
		}
		w.renew(id, n)
	}
}

// refuseStore lets the store refuse the first n nodes, and no others.
func (w *testFleet) refuseStore(n int) {
	for i, name := range []string{"a1", "a2", "b1", "c1"} {
		w.store.Refuse(w.nodes[name].node.Settings.IP, i < n)
	}
}

func serverIDs() (l []string) {
	for _, k := range []string{"plain", "encode", "rank", "model"} {
		for _, d := range []string{"a", "b", "c"} {
			l = append(l, k+"-"+d)
		}
	}
	return l
}

// misbehave makes a server reject a share of its requests with a Retry-After, and half of the servers
// leave at some time.
func (w *testFleet) misbehave(s *platformstandin.Server, seed uint64, start time.Time) {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	s.RetryAfter = []string{"0.4", "1", "2.5", ""}[r.IntN(4)]
	s.SharedFault = func() platformstandin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(4) == 0 {
			return platformstandin.FaultReject
		}
		return platformstandin.FaultNone
	}
	if from := start.Add(time.Duration(r.IntN(8000)) * time.Millisecond); r.IntN(2) == 0 {
		s.Leaving = func() bool { return time.Now().After(from) }
	}
}

// checkArrivals reports requests that reached a server though it had told the node not to send any, and
// returns how many responses told so.
func checkArrivals(t *testing.T, name string, l []platformstandin.Arrival) (held, left int) {
	for _, a := range l {
		seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
		until := a.Answered.Add(time.Duration(seconds * float64(time.Second)))
		if err == nil {
			held++
		}
		if a.Leaving {
			left++
		}
		for _, b := range l {
			if a.From != b.From || a.Answered.IsZero() || b.At.Before(a.Answered.Add(requestsInFlight)) {
				continue
			}
			if err == nil && b.At.Before(until) {
				t.Errorf("%s: %s of %s arrived %v after a Retry-After of %s", name, b.Path, b.From, b.At.Sub(a.Answered), a.RetryAfter)
			}
			if a.Leaving && !strings.HasPrefix(b.Path, "/stage-free") && b.Path != "/report" {
				t.Errorf("%s: %s of %s arrived %v after the server said that it was leaving", name, b.Path, b.From, b.At.Sub(a.Answered))
			}
		}
	}
	return held, left
}
