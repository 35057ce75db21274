package exchange

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
)

// The guard sees the header of the response to its request, also behind a copy of an earlier one.
func TestGuardSeesResponse(t *testing.T) {
	run(t, func(s *script) {
		var got []int
		send := func() {
			r := &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h"}
			r.Guard.OnHead = func(status int, _ http.Header) { got = append(got, status) }
			_, _, err := s.pool.Whole(context.Background(), r, 100, func(_ int, b []byte) (string, error) { return string(b), nil })
			if err != nil {
				t.Error(err)
			}
		}
		s.responses <- okResponse("", "m1")
		send()
		s.responses <- okResponse("", "m1") + "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"
		send()
		if !slices.Contains(got, 503) {
			t.Errorf("got %v, want the 503", got)
		}
	})
}

// A request that its guard does not admit is not sent, also if it was admitted before its connection was
// opened; the connection is kept.
func TestGuardAdmits(t *testing.T) {
	run(t, func(s *script) {
		no, calls := errors.New("no"), 0
		send := func(admitted int) error {
			calls = 0
			r := &Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"}
			r.Guard.Admit = func() error {
				if calls++; calls > admitted {
					return no
				}
				return nil
			}
			_, err := s.pool.Do(context.Background(), r)
			return err
		}
		for admitted, conns := range []int{0, 1} {
			err := send(admitted)
			synctest.Wait()
			if _, ok := errors.AsType[*UnsentError](err); !ok || !errors.Is(err, no) || s.conns != conns || len(s.requests) != 0 {
				t.Errorf("admitted %d times: got %v, %d connections and %d requests, want %d and 0", admitted, err, s.conns, len(s.requests), conns)
			}
		}
		s.responses <- okResponse("", "")
		if err := send(2); err != nil || s.conns != 1 {
			t.Errorf("got %v on %d connections, want a response on the first one", err, s.conns)
		}
	})
}
