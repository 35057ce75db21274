// Package eventqueue runs simulations in virtual time, for tests of decisions that take many
// seconds and many nodes.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue runs functions in the order of their times. The zero value is empty, at the zero time. It is
// not safe for concurrent use.
type Queue struct {
	now    time.Time
	seq    int
	events events
}

// New returns an empty queue at a time.
func New(now time.Time) *Queue { return &Queue{now: now} }

// Now returns the present virtual time.
func (q *Queue) Now() time.Time { return q.now }

// After runs f after d. Functions for the same time run in the order of the calls.
func (q *Queue) After(d time.Duration, f func()) {
	q.seq++
	heap.Push(&q.events, event{q.now.Add(d), q.seq, f})
}

// Run runs the functions of the next d, and those that they add for that time.
func (q *Queue) Run(d time.Duration) {
	end := q.now.Add(d)
	for len(q.events) > 0 && !q.events[0].at.After(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
	q.now = end
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}
