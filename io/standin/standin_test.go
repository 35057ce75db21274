package standin

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Checks the stand-in that all tests of cold starts depend on: a cold server above
// MaxColdCalls crashes, aborts its calls and refuses connections until it restarts; a
// warm server sustains the same load.
func TestColdServerCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{}
		s := &JSON{Service: 10 * time.Millisecond}
		s.MaxColdCalls, s.ColdFactor, s.WarmAfter = 1, 3, 2
		s.OnCrash = func() { n.SetHost("s", HostRefuses) }
		s.OnRestart = func() { n.SetHost("s", HostUp) }
		l, err := n.Listen("s:80")
		if err != nil {
			t.Fatal(err)
		}
		h := &http.Server{Handler: s.Handler()}
		go func() { _ = h.Serve(l) }()
		c := &http.Client{Transport: &http.Transport{DialContext: n.Dialer("c"), DisableKeepAlives: true}}
		post := func(calls int) (failed int) {
			var mu sync.Mutex
			var g sync.WaitGroup
			for range calls {
				g.Go(func() {
					r, err := c.Post("http://s/v1/x", "application/json", strings.NewReader(`{"call_id":"c","input":1}`))
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed++
						return
					}
					_ = r.Body.Close()
				})
			}
			g.Wait()
			return failed
		}
		for _, step := range []struct {
			name          string
			do            func()
			calls, failed int
		}{
			{"warm", func() {}, 4, 0},
			{"cold, one call", func() { s.SetCold(true) }, 1, 0},
			{"cold, two calls", func() {}, 2, 2},
			{"down", func() {}, 1, 1},
			{"restarted", s.Restart, 1, 0},
			{"last cold answer", func() {}, 1, 0},
			{"warm again", func() {}, 4, 0},
		} {
			step.do()
			if got := post(step.calls); got != step.failed {
				t.Errorf("%s: failed calls = %d, want %d", step.name, got, step.failed)
			}
		}
		if got := s.Crashes(); got != 1 {
			t.Errorf("crashes = %d, want 1", got)
		}
		_ = h.Close()
	})
}
