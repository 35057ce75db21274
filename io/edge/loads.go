package edge

// This file passes on what servers report of their load.

import (
	"time"

	"bergamotspring/core/load"
	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
)

// loadObserver returns the function that gets the reports of servers. Those of plain services go to the node's
// balancer, those of stages to its scheduler. Those of model servers reach the coordinator with the
// reports on their runs, as other nodes get them.
func (n *Node) loadObserver(b *relay.Balancer) func(relay.Process, string, *load.Report, error) {
	return func(p relay.Process, service string, r *load.Report, err error) {
		n.meter.countLoadReport(service, err == nil)
		c := n.cache.View().Config
		if err != nil || c == nil {
			return
		}
		switch s := c.Services[service]; {
		case s == nil || s.Model:
		case s.Batching != nil:
			n.scheduler.do(func(h *placement.Scheduler) { h.ObserveLoad(p, *r) })
		default:
			b.ObserveLoad(p, *r, time.Now())
		}
	}
}

// loadInterval is the time between updates of the metrics about load.
const loadInterval = time.Second

// reportLoads updates the metrics about the load of the plain services, and forgets servers that are gone.
func (n *Node) reportLoads(b *relay.Balancer) func() {
	var all, wrong int64
	return func() {
		a, w := b.Choices()
		n.meter.countChoices(a-all, w-wrong)
		all, wrong = a, w
		v, now := n.cache.View(), time.Now()
		b.Prune(v, now)
		for name := range v.Servers {
			if e := b.Evenness(v, name, now); e.Reporting > 0 {
				n.meter.reportEvenness(name, e)
			}
		}
	}
}
