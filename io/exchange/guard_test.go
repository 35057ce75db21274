package exchange

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The guard sees the header of the response to its request, also behind a copy of an earlier one, and if
// the rest of the response is missing.
func TestGuardSeesResponse(t *testing.T) {
	run(t, func(s *script) {
		var got []int
		send := func() error {
			r := &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h"}
			r.Guard.OnHead = func(status int, _ http.Header) { got = append(got, status) }
			_, _, err := s.pool.Whole(context.Background(), r, 100, func(_ int, b []byte) (string, error) { return string(b), nil })
			return err
		}
		s.responses <- okResponse("", "m1")
		s.responses <- okResponse("", "m1") + "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"
		s.responses <- "HTTP/1.1 502 cut\r\nContent-Length: 3\r\n\r\nab" + cut
		if err := errors.Join(send(), send()); err != nil {
			t.Error(err)
		}
		if _, ok := errors.AsType[*BrokenError](send()); !ok || !slices.Equal(got, []int{200, 503, 502}) {
			t.Errorf("got %v, want 200, 503, and 502 of a broken response", got)
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
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := s.pool.Do(ctx, r)
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
