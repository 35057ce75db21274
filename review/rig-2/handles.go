package main

import (
	"fmt"
	"time"
)

// Load of the case: each wave is a burst at the nodes that are not lost.
const (
	firstWave    = 16
	secondWave   = 48
	secondPause  = 60 * time.Millisecond
	backAfter    = 1200 * time.Millisecond // a zone without power comes back within 1.5 s
	modelSlots   = 8
	modelEvents  = 40
	laterEvents  = 5
	modelGap     = 100 * time.Millisecond
	requestLimit = 6 * time.Second
	arriveLimit  = 4 * time.Second
	startSpread  = 200 * time.Millisecond // machines start within 0.3 s of each other
)

// runHandles lets a zone lose power in which the coordinator of the region and the stage worker are, while requests that the coordinator
// has granted wait at a model worker in another zone. The stage worker starts again and gives out its handles anew.
func runHandles(f *fleet, trouble bool) error {
	f.store.Put("op", "config", handlesConfig())
	admin, err := f.serveAdmin(nil)
	if err != nil {
		return err
	}
	m, err := f.startModel("muc-b")
	if err != nil {
		return err
	}
	stage := func() (*process, error) { return f.startStage(30, "muc-a", admin) }
	s, err := stage()
	if err != nil {
		return err
	}
	lost, kept := node{"edge-muc-a-1", "muc-a", 10}, node{"edge-muc-b-1", "muc-b", 11}
	first, err := f.startNode(lost)
	if err != nil {
		return err
	}
	time.Sleep(startSpread) // the node that registers first is the coordinator
	if _, err := f.startAll([]node{kept}); err != nil {
		return err
	}
	c := newDrafts(f)
	for range firstWave {
		c.send(kept)
	}
	if err := awaitArrivals(m, firstWave); err != nil {
		return err
	}
	if trouble {
		f.record.add("zone muc-a loses power")
		f.kill(first)
		f.kill(s)
		time.Sleep(backAfter)
		f.record.add("zone muc-a is back")
		if _, err := stage(); err != nil {
			return err
		}
		if _, err := f.startNode(lost); err != nil {
			return err
		}
	}
	for range secondWave {
		c.send(kept)
		time.Sleep(secondPause)
	}
	c.wait.Wait()
	return m.verdict()
}

// startModel starts a model worker.
func (f *fleet) startModel(zone string) (*modelWorker, error) {
	m := &modelWorker{
		id: "i-model", address: f.address(20, portWorker), zone: zone, events: modelEvents, laterEvents: laterEvents, gap: modelGap,
		slots: make(chan struct{}, modelSlots), record: f.record,
	}
	if err := f.serve(m.address, m); err != nil {
		return nil, err
	}
	m.register(f)
	return m, nil
}

// startStage starts a stage worker on a machine, under the same id each time.
func (f *fleet) startStage(number int, zone, admin string) (*process, error) {
	id := fmt.Sprintf("i-stage-%d", number)
	return f.start(id, nil, selfPath(), "stage", "-id", id, "-service", "trackable-ledger", "-zone", zone, "-address", f.address(number, portWorker), "-admin", admin)
}

// newDrafts returns consumers of streams with one stage of one piece.
func newDrafts(f *fleet) *consumers {
	return newConsumers(f, "pule25.example", "/puxa400/2f", requestLimit, map[string]string{
		"X-Bergamotspring-Model": "m", "X-Bergamotspring-Token-Usage": "1925,120", "X-Bergamotspring-Prefix-Hash": "5c1e07a2:568,91bd3f06:1232",
		"X-Bergamotspring-Chunks": "1", "Api-Key": "9dnn2ctnfzs989anu6ws",
	})
}

// verdict returns an error if a request was given inputs of another one.
func (m *modelWorker) verdict() error {
	if _, l := m.counts(); len(l) > 0 {
		return fmt.Errorf("%w: MIXED: %d inputs of other requests", errBroken, len(l))
	}
	return nil
}

// awaitArrivals waits until the model worker has got a number of requests.
func awaitArrivals(m *modelWorker, n int) error {
	for end := time.Now().Add(arriveLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if k, _ := m.counts(); k >= n {
			return nil
		}
	}
	k, _ := m.counts()
	return fmt.Errorf("only %d of %d requests reached the model worker", k, n)
}

func handlesConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"route-table": []any{map[string]any{
			"name": "r-draft", "host": "pule25.example", "prefix": "/puxa400/", "route-kind": "streaming", "timeout-ms": requestLimit.Milliseconds(), "latency-goal-ms": 2700,
			"priority": 0, "service": "bergamot-llm", "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "itl-target-ms": 400, "home-regions": []any{},
			"stages": []any{map[string]any{"service": "trackable-ledger", "after": []int{}, "size-bytes": 8000}},
		}},
		"services": []any{
			map[string]any{
				"name": "bergamot-llm", "health-path": "/healthz", "max-conns": 500, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
				"engine": map[string]any{"slots": modelSlots, "kv-capacity": 235284, "kv-bytes": 131072, "link-mbps": 1100000.0, "stride": 4, "most": 12, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{
				"name": "trackable-ledger", "health-path": "/healthz", "max-conns": 500, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
				"segments": map[string]any{"slots": 1, "queue": stageQueue, "batch": 24, "call-ms": stageCall.Milliseconds(), "item-ms": stageItem.Milliseconds(), "headroom-mb": stageRoomMB, "handle-s": stageKeep.Seconds(), "link-mbps": 10000},
			},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api-keys": []string{"9dnn2ctnfzs989anu6ws"}, "priority": 1, "home-regions": []any{}}},
	}
}
