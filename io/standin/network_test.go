package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func startServer(t *testing.T, n *Network) {
	l, err := n.Listen("10.0.0.2:80")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close(); n.Close() })
}

func get(n *Network) (string, time.Duration, error) {
	c := &http.Client{Transport: &http.Transport{DialContext: n.Dialer("10.0.0.1"), DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.2:80/", nil)
	t := time.Now()
	r, err := c.Do(q)
	if err != nil {
		return "", time.Since(t), err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), time.Since(t), err
}

// Guards against latency or faults of the network that do not take effect: every test
// built on them would then pass for the wrong reason.
func TestNetworkFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{Latency: func(string, string) time.Duration { return 12 * time.Millisecond }}
		startServer(t, n)
		got, took, err := get(n)
		if err != nil || got != "hello" {
			t.Fatalf("get = %q, %v", got, err)
		}
		if want := 48 * time.Millisecond; took != want {
			t.Errorf("took %v, want %v", took, want)
		}
		n.SetCut("10.0.0.1", "10.0.0.2", true)
		if _, took, err = get(n); err == nil || took != time.Second {
			t.Errorf("cut: err %v after %v, want a timeout after 1s", err, took)
		}
		n.SetCut("10.0.0.1", "10.0.0.2", false)
		n.SetHost("10.0.0.2", HostRefuses)
		if _, took, err = get(n); err == nil || took >= time.Second {
			t.Errorf("dead process: err %v after %v, want a refusal at once", err, took)
		}
		n.SetHost("10.0.0.2", HostUp)
		if got, _, err = get(n); err != nil || got != "hello" {
			t.Errorf("healed: %q, %v", got, err)
		}
	})
}

// Guards against Silence affecting connections opened after it.
func TestSilenceKeepsNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{}
		startServer(t, n)
		c, err := n.Dialer("10.0.0.1")(context.Background(), "tcp", "10.0.0.2:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if got, want := n.Silence(Between("10.0.0.1", "10.0.0.2")), 1; got != want {
			t.Fatalf("Silence = %d connections, want %d", got, want)
		}
		_, _ = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		var e net.Error
		if _, err := c.Read(make([]byte, 1)); !errors.As(err, &e) || !e.Timeout() {
			t.Errorf("silent read: %v, want a timeout", err)
		}
		if got, _, err := get(n); err != nil || got != "hello" {
			t.Errorf("new connection: %q, %v", got, err)
		}
	})
}

// A network that closes aborts the dials in progress, also those that are under way: none of them outlives
// the test that started it.
func TestCloseAbortsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Network{Latency: func(_, _ string) time.Duration { return time.Second }}
		done := make(chan error, 1)
		go func() {
			_, err := n.Dial(context.Background(), "10.0.0.1", "10.0.0.2:80")
			done <- err
		}()
		synctest.Wait()
		start := time.Now()
		n.Close()
		if err := <-done; err == nil || time.Since(start) != 0 {
			t.Errorf("got %v after %v, want an error at once", err, time.Since(start))
		}
	})
}
