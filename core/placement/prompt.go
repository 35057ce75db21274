package placement

// This file defines which shared prompt segments model servers are taken to hold, so that a
// server can fetch a segment from another instead of reading it again. Coordinators tell each other
// what the servers of their regions have read, as requests for one segment come in all regions.

import (
	"maps"
	"slices"
	"time"
)

const (
	// segmentRetention is how long a server is taken to keep a segment after its last use.
	segmentRetention = 10 * time.Second
	// maxSegmentServers is the number of servers recorded for a segment.
	maxSegmentServers = 3
	// minFetchTokens is the least number of tokens that is worth a fetch.
	minFetchTokens = 100
	// maxAnnouncements bounds the copies that wait to be told to the other coordinators, and so the message.
	maxAnnouncements = 256
	// announceAgainAfter is how long a segment is not told again. It leaves time for a fetch before segmentRetention.
	announceAgainAfter = segmentRetention / 2
)

// SegmentAnnouncement says that a server has read a segment. Coordinators of different regions exchange them.
type SegmentAnnouncement struct {
	Segment uint64 // hash of the segment and all before it
	Server  string // ID
	UsedAt  time.Time
}

// segmentCopy records that a server has read a segment.
type segmentCopy struct {
	server string // ID
	usedAt time.Time
}

// segmentIndex records which servers have read which segments. The zero value is ready to use.
type segmentIndex struct {
	copies        map[uint64][]segmentCopy // by segment hash; the newest first
	remote        map[uint64]segmentCopy   // by segment hash: the newest in another region
	announcements []SegmentAnnouncement    // read here and not yet told to the other coordinators
	told          map[uint64]time.Time     // by segment hash: when it was last put into announcements
}

// add records that a server has read the segments of a prompt.
func (p *segmentIndex) add(segments []PromptSegment, server string, now time.Time) {
	if p.copies == nil {
		p.copies = map[uint64][]segmentCopy{}
	}
	for _, x := range segments {
		l := []segmentCopy{{server, now}}
		for _, k := range p.copies[x.Hash] {
			if k.server != server && len(l) < maxSegmentServers {
				l = append(l, k)
			}
		}
		p.copies[x.Hash] = l
	}
}

// announce notes that a server has read segments, for the other coordinators.
func (p *segmentIndex) announce(segments []PromptSegment, server string, now time.Time) {
	if p.told == nil {
		p.told = map[uint64]time.Time{}
	}
	for _, x := range segments {
		if t, ok := p.told[x.Hash]; ok && now.Sub(t) < announceAgainAfter || x.Tokens < minFetchTokens || len(p.announcements) >= maxAnnouncements {
			continue
		}
		p.told[x.Hash] = now
		p.announcements = append(p.announcements, SegmentAnnouncement{Segment: x.Hash, Server: server, UsedAt: now})
	}
}

// adopt records that a server of another region has read a segment.
func (p *segmentIndex) adopt(c SegmentAnnouncement) {
	if p.remote == nil {
		p.remote = map[uint64]segmentCopy{}
	}
	if c.UsedAt.After(p.remote[c.Segment].usedAt) {
		p.remote[c.Segment] = segmentCopy{c.Server, c.UsedAt}
	}
}

// removeServer records that a server holds no segments.
func (p *segmentIndex) removeServer(server string) {
	for h, l := range p.copies {
		l = slices.DeleteFunc(l, func(k segmentCopy) bool { return k.server == server })
		if p.copies[h] = l; len(l) == 0 {
			delete(p.copies, h)
		}
	}
	maps.DeleteFunc(p.remote, func(_ uint64, k segmentCopy) bool { return k.server == server })
}

// holders reports whether a server holds a segment, and whether another one does.
func (p *segmentIndex) holders(hash uint64, server string, now time.Time) (here, other bool) {
	for _, k := range p.copies[hash] {
		if now.Sub(k.usedAt) <= segmentRetention {
			here = here || k.server == server
			other = other || k.server != server
		}
	}
	k, ok := p.remote[hash]
	return here, other || ok && now.Sub(k.usedAt) <= segmentRetention
}

// source returns the server that holds the most of a prompt beyond what the given server
// holds, or "" if that is not worth a fetch. Only servers that usable accepts are considered, those of
// other regions after those of the own one.
func (p *segmentIndex) source(segments []PromptSegment, server string, now time.Time, usable func(id string) bool) string {
	best, tokens := "", 0
	for _, x := range segments {
		has, other := false, ""
		for _, k := range p.copiesOf(x.Hash) {
			if now.Sub(k.usedAt) > segmentRetention {
				continue
			}
			has = has || k.server == server
			if other == "" && k.server != server && usable(k.server) {
				other = k.server
			}
		}
		if !has && other == "" {
			break
		}
		if !has {
			best = other
			tokens += x.Tokens
		}
	}
	if tokens < minFetchTokens {
		return ""
	}
	return best
}

// copiesOf returns who holds a segment: servers of the own region, then one of another.
func (p *segmentIndex) copiesOf(segment uint64) []segmentCopy {
	l := p.copies[segment]
	if k, ok := p.remote[segment]; ok {
		return append(slices.Clip(l), k)
	}
	return l
}

// prune removes segments that are no longer taken to be kept.
func (p *segmentIndex) prune(now time.Time) {
	for h, l := range p.copies {
		if now.Sub(l[0].usedAt) > segmentRetention {
			delete(p.copies, h)
		}
	}
	maps.DeleteFunc(p.remote, func(_ uint64, k segmentCopy) bool { return now.Sub(k.usedAt) > segmentRetention })
	maps.DeleteFunc(p.told, func(_ uint64, t time.Time) bool { return now.Sub(t) >= announceAgainAfter })
}

// TakeAnnouncements returns which segments servers of this region have read since the last call, for the coordinators of the
// other regions. Segments of requests that only some regions may serve are left out.
func (h *Scheduler) TakeAnnouncements() []SegmentAnnouncement {
	l := h.segments.announcements
	h.segments.announcements = nil
	return l
}

// AdoptAnnouncements records which segments servers of another region have read.
func (h *Scheduler) AdoptAnnouncements(l []SegmentAnnouncement) {
	for _, c := range l {
		h.segments.adopt(c)
	}
}
