package peer

// This file carries the reports of nodes on rollouts, and the decider's replies.

import (
	"context"
	"math"

	"bergamotspring/core/rollout"
	"bergamotspring/schema/wire"
)

// millionths is the unit of shares: messages have no fractions.
const millionths = 1e6

// ReportRollout sends a report on an order to the decider at an address, and returns its reply, and whether the store
// has the end of the rollout.
func (m *Mesh) ReportRollout(ctx context.Context, to string, r rollout.Report) (reply rollout.Reply, written bool, err error) {
	var w wire.RolloutReply
	if err := m.Call(ctx, to, TypeRolloutReport, wireRolloutReport(r), TypeRolloutReply, &w); err != nil {
		return rollout.Reply{}, false, err
	}
	return rolloutReplyOf(w), w.Written, nil
}

func (h PlacementHandlers) registerRollouts(m *Mesh) {
	handle(m, TypeRolloutReport, true, func(r *Request, b wire.RolloutReport) {
		a, written, ok := h.Rollout(rolloutReportOf(b))
		if !ok {
			r.Fail(CodeRefused, "no such order here")
			return
		}
		w := wireRolloutReply(a)
		w.Written = written
		reply(r, TypeRolloutReply, w)
	})
}

func wireRolloutOrder(o rollout.Order) wire.RolloutOrder {
	return wire.RolloutOrder{Service: o.Service, To: o.To, Duration: micros(o.Duration), Era: int(o.Era), Row: int(o.Version)}
}

func rolloutOrderOf(w wire.RolloutOrder) rollout.Order {
	return rollout.Order{Service: w.Service, To: w.To, Duration: duration(w.Duration), Era: uint64(w.Era), Version: uint64(w.Row)}
}

func wireHistogram(h *rollout.Histogram) wire.RolloutHistogram {
	first, end := 0, len(h)
	for end > 0 && h[end-1] == 0 {
		end--
	}
	for first < end && h[first] == 0 {
		first++
	}
	return wire.RolloutHistogram{First: first, Counts: each(h[first:end], func(n int64) int { return int(n) })}
}

// histogramOf drops what lies outside the buckets.
func histogramOf(w wire.RolloutHistogram) (h rollout.Histogram) {
	for i, n := range w.Counts {
		if k := w.First + i; w.First >= 0 && k < len(h) {
			h[k] = int64(n)
		}
	}
	return h
}

func wireRolloutReport(r rollout.Report) *wire.RolloutReport {
	return &wire.RolloutReport{
		Node: r.Node, Incarnation: r.Incarnation, Seq: int(r.Seq), Order: wireRolloutOrder(r.Order), Requests: int(r.Requests), Exposed: int(r.Exposed),
		OldInFlight: int(r.OldInFlight), Step: r.Step, State: int(r.State), Ceiling: int(r.Ceiling), Opened: micros(r.Opened), Known: r.Known,
		Age: micros(r.Age), Established: r.Current,
		Strata: each(r.Strata, func(s rollout.Stratum) wire.RolloutStratum {
			return wire.RolloutStratum{
				Route: s.Route, Domain: s.Domain, New: s.New, Server: s.Server, Responses: int(s.Responses), Failed: int(s.Failed),
				Took: wireHistogram(&s.Took), Pace: wireHistogram(&s.Pace),
			}
		}),
	}
}

func rolloutReportOf(w wire.RolloutReport) rollout.Report {
	return rollout.Report{
		Node: w.Node, Incarnation: w.Incarnation, Seq: uint64(w.Seq), Order: rolloutOrderOf(w.Order), Requests: int64(w.Requests), Exposed: int64(w.Exposed),
		OldInFlight: int64(w.OldInFlight), Step: w.Step, State: rollout.State(w.State), Ceiling: int64(w.Ceiling), Opened: duration(w.Opened), Known: w.Known,
		Age: duration(w.Age), Current: w.Established,
		Strata: each(w.Strata, func(s wire.RolloutStratum) rollout.Stratum {
			return rollout.Stratum{
				Route: s.Route, Domain: s.Domain, New: s.New, Server: s.Server, Responses: int64(s.Responses), Failed: int64(s.Failed),
				Took: histogramOf(s.Took), Pace: histogramOf(s.Pace),
			}
		}),
	}
}

// wireRolloutReply returns the message of a reply. A part of a microsecond of its times is dropped.
func wireRolloutReply(r rollout.Reply) *wire.RolloutReply {
	return &wire.RolloutReply{
		Decider: r.Decider, Seq: int(r.Seq), Order: wireRolloutOrder(r.Order), State: int(r.State), Share: int(math.Round(r.Share * millionths)), Allowance: int(r.Allowance),
		Step: r.Step, Focus: r.Focus, Wanted: r.Wanted, Ceiling: int(r.Ceiling), Opened: micros(r.Opened), Interval: micros(r.Interval),
	}
}

func rolloutReplyOf(w wire.RolloutReply) rollout.Reply {
	return rollout.Reply{
		Decider: w.Decider, Seq: uint64(w.Seq), Order: rolloutOrderOf(w.Order), State: rollout.State(w.State), Share: float64(w.Share) / millionths, Allowance: int64(w.Allowance),
		Step: w.Step, Focus: w.Focus, Wanted: w.Wanted, Ceiling: int64(w.Ceiling), Opened: duration(w.Opened), Interval: duration(w.Interval),
	}
}
