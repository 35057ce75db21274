package suspect

import (
	"strconv"
	"testing"
	"time"
)

// deadlyPairs returns the crashes of n pairs of deadly segments, poisonThreshold of each.
func deadlyPairs(n uint64) []*crash {
	var l []*crash
	for i := range poisonThreshold * n {
		s := 2 * (i % n)
		l = append(l, &crash{server: strconv.FormatUint(i, 10), at: time.Unix(int64(i), 0), requests: []Request{req(i, s, s+1)}})
	}
	return l
}

// The work of a search, in allocations, grows with the culprits, not with their square.
func TestSearchOfManyCulprits(t *testing.T) {
	work := func(n uint64) float64 {
		l := deadlyPairs(n)
		return testing.AllocsPerRun(1, func() {
			if got := len(findCulprits(l)); got != int(n) {
				t.Fatalf("%d culprits, want %d", got, n)
			}
		})
	}
	few, many := work(50), work(400)
	if many > 2*8*few {
		t.Errorf("%v allocations for 400 culprits, %v for 50", many, few)
	}
}

func BenchmarkSearch(b *testing.B) {
	c := &Counter{crashes: deadlyPairs(400)}
	for b.Loop() {
		c.search()
	}
}

// The search of crashes of full servers whose requests share segments.
func BenchmarkSearchFullServers(b *testing.B) {
	c := &Counter{}
	for i := range uint64(maxCounted / 1600) {
		x := &crash{server: strconv.FormatUint(i, 10), at: time.Unix(int64(i), 0)}
		for j := range uint64(400) {
			id := 1000 + 1000*i + 2*j
			x.requests = append(x.requests, req(id, id%4, 4+id%150, id+1))
		}
		c.crashes = append(c.crashes, x)
	}
	for b.Loop() {
		c.search()
	}
}

// longPrompts returns crashes of one request each, whose prompts have n segments in common.
func longPrompts(n uint64) []*crash {
	var l []*crash
	for i := range uint64(poisonThreshold) {
		r := req(i)
		for s := range n {
			r.Segments = append(r.Segments, s)
		}
		l = append(l, &crash{server: strconv.FormatUint(i, 10), at: time.Unix(int64(i), 0), requests: []Request{r}})
	}
	return l
}

// Prompts with very many segments in common have one culprit of all of them.
func TestSearchOfLongPrompts(t *testing.T) {
	const n = 1500
	if got := findCulprits(longPrompts(n)); len(got) != 1 || len(got[0].Segments) != n {
		t.Errorf("got %d culprits, want one of %d segments", len(got), n)
	}
}

func BenchmarkSearchOfLongPrompts(b *testing.B) {
	l := longPrompts(1500)
	for b.Loop() {
		findCulprits(l)
	}
}
