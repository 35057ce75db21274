package suspect

// This file defines bursts. A request that several callers send again and again crashes several servers at the same
// moment, which looks like a loss of servers on all of which a sound request ran. But in a loss, there are others
// among the crashed servers. In a burst, nearly all of them had the request, and each crash counts.
//
// It may be a sound request all the same. So a culprit that only bursts have shown is tried soon.

import "time"

const (
	// burstShare is how many crashes with the request there are in a burst, at least, for one without it.
	burstShare = 2
	// burstTrialDelay is how long after its last crash a culprit that only bursts have shown is first tried.
	burstTrialDelay = time.Second
)

// RetryAfter returns how long a caller is to wait whose request was refused for the culprit.
func (k Culprit) RetryAfter() time.Duration {
	if k.burst {
		return burstTrialDelay
	}
	return poisonRetryAfter
}

// burstTally counts the crashes of a request like tally, but those of a burst each by itself.
func (s *search) burstTally(fingerprint uint64) tally {
	with := map[int]int{} // crashes of the request by group
	for i := range s.crashesOf(Culprit{Fingerprint: fingerprint}) {
		with[s.groups[i]]++
	}
	return s.tallyBy(fingerprint, func(crash int) (group int, burst bool) {
		group = s.groups[crash]
		n := with[group]
		if n <= burstShare*(s.sizes[group]-n) {
			return group, false
		}
		return len(s.crashes) + 1 + crash, n >= poisonThreshold // a group of its own
	})
}
