package rollout

// This file defines how much of the traffic goes to the new version while it is tested, and to which of
// its servers.

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// focusTime is how long the same servers get the traffic. A burst lasts about as long.
	focusTime = time.Second
	// maxShare leaves half of the traffic of small services on the old version, as the other side of the
	// comparison.
	maxShare = 0.5
	// minBurst is the least number of requests of a burst.
	minBurst = 4
	// burstsLeft is into how many bursts at least the rest of the budget is divided. Where each of many nodes
	// expects less than one request, a burst takes many allowances of which few are used; it must not wait
	// until the budget covers them all.
	burstsLeft = 5
)

// pacing is how a decider spends the budget. Requests go to a few new servers at a time, as many to each
// as to an old one, so that faults under load show. If the budget does not last for that, bursts and
// pauses alternate.
type pacing struct {
	share   float64 // while a burst lasts
	burst   bool
	size    int64 // of a burst
	focus   []string
	wanted  []string             // routes
	since   time.Time            // of the focus
	focused map[string]time.Time // when a server was last in the focus
}

// pace sets the share and the focus, and raises the ceiling.
func (r *rollout) pace(now time.Time, s schedule) {
	old, warm := r.usable()
	if len(warm) == 0 {
		r.pacing.share = 0
		return
	}
	at := r.storeTime(now)
	length := s.testEnd - r.rec.Opened
	remaining := max(s.testEnd-at, focusTime/2).Seconds()
	rate, nodes := r.rate(now)
	total := r.ledger.total()
	budget := int64(r.limits.budget(r.requests(), float64(at-r.rec.Opened)/float64(length)))
	end := r.limits.budget(r.requests()+int64(rate*remaining), 1)
	flow := max(0, (end-float64(total))/remaining)

	p := &r.pacing
	servers := min(max(int(math.Round(r.limits.Share*float64(old))), 1), len(warm))
	p.share = min(float64(servers)/float64(old+servers), maxShare)
	if rate > 0 && flow/rate > p.share {
		p.share = min(flow/rate, maxShare)
		servers = min(max(int(math.Ceil(p.share*float64(old)/(1-p.share))), servers), len(warm))
	}
	if r.verdict.unclear {
		servers = min(max(servers, minServers), len(warm))
	}
	r.focusOn(warm, servers, now)
	p.wanted = r.evidence.wanted()

	granted := 0.0 // in one interval
	for _, m := range nodes {
		granted += demand(p.share, m.expected(r.interval))
	}
	p.size = int64(math.Ceil(max(minBurst, p.share*rate*focusTime.Seconds(), granted*1.1)))
	if r.verdict.unclear {
		p.size = minBurst
	}
	p.size = max(minBurst, min(p.size, int64(end-float64(total))/burstsLeft))
	if r.ledger.headroom() < p.size && total+p.size <= budget && r.rec.Ceiling <= r.ledger.ceiling {
		r.rec.Ceiling = min(budget, total+2*p.size)
		r.row.dirty = true
	}
	if h := r.ledger.headroom(); h == 0 {
		p.burst = false
	} else if h >= p.size {
		p.burst = true
	}
}

// usable returns the number of old servers and the new ones that may be tested: the warm ones.
func (r *rollout) usable() (old int, warm []string) {
	for _, s := range r.servers {
		switch {
		case s.Version != r.order.To:
			old++
		case !s.Cold:
			warm = append(warm, s.ID)
		}
	}
	return old, warm
}

// focusOn chooses the servers that get the traffic. While the verdict is unclear, those without enough
// evidence go first, otherwise those whose turn is the longest ago.
func (r *rollout) focusOn(warm []string, n int, now time.Time) {
	p := &r.pacing
	gone := slices.ContainsFunc(p.focus, func(s string) bool { return !slices.Contains(warm, s) })
	if len(p.focus) == n && !gone && (now.Sub(p.since) < focusTime || !p.burst) {
		return
	}
	l := slices.Clone(warm)
	slices.SortFunc(l, func(a, b string) int {
		_, ea := r.verdict.enough[a]
		_, eb := r.verdict.enough[b]
		if ea != eb {
			if eb {
				return -1
			}
			return 1
		}
		return cmp.Or(p.focused[a].Compare(p.focused[b]), strings.Compare(a, b))
	})
	p.focus, p.since = l[:n], now
	if p.focused == nil {
		p.focused = map[string]time.Time{}
	}
	for _, s := range p.focus {
		p.focused[s] = now
	}
}

// allow gives a node its allowance for the next second.
func (r *rollout) allow(m *member, reply *Reply) {
	p := &r.pacing
	h := r.ledger.headroom()
	if !p.burst || p.share == 0 || h == 0 || r.verdict.bad {
		return
	}
	n := m.expected(r.interval)
	a := min(int64(demand(p.share, n)+r.random.Float64()), h)
	if a <= 0 {
		return
	}
	m.grant = a
	r.ledger.outstanding += a
	reply.Allowance = a
	reply.Share = min(1, max(p.share, float64(a)/max(n, 0.01)))
	if n > 4 {
		reply.Share = p.share // the rounding of the allowance matters little
	}
	reply.Focus = p.focus
	reply.Wanted = p.wanted
}
