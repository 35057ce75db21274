package backend

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/stage"
	"bergamotspring/io/standin"
)

// whileRepeating runs f with a server that sends each response once more, when the next request arrives on
// its connection.
func whileRepeating(t *testing.T, h http.Handler, f func(t *testing.T, c *Client)) {
	var r standin.Repeater
	r.On.Store(true)
	withRepeater(t, h, &r, func(t *testing.T, n *standin.Network, c *Client) {
		n.Latency = func(string, string) time.Duration { return time.Millisecond }
		f(t, c)
	})
}

// A server refuses one call, and sends the refusal once more when the next call arrives: only the call
// that it refused counts as refused.
func TestRepeatedRefusal(t *testing.T) {
	for _, text := range []string{"", "busy"} {
		j := &standin.JSON{Service: 10 * time.Millisecond}
		serve, calls := j.Handler(), 0
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls++; calls > 1 {
				serve.ServeHTTP(w, r)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(text))
		})
		whileRepeating(t, h, func(t *testing.T, c *Client) {
			for i := range 4 {
				_, err := c.Invoke(t.Context(), &Call{ID: fmt.Sprint("c", i), Address: "s:80"}, "encode", []byte(`"x"`))
				if got, _ := kindOf(err); (got == Status) != (i == 0) {
					t.Errorf("text %q, call %d: %v", text, i, err)
				}
				synctest.Wait() // until net/http has seen which connections are closed
			}
		})
	}
}

// A server sends each response once more: a copy costs the call that meets it, not those after it.
func TestServedWhileResponsesRepeat(t *testing.T) {
	s := &standin.JSON{Service: 10 * time.Millisecond}
	served := 0
	whileRepeating(t, s.Handler(), func(t *testing.T, c *Client) {
		for i := range 20 {
			id := fmt.Sprintf(`"x%d"`, i)
			a, err := c.Invoke(t.Context(), &Call{ID: "c" + id, Address: "s:80"}, "encode", []byte(id))
			if err == nil {
				served++
			}
			if err == nil && string(a.Output) != id {
				t.Errorf("call %s got %s", id, a.Output)
			}
			synctest.Wait() // until net/http has seen which connections are closed
		}
	})
	if served < 10 {
		t.Errorf("got %d of 20 calls served, want 10 at least", served)
	}
}

// A load report is that of now, not a copy of an earlier one.
func TestRepeatedLoadReport(t *testing.T) {
	e := &standin.Engine{}
	whileRepeating(t, e.Handler(), func(t *testing.T, c *Client) {
		for _, cold := range []bool{true, false, true} {
			e.SetCold(cold)
			if l, err := c.Load(t.Context(), "s:80"); l.Cold != cold || err != nil {
				t.Errorf("got %+v, %v, want cold %v", l, err, cold)
			}
		}
	})
}

// An order is answered by its own response, not by a copy of that to an earlier order.
func TestRepeatedOrderResponse(t *testing.T) {
	whileRepeating(t, (&standin.Engine{ChecksFencing: true}).Handler(), func(t *testing.T, c *Client) {
		for _, o := range []struct {
			fencing uint64
			want    error
		}{{5, nil}, {4, ErrFencing}, {5, nil}} {
			if err := c.Order(t.Context(), "s:80", Order{Fencing: o.fencing}); !errors.Is(err, o.want) {
				t.Errorf("order %d = %v, want %v", o.fencing, err, o.want)
			}
		}
	})
}

// A copy of an earlier stream adds no token to the next one, and costs it one attempt at most.
func TestRepeatedStream(t *testing.T) {
	e := &standin.Engine{Prefill: 10 * time.Millisecond, Gap: time.Millisecond}
	whileRepeating(t, e.Handler(), func(t *testing.T, c *Client) {
		for i := range 6 {
			var a stage.Assembler
			r := &Completion{Prompt: fmt.Appendf(nil, `"p%d"`, i), MaxTokens: 5, FirstTimeout: time.Second, Token: func(int, []byte) error { return nil }}
			_, err := c.Complete(t.Context(), &Call{ID: fmt.Sprint("c", i), Address: "s:80"}, r, &a)
			if err != nil {
				synctest.Wait()
				_, err = c.Complete(t.Context(), &Call{ID: fmt.Sprint("d", i), Address: "s:80"}, r, &a)
			}
			if want := standin.Text(fmt.Sprint("p", i), 5); string(a.Text) != want || err != nil {
				t.Errorf("stream %d: got %q, %v, want %q", i, a.Text, err, want)
			}
			synctest.Wait()
		}
	})
}
