package limit

import (
	"fmt"
	"testing"
	"time"
)

func benchLimiter(n, queue int) *Limiter {
	now := time.Unix(1000, 0)
	h := &Limiter{
		Now:       func() time.Time { return now },
		Authority: func() (uint64, time.Duration) { return 1, time.Second },
		MaxQueue:  queue,
	}
	h.Configure(testView(n), testGroup, nil)
	h.Begin(1, nil)
	var x HeldReport
	for i := range n {
		x.Warm = append(x.Warm, WarmObservation{Server: fmt.Sprint("s", i), Service: 50 * time.Millisecond})
	}
	h.Adopt(x)
	return h
}

// BenchmarkSubmitRelease measures one request and one release with half of the slots in
// use, with requests from 320 nodes in turn.
func BenchmarkSubmitRelease(b *testing.B) {
	var nodes [320]string
	for i := range nodes {
		nodes[i] = fmt.Sprint("node-", i)
	}
	for _, n := range []int{1, 9, 100} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			h := benchLimiter(n, 0)
			var held []Permit
			i := 0
			submit := func() {
				i++
				a := Request{Node: nodes[i%320], ID: uint64(i), Group: testGroup, Organisation: "small", Deadline: time.Second}
				held = append(held, h.Submit(a)[0].Permit)
			}
			for range 4 * n {
				submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				submit()
				p := held[0]
				held = append(held[:0], held[1:]...)
				h.Release(Release{Permit: p.ID, Epoch: p.Epoch, Group: testGroup, Server: p.Server, Result: Good, Service: 50 * time.Millisecond})
			}
		})
	}
}

// BenchmarkOverload measures a request that displaces another from a full queue of
// 560 organisations.
func BenchmarkOverload(b *testing.B) {
	var orgs [560]string
	for i := range orgs {
		orgs[i] = fmt.Sprint("organisation-", i)
	}
	h := benchLimiter(9, 2000)
	i := 0
	submit := func() {
		i++
		h.Submit(Request{ID: uint64(i), Group: testGroup, Organisation: orgs[i%560], Deadline: 4 * time.Second})
	}
	h.samples = samples{}
	for range 3000 {
		submit()
	}
	b.ReportAllocs()
	for b.Loop() {
		submit()
	}
}

// BenchmarkMemory measures the memory of a queued request and of a server's state.
func BenchmarkMemory(b *testing.B) {
	b.Run("queuedAsk", func(b *testing.B) {
		h := benchLimiter(1, 1<<30)
		h.samples = samples{}
		b.ReportAllocs()
		i := uint64(0)
		for b.Loop() {
			i++
			h.Submit(Request{ID: i, Group: testGroup, Organisation: "small", Deadline: time.Second})
		}
	})
	b.Run("server", func(b *testing.B) {
		v := testView(b.N)
		h := &Limiter{}
		b.ReportAllocs()
		b.ResetTimer()
		h.Configure(v, testGroup, nil)
	})
}
