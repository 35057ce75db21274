package main

// This file defines the case of a request that runs with the results of another one.

import (
	"errors"
	"slices"
	"sync"
	"time"

	"bergamotspring/platform/standin"
)

const (
	handleTime = 4 * time.Second // handle-s
	// markTime is longer than nodes remember the handles of earlier responses.
	markTime = 22 * time.Second
)

// inputs restarts a stage server, whose results a request still needs, under its id.
func inputs(r *rig) int {
	results := &standin.Results{Keep: handleTime}
	workers, err := r.addStages(results)
	if err != nil {
		return r.fail(err)
	}
	if err := r.addNodes(); err != nil {
		return r.fail(err)
	}
	n := r.nodes[0]
	for _, id := range []string{"a1", "a2", "a3", "a4"} { // by which the coordinator learns how fast the workers are
		r.draft(n, id, "1,2")
	}
	time.Sleep(markTime)
	// The pieces of the second stage take 1.4 s together. Until then b2 needs its two results of the first one.
	var w sync.WaitGroup
	r.awaitPoll()
	time.Sleep(220 * time.Millisecond)
	sentAt := time.Now()
	w.Go(func() { r.draft(n, "d4", "0,25") })
	time.Sleep(10 * time.Millisecond)
	w.Go(func() { r.draft(n, "b2", "2,25") })
	time.Sleep(280 * time.Millisecond)
	i := slices.IndexFunc(workers, func(p *process) bool { return p.isUsed(sentAt) })
	if i < 0 {
		return r.fail(errors.New("no worker has the results of b2"))
	}
	if r.disrupts {
		workers[i].crash()
	}
	r.awaitPoll()
	time.Sleep(50 * time.Millisecond)
	if r.disrupts {
		if err := workers[i].start(); err != nil {
			return r.fail(err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	w.Go(func() { r.draft(n, "c3", "8,1") })
	w.Wait()
	time.Sleep(time.Second)
	for _, id := range []string{"b2", "c3", "d4"} {
		r.note("request %s ran with %v", id, results.Inputs[id])
	}
	r.note("inputs of another request: %v", results.ForeignInputs)
	return r.verdict("MIXED", len(results.ForeignInputs), 0)
}

// addStages starts the workers of two stages and of the model, and returns those of the first stage.
func (r *rig) addStages(results *standin.Results) (first []*process, err error) {
	const call = 200 * time.Millisecond
	r.configureStages(7, stageService("club-events", 26, 200, 7, 350), stageService("trackable-ledger", 8, 200, 21, 350))
	for i, z := range []string{"muc-a", "muc-a", "muc-b", "nue-a", "nue-a"} {
		took := call + time.Duration(10*i)*time.Millisecond
		p, err := r.addProcess("club-events", z, &standin.Server{Results: results, BatchTime: took, TaskTime: 7 * time.Millisecond, Capacity: 350})
		if err != nil {
			return nil, err
		}
		first = append(first, p)
	}
	for _, z := range []string{"muc-a", "muc-b", "nue-a"} {
		if _, err := r.addProcess("trackable-ledger", z, &standin.Server{Results: results, BatchTime: call, TaskTime: 21 * time.Millisecond, Capacity: 350}); err != nil {
			return nil, err
		}
		if _, err := r.addProcess("bergamot-llm", z, &standin.Server{Results: results, ServiceTime: 40 * time.Millisecond, Events: 6, Gap: 20 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	return first, nil
}
