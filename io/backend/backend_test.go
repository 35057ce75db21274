package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/stage"
	"bergamotspring/io/standin"
)

// withListener runs f with a server at "s:80" and a client under a fake clock.
func withListener(t *testing.T, serve func(net.Listener), f func(t *testing.T, n *standin.Network, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := &standin.Network{}
		l, err := n.Listen("s:80")
		if err != nil {
			t.Fatal(err)
		}
		go serve(l)
		base := time.Now()
		c := &Client{Dial: n.Dialer("node"), Clock: Clock{Boot: func() time.Duration { return time.Since(base) }}}
		f(t, n, c)
		c.Close()
		time.Sleep(time.Second) // until the server observes that its connections are closed
		n.Close()
	})
}

// withServer is withListener with a server that handles requests.
func withServer(t *testing.T, h http.Handler, f func(t *testing.T, n *standin.Network, c *Client)) {
	withRepeater(t, h, &standin.Repeater{}, f)
}

// withRepeater is withServer with a server whose responses r repeats.
func withRepeater(t *testing.T, h http.Handler, r *standin.Repeater, f func(t *testing.T, n *standin.Network, c *Client)) {
	s := &http.Server{Handler: h}
	withListener(t, func(l net.Listener) { _ = s.Serve(r.Wrap(l)) }, func(t *testing.T, n *standin.Network, c *Client) {
		f(t, n, c)
		c.Close()
		_ = s.Close()
		time.Sleep(2 * time.Minute) // delayed responses of the stand-in must end before the synctest bubble does
	})
}

func kindOf(err error) (ErrorKind, bool) {
	var e *Error
	if !errors.As(err, &e) {
		return 0, true
	}
	return e.Kind, e.Sent
}

// Guards against passing on a response that belongs to another call, is truncated, lacks
// its end marker or is late.
func TestInvokeFaults(t *testing.T) {
	for _, c := range []struct {
		fault standin.Fault
		want  ErrorKind
	}{
		{standin.Fault{Kind: standin.CrossedID}, Crossed},
		{standin.Fault{Kind: standin.Truncated}, Truncated},
		{standin.Fault{Kind: standin.NoEnd}, NoEnd},
		{standin.Fault{Kind: standin.ErrorResponse}, Status},
		{standin.Fault{Kind: standin.Late, Delay: time.Minute}, Stopped},
		{standin.Fault{Kind: standin.SilentAt}, Stopped},
		{standin.Fault{Kind: standin.CrashAt}, Broken},
	} {
		s := &standin.JSON{Fault: func(string, standin.Call) standin.Fault { return c.fault }}
		withServer(t, s.Handler(), func(t *testing.T, _ *standin.Network, cl *Client) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			a, err := cl.Invoke(ctx, &Call{ID: "c1", Address: "s:80"}, "encode", []byte(`"x"`))
			got, sent := kindOf(err)
			if got != c.want || !sent || a.Output != nil || cl.ErrorCount(c.want) != 1 {
				t.Errorf("fault %d: error = %v, output %s, want %v", c.fault.Kind, err, a.Output, c.want)
			}
		})
	}
}

// Guards against a call that is sent after its permit's send-by time by any of the three
// clocks, and against an error that wrongly reports the call as unsent.
func TestSendBy(t *testing.T) {
	for _, c := range []struct {
		name             string
		mono, wall, boot time.Duration
		want             ErrorKind
	}{
		{"in time", time.Second, time.Second, time.Second, 0},
		{"process was paused", 3 * time.Second, 0, 0, TooLate},
		{"wall clock was stepped", 0, 3 * time.Second, 0, TooLate},
		{"VM was suspended", 0, 0, 3 * time.Second, TooLate},
	} {
		s := &standin.JSON{}
		withServer(t, s.Handler(), func(t *testing.T, _ *standin.Network, cl *Client) {
			base := time.Now()
			later := false
			cl.Clock.Now = func() time.Time {
				if !later {
					return base
				}
				if c.wall > c.mono {
					return base.Round(0).Add(c.wall) // without a monotonic reading, as after a clock step
				}
				return base.Add(c.mono)
			}
			cl.Clock.Boot = func() time.Duration {
				if later {
					return c.boot
				}
				return 0
			}
			m := cl.Clock.Mark()
			later = true
			k := &Call{ID: "c1", Address: "s:80", Key: "o/k", RequestedAt: m, SendBy: 2 * time.Second}
			_, err := cl.Invoke(t.Context(), k, "log", []byte(`1`))
			got, sent := kindOf(err)
			if got != c.want || sent != (c.want == 0) {
				t.Errorf("%s: error = %v, want %v", c.name, err, c.want)
			}
			if got, want := s.Runs("o/k"), map[bool]int{true: 1}[c.want == 0]; got != want {
				t.Errorf("%s: runs = %d, want %d", c.name, got, want)
			}
		})
	}
}

// Guards against reporting a call as sent although the connection was refused.
func TestRefusedIsUnsent(t *testing.T) {
	withServer(t, http.NotFoundHandler(), func(t *testing.T, _ *standin.Network, c *Client) {
		_, err := c.Invoke(t.Context(), &Call{ID: "c1", Address: "none:80"}, "log", []byte(`1`))
		if f, sent := kindOf(err); f != Refused || sent {
			t.Errorf("error = %v, want refused and unsent", err)
		}
	})
}

// Guards against automatic retries of net/http: it resends a request if a reused
// connection was closed, which runs the work twice. The test sends a GET, since net/http
// resends only requests it considers idempotent; the gate must prevent even that.
func TestNoSilentResend(t *testing.T) {
	var seen atomic.Int32
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if seen.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"inflight":0,"cold":false}`))
	})
	withServer(t, h, func(t *testing.T, n *standin.Network, c *Client) {
		get := func() error {
			_, r, err := c.send(t.Context(), &Call{Address: "s:80"}, http.MethodGet, "/v1/load", nil)
			if err != nil {
				return err
			}
			_, err = readBody(r)
			return errors.Join(err, r.Body.Close())
		}
		if err := get(); err != nil {
			t.Fatal(err)
		}
		err := get()
		if f, sent := kindOf(err); f != Broken || !sent {
			t.Errorf("error = %v, want broken and sent", err)
		}
		if got := seen.Load(); got != 2 {
			t.Errorf("the server saw %d requests, want 2", got)
		}
	})
}

// Guards against headers and reused connections that let net/http or a proxy resend a
// non-idempotent call, and against following a redirect.
func TestNonIdempotentCall(t *testing.T) {
	var keys []string
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // else the connection may be closed before the request is written
		keys = append(keys, r.Header.Get("Idempotency-Key")+r.Header.Get("X-Operation-Key"))
		http.Redirect(w, r, "/v1/other", http.StatusTemporaryRedirect)
	})
	withServer(t, h, func(t *testing.T, n *standin.Network, c *Client) {
		for range 2 {
			_, err := c.Invoke(t.Context(), &Call{ID: "c1", Address: "s:80", Key: "o/k"}, "log", []byte(`1`))
			if f, _ := kindOf(err); f != Status {
				t.Errorf("error = %v, want the redirect's status", err)
			}
		}
		if got, want := strings.Join(keys, " "), "o/k o/k"; got != want {
			t.Errorf("keys = %q, want %q", got, want)
		}
		if got, want := n.Dials("s:80"), 2; got != want {
			t.Errorf("connections = %d, want %d", got, want)
		}
	})
}

// Guards against accepting an incomplete stream as complete, and against a resumed
// stream that duplicates or omits a token.
func TestCompleteFaultsAndResume(t *testing.T) {
	for _, c := range []struct {
		fault standin.Fault
		want  ErrorKind // of the first stream; 0: complete
	}{
		{standin.Fault{}, 0},
		{standin.Fault{Kind: standin.Doubled, At: 3}, 0},
		{standin.Fault{Kind: standin.CrossedID, At: 3}, Skipped},
		{standin.Fault{Kind: standin.Skipped, At: 3}, Skipped},
		{standin.Fault{Kind: standin.Skipped, At: 9}, Skipped},
		{standin.Fault{Kind: standin.Truncated, At: 3}, Truncated},
		{standin.Fault{Kind: standin.NoEnd}, NoEnd},
		{standin.Fault{Kind: standin.SilentAt, At: 3}, Stalled},
		{standin.Fault{Kind: standin.SilentAt, At: 0}, Stalled},
		{standin.Fault{Kind: standin.Late, At: 3, Delay: time.Second}, Stalled},
		{standin.Fault{Kind: standin.ErrorResponse}, Status},
	} {
		calls := 0
		e := &standin.Engine{Prefill: 50 * time.Millisecond, Gap: 10 * time.Millisecond}
		e.Fault = func(standin.Completion) standin.Fault {
			if calls++; calls > 1 {
				return standin.Fault{}
			}
			return c.fault
		}
		withServer(t, e.Handler(), func(t *testing.T, _ *standin.Network, cl *Client) {
			var a stage.Assembler
			var text strings.Builder
			r := &Completion{Prompt: []byte(`"why"`), MaxTokens: 10, FirstTimeout: time.Second, StallTimeout: 200 * time.Millisecond}
			r.Token = func(_ int, b []byte) error { _, err := text.Write(b[1 : len(b)-1]); return err }
			_, err := cl.Complete(t.Context(), &Call{ID: "c1", Address: "s:80"}, r, &a)
			if got, _ := kindOf(err); got != c.want || a.Done != (c.want == 0) {
				t.Errorf("fault %+v: error = %v, want %v", c.fault, err, c.want)
			}
			if err != nil {
				if _, err = cl.Complete(t.Context(), &Call{ID: "c2", Address: "s:80"}, r, &a); err != nil {
					t.Errorf("fault %+v: resumed: %v", c.fault, err)
				}
			}
			want := standin.Text("why", 10)
			if text.String() != want || string(a.Text) != want || e.Mismatches() != 0 {
				t.Errorf("fault %+v: text = %q, want %q", c.fault, text.String(), want)
			}
			synctest.Wait()
			if got, want := e.Cancelled("c1"), c.want != 0 && c.want != Status; got != want {
				t.Errorf("fault %+v: cancelled = %v, want %v", c.fault, got, want)
			}
		})
	}
}

// Checks the control calls of a model server: a load report, and an order that the
// server refuses because its fencing number is old.
func TestLoadAndOrders(t *testing.T) {
	e := &standin.Engine{ChecksFencing: true}
	e.SetCold(true)
	withServer(t, e.Handler(), func(t *testing.T, _ *standin.Network, c *Client) {
		l, err := c.Load(t.Context(), "s:80")
		if want := (LoadReport{Cold: true}); l != want || err != nil {
			t.Errorf("load = %+v, %v, want %+v", l, err, want)
		}
		for _, o := range []struct {
			fencing uint64
			want    error
		}{{5, nil}, {4, ErrFencing}, {5, nil}} {
			if err := c.Order(t.Context(), "s:80", Order{Fencing: o.fencing, Model: "m"}); !errors.Is(err, o.want) {
				t.Errorf("order %d = %v, want %v", o.fencing, err, o.want)
			}
		}
	})
}

// Guards against a cancellation that starts while Close waits for those in progress,
// which is a data race, and against one that starts after Close, which nothing waits for.
func TestNoCancelAfterClose(t *testing.T) {
	var got atomic.Int32
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) })
	withServer(t, h, func(_ *testing.T, _ *standin.Network, c *Client) {
		c.Close()
		c.cancel("s:80", "late")
		time.Sleep(time.Second)
	})
	if n := got.Load(); n != 0 {
		t.Errorf("the model server got %d cancellations after Close, want none", n)
	}
}
