package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	contact       = 4 * time.Second // contact-ms
	crashesFirst  = 3
	mostRetries   = 3                      // later than contact after the third crash
	workerBack    = 3 * time.Second        // a worker is back after some seconds
	nodesBack     = time.Second            // from the kill of the nodes to their start
	comesAgain    = 700 * time.Millisecond // from an answer to the next request
	comesAgainFor = 12 * time.Second
	soundPause    = 250 * time.Millisecond // between two sound requests
	draftLimit    = 6 * time.Second
)

// crashLog counts the runs that crashed workers.
type crashLog struct {
	record *record

	mu sync.Mutex
	at []time.Time
}

func (c *crashLog) add(worker, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.record.add("%s: request %s begins to run and crashes it (%d)", worker, request, len(c.at))
}

// since returns how many crashes there were, and how many after a time.
func (c *crashLog) since(t time.Time) (all, later int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.at {
		if x.After(t) {
			later++
		}
	}
	return len(c.at), later
}

// thirdAt returns when the third crash was.
func (c *crashLog) thirdAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at[crashesFirst-1]
}

// keepWorker starts a model worker, and starts it again under a new id some seconds after it has crashed.
func (f *fleet) keepWorker(number int, zone, admin string, stop chan struct{}) error {
	address := f.address(number, portWorker)
	start := func(boot int) (*process, error) {
		id := fmt.Sprintf("i-model-%d-%d", number, boot)
		return f.start(id, nil, selfPath(), "model", "-id", id, "-zone", zone, "-address", address, "-admin", admin)
	}
	p, err := start(1)
	if err != nil {
		return err
	}
	go func() {
		for boot := 2; ; boot++ {
			select {
			case <-p.done:
			case <-stop:
				return
			}
			select {
			case <-time.After(workerBack):
			case <-stop:
				return
			}
			if p, err = start(boot); err != nil {
				return
			}
		}
	}()
	return nil
}

// poisonNodes are the machines of the case; those from the third on are in the region with one zone.
var poisonNodes = []node{{"edge-muc-a-1", "muc-a", 10}, {"edge-muc-b-1", "muc-b", 11}, {"edge-nue-a-1", "nue-a", 12}, {"edge-nue-a-2", "nue-a", 13}}

// poisonWorkers are the zones of the model workers, by machine.
var poisonWorkers = map[int]string{20: "nue-a", 21: "nue-a", 22: "nue-a", 23: "muc-a", 24: "muc-a", 25: "muc-a", 26: "muc-b", 27: "muc-b", 28: "muc-b"}

// runPoison lets a request come again and again that crashes the workers which run it, and kills all nodes after it was found.
func runPoison(f *fleet, trouble bool) error {
	f.zones["nue-a"] = "franken"
	f.store.Put("op", "config", poisonConfig())
	crashes := &crashLog{record: f.record}
	stop := make(chan struct{})
	defer close(stop)
	if err := f.startPoisonWorkers(crashes, stop); err != nil {
		return err
	}
	running, err := f.startAll(poisonNodes)
	if err != nil {
		return err
	}
	c := newConsumers(f, "jepu9.example", "/cufi501/fi50/2f", draftLimit, map[string]string{
		"X-Bergamotspring-Model": "m", "X-Bergamotspring-Token-Usage": "1800,24", "X-Bergamotspring-Prefix-Hash": "5c1e07a2:568,91bd3f06:1232", "Api-Key": "9dnn2ctnfzs989anu6ws",
	})
	sound := newConsumers(f, c.host, c.path, draftLimit, c.header)
	go sound.sendAll(poisonNodes[2:], soundPause, stop)
	c.body = func(string) string { return poison }
	c.comeAgain(poisonNodes[2:])
	if n, _ := crashes.since(time.Time{}); n < crashesFirst {
		return fmt.Errorf("only %d workers crashed", n)
	}
	if trouble {
		f.record.add("all nodes are killed")
		for _, p := range running {
			f.kill(p)
		}
		time.Sleep(nodesBack)
		if _, err := f.startAll(poisonNodes); err != nil {
			return err
		}
	}
	time.Sleep(contact) // so that all nodes are in touch
	counted := time.Now()
	if t := crashes.thirdAt().Add(contact); t.After(counted) {
		counted = t
	}
	c.comeAgain(poisonNodes[2:])
	if _, n := crashes.since(counted); n > mostRetries {
		return fmt.Errorf("%w: BUDGET: the request crashed %d more workers", errBroken, n)
	}
	return nil
}

// startPoisonWorkers starts the model workers, and again after each crash.
func (f *fleet) startPoisonWorkers(crashes *crashLog, stop chan struct{}) error {
	admin, err := f.serveAdmin(crashes.add)
	for n, zone := range poisonWorkers {
		err = errors.Join(err, f.keepWorker(n, zone, admin, stop))
	}
	return err
}

// comeAgain sends the request to nodes in turn for some time, each time after the answer to the one before and its Retry-After.
func (c *consumers) comeAgain(l []node) {
	for end, n := time.Now().Add(comesAgainFor), 0; time.Now().Before(end); n++ {
		after := c.exchange(l[n%len(l)], newID())
		time.Sleep(max(comesAgain, min(after, c.limit/3)))
	}
}

func poisonConfig() map[string]any {
	c := handlesConfig()
	r := c["route-table"].([]any)[0].(map[string]any)
	r["host"], r["prefix"], r["stages"] = "jepu9.example", "/cufi501/fi50/", []any{}
	e := c["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	e["slots"] = 96
	return c
}
