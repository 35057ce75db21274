package tables

// This file defines what a writer remembers of its claims, for the case that the table loses them: it was restored from
// an older state, and other writes have raised its sequence since.

import (
	"bergamotspring/core/claim"
	"bergamotspring/core/store"
)

// maxRemembered is the number of claims that a writer remembers. A writer takes 70 a second at the target
// (docs/CAPACITY.md), so they are those of four minutes, while a table goes back by seconds.
const maxRemembered = 16384

// claimMemory holds the claims that a writer has issued tickets for, without those that were released. The zero
// value is empty. It is not safe for concurrent use.
type claimMemory struct {
	tokens map[string]string // by key
	order  []string          // keys, a ring once it is full
	next   int
}

func (m *claimMemory) remember(k claim.Ticket) {
	if m.tokens == nil {
		m.tokens = map[string]string{}
	}
	if _, ok := m.tokens[k.Key]; !ok {
		if len(m.order) < maxRemembered {
			m.order = append(m.order, k.Key)
		} else {
			delete(m.tokens, m.order[m.next])
			m.order[m.next] = k.Key
			m.next = (m.next + 1) % maxRemembered
		}
	}
	m.tokens[k.Key] = k.Token
}

// forget removes a claim that was released.
func (m *claimMemory) forget(k claim.Ticket) {
	if m.tokens[k.Key] == k.Token {
		delete(m.tokens, k.Key)
	}
}

// isLost reports whether a row that can be acquired lacks a claim that was issued: it does not exist, or is that of
// an earlier claim.
func (c *Claims) isLost(q claim.Request, s store.Row) bool {
	c.mu.Lock()
	token, ok := c.memory.tokens[q.Key]
	c.mu.Unlock()
	if !ok {
		return false
	}
	r, err := claim.Decode(s.Value)
	return s.Version == 0 || err != nil || r.Token != token
}

// splitRemembered separates the attempts to insert claims that this writer remembers: their rows have to be read.
func (c *Claims) splitRemembered(b []*attempt) (known, rest []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range b {
		if _, ok := c.memory.tokens[a.q.Key]; ok && a.version == 0 {
			known = append(known, a)
		} else {
			rest = append(rest, a)
		}
	}
	return known, rest
}
