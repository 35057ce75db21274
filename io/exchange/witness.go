package exchange

// This file defines witnesses, by which a new connection is known to lead to the same process as earlier ones although
// the process does not tell its name. A witness is a connection to it that was opened before a request to it whose
// response has come, and that has carried nothing. If it responds after the new connection was opened, its process has
// run all the while, and no other one can have listened at its address. That does not hold for a process that has closed
// its listener and goes on with open connections: it is leaving, and callers send it nothing new.

import (
	"context"
	"time"
)

// witnessAge is how long a witness is kept while requests are sent. It is shorter than the idle timeouts of servers.
const witnessAge = idleTimeout

// witnessTimeout bounds the time until a witness responds. Connections may be silent while new ones work.
const witnessTimeout = 300 * time.Millisecond

// witness is a connection that has carried nothing.
type witness struct {
	*conn
	openedAt  time.Time
	openedFor *conn // its process is known once a request on this one was answered
}

// keepWitness makes sure that there is a young witness before a request is sent, if its process has no name of its own.
func (p *Pool) keepWitness(ctx context.Context, c *conn) {
	if c.identity.told {
		return
	}
	p.mu.Lock()
	w := p.witnesses[c.address]
	p.mu.Unlock()
	if w != nil && time.Since(w.openedAt) < witnessAge && (w.identity == c.identity || w.openedFor == c) {
		return
	}
	if w != nil {
		p.closeWitness(c.address)
	}
	if p.reserve(c.address) != nil {
		return // the next connection is unproven
	}
	n, err := p.openReserved(ctx, c.address)
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.witnesses == nil {
		p.witnesses = map[string]*witness{}
	}
	old := p.witnesses[c.address] // of a request at the same time
	p.witnesses[c.address] = &witness{conn: n, openedAt: time.Now(), openedFor: c}
	p.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// closeWitness closes the witness of an address, and reports whether there was one.
func (p *Pool) closeWitness(address string) bool {
	p.mu.Lock()
	w := p.witnesses[address]
	delete(p.witnesses, address)
	p.mu.Unlock()
	if w == nil {
		return false
	}
	w.close()
	return true
}

// confirmWitness records that a request on c was answered, which was sent after its witness had been opened.
func (p *Pool) confirmWitness(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.witnesses[c.address]; w != nil && w.openedFor == c {
		w.identity, w.openedFor = c.identity, nil
	}
}

// takeWitness removes and returns the witness of an address, nil if there is none whose process is known.
func (p *Pool) takeWitness(address string) *witness {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.witnesses[address]
	if w == nil || !w.identity.known() {
		return nil
	}
	delete(p.witnesses, address)
	return w
}

// responds sends the handshake of a request to a witness, reports whether it responds, and closes it: a copy of the
// response may come later.
func (w *witness) responds(ctx context.Context, r *Request) bool {
	defer w.close()
	if !w.usable() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	_, _, err := w.shakeHands(ctx, r)
	return err == nil
}

// sweepWitnesses removes and returns the witnesses that are no longer used. The lock is held.
func (p *Pool) sweepWitnesses() []*conn {
	var l []*conn
	for a, w := range p.witnesses {
		if time.Since(w.openedAt) >= 2*witnessAge {
			l = append(l, w.conn)
			delete(p.witnesses, a)
		}
	}
	return l
}
