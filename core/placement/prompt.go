package placement

// This file defines what the home knows of the prompt parts that model servers keep, so
// that a server can fetch a part from another instead of reading it again.

import (
	"slices"
	"time"
)

const (
	// keptFor is how long a part is taken to be kept after its last use.
	keptFor = 10 * time.Second
	// keepers is the number of servers that are remembered for a part.
	keepers = 3
	// fetchTokens is the least number of tokens that is worth a fetch.
	fetchTokens = 100
)

// kept is a part that a server has read.
type kept struct {
	server string // id
	at     time.Time
}

// prompts remembers which servers have read which parts. The zero value is ready to use.
type prompts struct {
	segments map[uint64][]kept // the newest first
}

// read notes that a server has read the parts of a prompt.
func (p *prompts) read(parts []PromptSegment, server string, now time.Time) {
	if p.segments == nil {
		p.segments = map[uint64][]kept{}
	}
	for _, x := range parts {
		l := []kept{{server, now}}
		for _, k := range p.segments[x.Hash] {
			if k.server != server && len(l) < keepers {
				l = append(l, k)
			}
		}
		p.segments[x.Hash] = l
	}
}

// forget notes that a server keeps nothing.
func (p *prompts) forget(server string) {
	for h, l := range p.segments {
		l = slices.DeleteFunc(l, func(k kept) bool { return k.server == server })
		if p.segments[h] = l; len(l) == 0 {
			delete(p.segments, h)
		}
	}
}

// source returns the server that keeps most of a prompt beyond what another one keeps,
// or an empty text if that is not worth a fetch. Usable tells which servers there are.
func (p *prompts) source(parts []PromptSegment, server string, now time.Time, usable func(id string) bool) string {
	best, tokens := "", 0
	for _, x := range parts {
		has, other := false, ""
		for _, k := range p.segments[x.Hash] {
			if now.Sub(k.at) > keptFor {
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
	if tokens < fetchTokens {
		return ""
	}
	return best
}

// prune forgets parts that are not kept any more.
func (p *prompts) prune(now time.Time) {
	for h, l := range p.segments {
		if now.Sub(l[0].at) > keptFor {
			delete(p.segments, h)
		}
	}
}
