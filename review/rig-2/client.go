package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// consumers sends requests, each on a channel of its own, and records what becomes of them.
type consumers struct {
	fleet  *fleet
	host   string
	path   string
	header map[string]string
	limit  time.Duration
	body   func(id string) string
	client http.Client
	wait   sync.WaitGroup
}

func newConsumers(f *fleet, host, path string, limit time.Duration, header map[string]string) *consumers {
	return &consumers{
		fleet: f, host: host, path: path, limit: limit, header: header,
		body:   func(id string) string { return "prompt of " + id },
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// send sends a request to a node, and does not wait for its end.
func (c *consumers) send(n node) {
	id := newID()
	c.wait.Go(func() { c.exchange(n, id) })
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// sendAll sends requests to nodes in turn, with a pause before each, until stop is closed.
func (c *consumers) sendAll(l []node, pause time.Duration, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			c.send(l[n%len(l)])
		}
	}
}

// exchange sends a request, waits for its answer and returns the Retry-After in it, 0 if there is none.
func (c *consumers) exchange(n node, id string) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.address(n.number, portFront)+c.path, strings.NewReader(c.body(id)))
	if err != nil {
		c.fleet.record.add("consumer: %v", err)
		return 0
	}
	q.Host = c.host
	for k, v := range c.header {
		q.Header.Set(k, v)
	}
	q.Header.Set("X-Bergamotspring-Request-Id", id)
	q.Header.Set("X-Bergamotspring-Chunk-Key", id[:12])
	q.Header.Set("X-Bergamotspring-Deadline-Ms", fmt.Sprint(c.limit.Milliseconds()))
	c.fleet.record.add("consumer: %s sent to %s", id, n.name)
	r, err := c.client.Do(q)
	if err != nil {
		c.fleet.record.add("consumer: %s: %v", id, err)
		return 0
	}
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close() // it was read
	c.fleet.record.add("consumer: %s answered %d, stamp %q, %d bytes, error %v", id, r.StatusCode, r.Header.Get("X-Bergamotspring-Server-Stamp"), len(b), err)
	after, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64) // 0 if there is none
	return time.Duration(after * float64(time.Second))
}
