package limit_test

import (
	"fmt"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
)

func exampleView() *fleet.View {
	return fleet.NewView(&fleet.Declaration{
		Regions: []fleet.Region{{Name: "oberbayern"}},
		Domains: []fleet.FailureDomain{{Name: "muc-a", Region: "oberbayern"}},
		Pools:   []fleet.Pool{{Name: "logbook", Limit: 8, ColdLimit: 1}},
		Servers: []fleet.BackendServer{
			{Name: "logbook-1", Pool: "logbook", Domain: "muc-a", Address: "127.0.0.1:9001"},
		},
	}, 1)
}

func ExampleLimiter() {
	now := time.Unix(0, 0)
	h := limit.Limiter{
		Now:       func() time.Time { return now },
		Authority: func() (uint64, time.Duration) { return 1, time.Second },
	}
	g := fleet.GroupID{Pool: "logbook", Domain: "muc-a"}
	h.Configure(exampleView(), g, nil)
	h.Begin(1, nil) // no other node may hold permits

	r := limit.Request{Node: "n1", ID: 1, Group: g, Organisation: "hikers", Deadline: 2 * time.Second}
	p := h.Submit(r)[0].Permit
	fmt.Println(p.Server, "cold:", p.Cold, "send by:", p.SendBy)

	r.ID = 2
	fmt.Println("decided at once:", len(h.Submit(r)))
	d, _ := h.Release(limit.Release{
		Permit: p.ID, Epoch: p.Epoch, Group: g, Server: p.Server,
		Result: limit.Good, Service: 40 * time.Millisecond,
	})
	fmt.Println("granted after the release:", d[0].Permit.RequestID)
	// Output:
	// logbook-1 cold: true send by: 500ms
	// decided at once: 0
	// granted after the release: 2
}

func ExampleRetryBudget() {
	var b limit.RetryBudget
	for range 10 {
		b.CountFirst()
	}
	fmt.Println(b.Take(), b.Take())
	// Output: true false
}
