package rollout

// This file defines the ledger of a decider: how many requests may have gone to the new version. The
// ceiling in the row covers them before they are allowed.

// ledger counts exposure. What its decider allowed is used, or outstanding until a later report of the
// node. What others may have allowed is reserved as a whole, as their reports are not known.
type ledger struct {
	reserved    int64 // ceiling of other deciders, or of this one before a conflict
	foreign     int64 // exposure that no allowance of this decider explains; part of reserved if the row is right
	used        int64
	outstanding int64
	ceiling     int64 // as the store has it
}

// total returns how many requests at most have gone, or may still go, to the new version.
func (l *ledger) total() int64 { return max(l.reserved, l.foreign) + l.used + l.outstanding }

// headroom returns how many more may be allowed.
func (l *ledger) headroom() int64 { return max(0, l.ceiling-l.total()) }

// settle replaces an outstanding allowance by what the node used since. It used no more than the
// allowance; the rest was allowed by others.
func (l *ledger) settle(allowance, used int64) {
	l.outstanding -= allowance
	l.used += min(allowance, used)
	l.foreign += max(0, used-allowance)
}

// reserve takes in a ceiling under which others may have allowed requests.
func (l *ledger) reserve(ceiling int64) {
	l.reserved = max(l.reserved, ceiling)
	l.ceiling = max(l.ceiling, ceiling)
}

// conflict takes in the ceiling of another decider's write, which covers all that this one allowed.
func (l *ledger) conflict(ceiling int64) {
	l.reserved = max(ceiling, l.total())
	l.used, l.foreign, l.outstanding = 0, 0, 0
	l.ceiling = max(l.ceiling, ceiling)
}

const (
	// Of the slack, this part may be used at once, so that small services have evidence early, and the part
	// laterSlack evenly over the test. The rest is left to the first requests of Moving.
	firstSlack = 0.25
	laterSlack = 0.35
)

// budget returns how many of some requests may have been exposed when a part of the time of the test
// has passed.
func (l Limits) budget(requests int64, passed float64) float64 {
	return l.Share*float64(requests) + l.Slack*(firstSlack+laterSlack*min(max(passed, 0), 1))
}
