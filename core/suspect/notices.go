package suspect

// This file defines what nodes tell each other about culprits, so that nodes learn of them that did not
// run, or could not be reached, when the servers crashed.
//
// A notice lives as long as requests are refused for it on some node. Each node takes a renewal over at
// most once, so that nodes that only pass notices on do not keep them alive between them.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxNotices bounds the notices in a message and those that a node has adopted.
	maxNotices = 32
	// maxNoticeSegments bounds the segments of a notice.
	maxNoticeSegments = 256
	// renewInterval is the minimum time between two renewals of a notice by a node.
	renewInterval = time.Second
	// maxRenewals is far above what renewInterval allows.
	maxRenewals = 1 << 40
	// noticeTTL is how long after its last renewal a notice is passed on. It is shorter than
	// crashTTL by more than messages are delayed, as their delay adds to the age.
	noticeTTL = crashTTL - 10*time.Second
	// maxNoticeDelay is how long a message is delayed at most. A crash that a notice has this much later than
	// known is the same one: taken over, the delays of all messages between nodes would add up.
	maxNoticeDelay = time.Second
)

// Notice is a culprit as one node tells another of it.
type Notice struct {
	Culprit
	CrashedAt time.Time // last crash
	RenewedAt time.Time // last refusal of a request on any node, or, before the first one, the last crash
	Renewals  int       // renewals so far; of two notices of a culprit the one with more is newer
	Trials    int       // trials that crashed a server
}

// validate returns n with its segments sorted. It reports whether a node may have sent it that has the
// same rules, and whether it is fresh.
func (n Notice) validate(now time.Time) (Notice, bool) {
	if n.empty() || len(n.Segments) > maxNoticeSegments || n.Crashes < poisonThreshold {
		return n, false
	}
	if n.Renewals < 0 || n.Renewals > maxRenewals || n.Trials < 0 || n.CrashedAt.After(now) || n.RenewedAt.After(now) {
		return n, false
	}
	if len(n.Segments) > 0 {
		n.Fingerprint = 0
	}
	n.Segments = slices.Compact(slices.Sorted(slices.Values(n.Segments)))
	return n, n.fresh(now)
}

func (n Notice) fresh(now time.Time) bool { return now.Sub(n.RenewedAt) <= noticeTTL }

// notices holds the culprits of a node, its own and adopted ones, and the clearances of late. The zero value
// is ready to use. It is not safe for concurrent use.
type notices struct {
	l          []Notice
	clearances clearances
}

// expire deletes what has expired, and reports whether there were adopted culprits among it. Own ones live as
// long as their crashes count.
func (t *notices) expire(now time.Time) bool {
	n := len(t.l)
	t.l = slices.DeleteFunc(t.l, func(x Notice) bool { return x.From != "" && now.Sub(x.RenewedAt) > crashTTL })
	t.clearances.expire(now)
	return len(t.l) < n
}

// observe adds to a notice the crashes of its culprit, l, that this node has recorded. One that came so late after
// the one before that the culprit was refused everywhere by then is that of a trial.
func (n *Notice) observe(l []*crash) {
	var t tally
	trials, last := 0, time.Time{}
	if n.From != "" {
		t.groups, trials, last = poisonThreshold, n.Trials, n.CrashedAt
	}
	for group, x := range grouped(l, crashGap) {
		refused := t.groups >= poisonThreshold || n.burst && t.crashes >= poisonThreshold
		if refused && x.at.Sub(last) >= trialDelay {
			trials++
		}
		t.add(group, x, false)
		if last.Before(x.at) {
			last = x.at
		}
	}
	n.Trials = max(n.Trials, trials)
	if n.CrashedAt.Before(last) {
		n.CrashedAt = last
	}
}

// setOwn sets the culprits that the node has found in its recorded crashes.
func (t *notices) setOwn(own []Culprit, crashes []*crash) {
	t.l = slices.DeleteFunc(t.l, func(x Notice) bool { return x.From == "" && !slices.ContainsFunc(own, x.same) })
	s := sightCrashes(crashes)
	for _, k := range own {
		n := Notice{Culprit: k}
		if i := slices.IndexFunc(t.l, func(x Notice) bool { return x.same(k) }); i >= 0 {
			n = t.l[i]
			n.Culprit = k
			t.l = slices.Delete(t.l, i, i+1)
		}
		for _, x := range s.of(k) {
			if n.RenewedAt.Before(x.usedAt) {
				n.RenewedAt = x.usedAt
			}
		}
		t.l = append(t.l, n)
	}
	for i := range t.l {
		t.l[i].observe(s.of(t.l[i].Culprit))
	}
}

// adopted returns the adopted culprits that own ones do not include.
func (t *notices) adopted(own []Culprit) []Culprit {
	var l []Culprit
	for _, x := range t.l {
		if x.From != "" && !slices.ContainsFunc(own, func(k Culprit) bool { return k.includes(x.Culprit) }) {
			l = append(l, x.Culprit)
		}
	}
	return l
}

// trialAt returns when a trial of a culprit is due, by its crashes.
func (t *notices) trialAt(k Culprit) time.Time {
	i := slices.IndexFunc(t.l, func(x Notice) bool { return x.same(k) })
	if i < 0 {
		return time.Time{}
	}
	delay, trials := trialDelay, t.l[i].Trials
	if t.l[i].burst && trials == 0 {
		return t.l[i].CrashedAt.Add(burstTrialDelay)
	}
	if len(k.Segments) == 0 && !t.l[i].burst {
		trials++
	}
	for range min(trials, maxTrialCrashes) {
		delay *= crashFactor
	}
	return t.l[i].CrashedAt.Add(delay)
}

// renew records that a request was refused for a culprit.
func (t *notices) renew(k Culprit, now time.Time) {
	for i := range t.l {
		if x := &t.l[i]; x.same(k) && now.Sub(x.RenewedAt) >= renewInterval {
			x.RenewedAt = now
			x.Renewals++
		}
	}
}

// merge merges a notice of another node, and returns when the culprit was last renewed as far as this
// node knows. It reports whether the culprit was adopted.
func (t *notices) merge(n Notice) (renewedAt time.Time, adopted bool) {
	for i := range t.l {
		x := &t.l[i]
		if !x.same(n.Culprit) {
			continue
		}
		x.Trials = max(x.Trials, n.Trials)
		if n.CrashedAt.Sub(x.CrashedAt) > maxNoticeDelay {
			x.CrashedAt = n.CrashedAt
		}
		if n.Renewals > x.Renewals {
			x.Renewals = n.Renewals
			if x.RenewedAt.Before(n.RenewedAt) {
				x.RenewedAt = n.RenewedAt
			}
		}
		return x.RenewedAt, false
	}
	if slices.ContainsFunc(t.l, func(x Notice) bool { return x.includes(n.Culprit) }) {
		return n.RenewedAt, false
	}
	t.l = slices.DeleteFunc(t.l, func(x Notice) bool { return x.From != "" && n.includes(x.Culprit) })
	if t.adoptions() >= maxNotices {
		return n.RenewedAt, false
	}
	t.l = append(t.l, n)
	return n.RenewedAt, true
}

func (t *notices) adoptions() int {
	n := 0
	for _, x := range t.l {
		if x.From != "" {
			n++
		}
	}
	return n
}

// clear takes what a response has cleared out of the adopted culprits, and reports whether there was any.
func (t *notices) clear(r Request) bool {
	n, cleared := 0, false
	for _, x := range t.l {
		if x.From != "" && x.shares(r) {
			cleared = true
			x.Culprit = x.without(r)
		}
		if !x.empty() {
			t.l[n] = x
			n++
		}
	}
	clear(t.l[n:])
	t.l = t.l[:n]
	return cleared
}

// fresh returns the notices to send, the most recently renewed ones first.
func (t *notices) fresh(now time.Time) []Notice {
	l := slices.DeleteFunc(slices.Clone(t.l), func(x Notice) bool {
		return !x.fresh(now) || len(x.Segments) > maxNoticeSegments
	})
	slices.SortFunc(l, func(x, y Notice) int {
		return cmp.Or(y.RenewedAt.Compare(x.RenewedAt), compareCulprits(x.Culprit, y.Culprit))
	})
	return l[:min(len(l), maxNotices)]
}
