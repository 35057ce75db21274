package limit

import (
	"container/heap"
	"slices"
	"time"
)

// This file orders the calls that wait in a limiter. See
// docs/decisions/003-fair-queue-at-the-home.md.

// call is a request that waits for its decision. Instants are on the clock of
// Limiter.now.
type call struct {
	request  Request
	received time.Duration
	deadline time.Duration // latest time for the complete response
	reserved *server       // gets no other calls, so that this suspect can run exclusively

	poison        bool // must not run
	prefixSuspect bool // the prefix is a suspect
}

// exclusive reports whether c must run as the only call on its server.
func (c *call) exclusive() bool { return c.request.Suspect || c.prefixSuspect }

type flowKey struct{ organisation, class string }

// flow holds the waiting calls of one organisation in one class, as a heap by deadline.
type flow struct {
	key      flowKey
	weight   float64
	calls    []*call
	startTag float64 // virtual start time of its next call
	index    int     // index in fairQueue.active
}

// fairQueue is a weighted fair queue (start-time fair queueing, SFQ), with the earliest
// deadline first in each flow. The zero value is empty.
//
// Invariants: n is the sum of the lengths of all flows; active holds exactly the
// flows with calls, as a heap by startTag; every startTag in active is at least vtime; for two
// flows that are never empty, the calls served divided by weight differ by at most
// 1/w1 + 1/w2.
type fairQueue struct {
	flows  map[flowKey]*flow
	active flowHeap
	vtime  float64
	weight float64 // sum over active
	n      int
}

func (q *fairQueue) flow(a *Request, weight int) *flow {
	k := flowKey{a.Organisation, a.Class}
	f := q.flows[k]
	if f == nil {
		f = &flow{key: k}
		if q.flows == nil {
			q.flows = map[flowKey]*flow{}
		}
		q.flows[k] = f
	}
	if len(f.calls) == 0 {
		f.weight = float64(max(1, weight))
	}
	return f
}

// add queues c. If the queue then holds more than limit calls, it removes and
// returns one: the call with the latest deadline of the flow that holds the most calls
// for its weight. Thus a few large organisations displace their own calls and not those
// of small ones.
func (q *fairQueue) add(c *call, weight, limit int) *call {
	f := q.flow(&c.request, weight)
	heap.Push((*callHeap)(&f.calls), c)
	q.n++
	if len(f.calls) == 1 {
		f.startTag = max(f.startTag, q.vtime)
		q.weight += f.weight
		heap.Push(&q.active, f)
	}
	if q.n <= limit {
		return nil
	}
	return q.shed()
}

func (q *fairQueue) shed() *call {
	var v *flow
	var m float64
	for _, f := range q.active {
		if x := float64(len(f.calls)) / f.weight; x > m {
			v, m = f, x
		}
	}
	l := 0
	for i, c := range v.calls {
		if c.deadline > v.calls[l].deadline {
			l = i
		}
	}
	return q.removeAt(v, l)
}

// removeAt removes call i of f without counting it as served.
func (q *fairQueue) removeAt(f *flow, i int) *call {
	c := heap.Remove((*callHeap)(&f.calls), i).(*call)
	q.n--
	if len(f.calls) == 0 {
		heap.Remove(&q.active, f.index)
		q.weight -= f.weight
	}
	return c
}

// pop removes and returns the next call to serve, nil if none waits.
func (q *fairQueue) pop() *call {
	if q.n == 0 {
		return nil
	}
	f := q.active[0]
	q.vtime = f.startTag
	f.startTag += 1 / f.weight
	heap.Fix(&q.active, 0)
	return q.removeAt(f, 0)
}

// ahead estimates how many calls are served before one of weight w and deadline d
// that joins the flow of a.
func (q *fairQueue) ahead(a *Request, w int, d time.Duration) int {
	f := q.flows[flowKey{a.Organisation, a.Class}]
	own, sum := 0, q.weight
	if f != nil {
		// At most 256 calls are sampled, to bound the cost of a request.
		k := len(f.calls)/256 + 1
		for i := 0; i < len(f.calls); i += k {
			if f.calls[i].deadline <= d {
				own += k
			}
		}
	}
	if f == nil || len(f.calls) == 0 {
		sum += float64(max(1, w))
	}
	n := float64(own+1)*sum/float64(max(1, w)) - 1
	return min(q.n, int(n))
}

// reweigh updates the weights of the active flows.
func (q *fairQueue) reweigh(weightOf func(organisation, class string) int) {
	q.weight = 0
	for _, f := range q.active {
		f.weight = float64(max(1, weightOf(f.key.organisation, f.key.class)))
		q.weight += f.weight
	}
}

// expireHead removes and returns the next call to serve if its deadline is before t.
func (q *fairQueue) expireHead(t time.Duration) *call {
	f := q.active[0]
	if f.calls[0].deadline >= t {
		return nil
	}
	return q.removeAt(f, 0)
}

// expire removes and returns the calls whose deadline is before t.
func (q *fairQueue) expire(t time.Duration) []*call {
	var out []*call
	for i := 0; i < len(q.active); {
		f := q.active[i]
		if f.calls[0].deadline >= t {
			i++
			continue
		}
		// removeAt may reorder active, so the scan starts again.
		out = append(out, q.removeAt(f, 0))
		if len(f.calls) == 0 {
			i = 0
		}
	}
	return out
}

// removeFunc removes and returns a call for which matches is true, nil if none.
func (q *fairQueue) removeFunc(matches func(*call) bool) *call {
	for _, f := range q.active {
		if i := slices.IndexFunc(f.calls, matches); i >= 0 {
			return q.removeAt(f, i)
		}
	}
	return nil
}

// drain removes and returns all calls, in the order of service.
func (q *fairQueue) drain() []*call {
	var out []*call
	for c := q.pop(); c != nil; c = q.pop() {
		out = append(out, c)
	}
	return out
}

// deleteIdle deletes idle flows whose past service no longer affects the order, so that
// the size of the map is bounded by the recent organisations and classes.
func (q *fairQueue) deleteIdle() {
	for k, f := range q.flows {
		if len(f.calls) == 0 && f.startTag <= q.vtime {
			delete(q.flows, k)
		}
	}
	if q.n == 0 {
		clear(q.flows)
		q.vtime = 0
	}
}

type callHeap []*call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(*call)) }
func (h *callHeap) Pop() any          { return popLast((*[]*call)(h)) }

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	return h[i].startTag < h[j].startTag
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any { return popLast((*[]*flow)(h)) }

// popLast removes and returns the last element of a slice, which then no longer refers to it.
func popLast[T any](l *[]*T) *T {
	n := len(*l) - 1
	x := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	return x
}
