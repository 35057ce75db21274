package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
)

// BenchmarkControl measures the cost of leases, watch and gossip in steady state, over
// in-memory fakes and a real clock. CPU includes the fakes; bytes are those of digests
// and promises as JSON, which is longer than the frames between nodes. Run it with
//
//	go test ./io/control -run xxx -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, s := range []struct{ nodes, servers, groups, domains int }{
		{8, 25, 4, 3}, {32, 100, 16, 3}, {100, 300, 49, 6}, {320, 920, 150, 10},
	} {
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", s.nodes, s.servers), func(b *testing.B) {
			for b.Loop() {
				benchControl(b, s.nodes, s.groups, s.domains)
			}
		})
	}
}

func benchControl(b *testing.B, nodes, groups, domains int) {
	region := func(i int) string { return fmt.Sprint("r", i%domains%3) }
	w := &fakeFleet{table: newTable(), rand: rand.New(rand.NewPCG(1, 9)), cut: map[[2]int]bool{}, groups: map[fleet.GroupID]string{}}
	for i := range groups {
		w.groups[fleet.GroupID{Pool: fmt.Sprint("p", i/domains), Domain: fmt.Sprint("d", i%domains)}] = region(i)
	}
	heap := heapNow()
	var bytes, messages atomic.Int64
	count := func(v any) {
		x, _ := json.Marshal(v)
		bytes.Add(int64(len(x)))
		messages.Add(1)
	}
	for i := range nodes {
		n := w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%domains), region(i), 1, false)
		p, send := n.leases.Peers.Promise, n.gossip.Send
		n.leases.Peers.Promise = func(c context.Context, to member.Node, a lease.PromiseRequest) (lease.Promise, error) {
			x, err := p(c, to, a)
			count(a)
			count(x)
			return x, err
		}
		n.gossip.Send = func(c context.Context, to member.Node, d member.Digest) error {
			count(d)
			return send(c, to, d)
		}
	}
	for _, n := range w.all() {
		n.run()
	}
	time.Sleep(15 * time.Second)
	const span = 10 * time.Second
	r0, w0, c0, b0, m0 := w.table.reads, w.table.writes, cpuNow(), bytes.Load(), messages.Load()
	time.Sleep(span)
	per := func(n float64) float64 { return n / span.Seconds() }
	each := float64(nodes)
	b.ReportMetric(per(float64(w.table.reads-r0)), "table-reads/s")
	b.ReportMetric(per(float64(w.table.writes-w0)), "table-writes/s")
	b.ReportMetric(100*per((cpuNow()-c0).Seconds())/each, "cpu-%/node")
	b.ReportMetric(per(float64(bytes.Load()-b0))/each, "peer-B/s/node")
	b.ReportMetric(per(float64(messages.Load()-m0))/each, "peer-msg/s/node")
	b.ReportMetric((heapNow()-heap)/1024/each, "heap-KiB/node")
	b.ReportMetric(float64(w.groupsHeld()), "groups-homed")
	b.ReportMetric(w.applyAll(b).Seconds(), "apply-s")
	b.ReportMetric(0, "ns/op")
	w.end()
}

// applyAll applies a configuration of 15 KiB and returns the time until every node has
// installed it.
func (w *fakeFleet) applyAll(b *testing.B) time.Duration {
	start := time.Now()
	_, _, err := w.nodes[0].watch.Apply(context.Background(), member.Apply{ID: "x", Payload: make([]byte, 15<<10)})
	if err != nil {
		b.Fatal(err)
	}
	for time.Since(start) < time.Minute {
		late := 0
		for _, n := range w.all() {
			if n.watch.State().Version != 1 {
				late++
			}
		}
		if late == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func heapNow() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func cpuNow() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
