package main

import (
	"errors"
	"fmt"
	"time"
)

// Load of the case with two coordinators.
const (
	otherWave  = 96
	otherPause = 30 * time.Millisecond
	stages     = 4
	firstStage = 30
)

// runRegions lets one of four stage workers crash and start again, which the coordinators of two regions use, while requests that the
// one has granted wait at a model worker.
func runRegions(f *fleet, trouble bool) error {
	f.zones["nue-a"] = "franken"
	f.store.Put("op", "config", handlesConfig())
	admin, err := f.serveAdmin(nil)
	if err != nil {
		return err
	}
	m, err := f.startModel("muc-b")
	if err != nil {
		return err
	}
	workers := map[string]*process{}
	numbers := map[string]int{}
	for n := firstStage; n < firstStage+stages; n++ {
		p, e := f.startStage(n, stageZone(n), admin)
		workers[f.address(n, portWorker)], numbers[f.address(n, portWorker)] = p, n
		err = errors.Join(err, e)
	}
	if err != nil {
		return err
	}
	own, other := node{"edge-nue-a-1", "nue-a", 10}, node{"edge-muc-a-1", "muc-a", 11}
	if _, err := f.startAll([]node{own, other}); err != nil {
		return err
	}
	c := newDrafts(f)
	for range firstWave {
		c.send(own)
	}
	if err := awaitArrivals(m, firstWave); err != nil {
		return err
	}
	if trouble {
		address := mostOf(m.makers())
		if workers[address] == nil {
			return errors.New("no request waits")
		}
		f.kill(workers[address])
		time.Sleep(backAfter)
		if _, err := f.startStage(numbers[address], stageZone(numbers[address]), admin); err != nil {
			return fmt.Errorf("stage worker: %w", err)
		}
	}
	for range otherWave {
		c.send(other)
		time.Sleep(otherPause)
	}
	c.wait.Wait()
	return m.verdict()
}

// stageZone returns the zone of a stage worker: half of them are in each zone of the one region.
func stageZone(number int) string {
	if number%2 == 0 {
		return "muc-a"
	}
	return "muc-b"
}

// mostOf returns the key with the highest count.
func mostOf(m map[string]int) string {
	most := ""
	for k, n := range m {
		if most == "" || n > m[most] {
			most = k
		}
	}
	return most
}
