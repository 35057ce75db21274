package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against flows that get more than their weight, calls served out of deadline
// order, and calls lost or returned twice, under random operations.
func TestQueueIsFair(t *testing.T) {
	for seed := range uint64(50) {
		g := rand.New(rand.NewPCG(seed, 2))
		var q fairQueue
		in := map[*call]bool{}
		served := map[string]float64{}
		add := func(o string, w int) {
			c := &call{request: Request{Organisation: o}, deadline: time.Duration(1 + g.IntN(1000))}
			in[c] = true
			if v := q.add(c, w, 1000); v != nil {
				t.Errorf("seed %d: call displaced from a queue that is not full", seed)
			}
		}
		// Two flows are never empty; a third has calls at times only.
		for range 300 {
			add("large", 5)
			add("small", 1)
		}
		for range 250 {
			if g.IntN(4) == 0 {
				add("other", 1+g.IntN(9))
			}
			c := q.pop()
			if !in[c] {
				t.Fatalf("seed %d: call served twice", seed)
			}
			delete(in, c)
			for o := range in {
				if o.request.Organisation == c.request.Organisation && o.deadline < c.deadline {
					t.Errorf("seed %d: deadline %d served before %d", seed, c.deadline, o.deadline)
				}
			}
			served[c.request.Organisation]++
			if d := served["large"]/5 - served["small"]; d > 1.2 || d < -1.2 {
				t.Fatalf("seed %d: served %v with weights 5 and 1", seed, served)
			}
		}
		n := len(q.expire(500)) + len(q.drain())
		if n != len(in) || q.n != 0 || q.weight != 0 {
			t.Errorf("seed %d: %d calls left the queue, want %d; n %d, weight %v", seed, n, len(in), q.n, q.weight)
		}
	}
}

// Guards against large organisations that fill the queue and shut out small ones.
func TestSheddingIsFair(t *testing.T) {
	q := &fairQueue{}
	shed := map[string]int{}
	add := func(o string, w int) {
		c := &call{request: Request{Organisation: o}, deadline: time.Duration(q.n)}
		if v := q.add(c, w, 40); v != nil {
			shed[v.request.Organisation]++
		}
	}
	for range 200 {
		add("large-1", 4)
		add("large-2", 4)
	}
	for i := range 8 {
		add(fmt.Sprint("small-", i%2), 1)
	}
	if shed["small-0"]+shed["small-1"] != 0 {
		t.Errorf("shed %v, want none of the small organisations", shed)
	}
	for range 300 {
		add("small-0", 1)
	}
	if got, want := len(q.flows[flowKey{"small-0", ""}].calls), 4; got < want || got > want+1 {
		t.Errorf("%d calls of a flow with weight 1 of 10 in a queue of 40, want about %d", got, want)
	}
}
