// Package budget decides whether a node may send work a second time, where the
// platform bounds the repeats of all nodes together in every span of time.
package budget

import "time"

// buckets divide a window; the oldest one counts in full until it has passed.
const buckets = 20

// Retries bounds the repeats of one node for one service. In each Window it allows
// Slack repeats and Ratio for each first send. Slack is the node's share of what all
// nodes may send together. It is not safe for concurrent use.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	at      time.Time // start of the newest bucket
	first   [buckets + 1]int
	retries [buckets + 1]int
}

// First counts a first send.
func (b *Retries) First(now time.Time) {
	b.advance(now)
	b.first[0]++
}

// Take counts a repeat and reports whether it may be sent, and how many more may be then.
// Nothing is counted if not.
func (b *Retries) Take(now time.Time) (left int, ok bool) {
	b.advance(now)
	first, repeats := 0, 0
	for i := range b.first {
		first += b.first[i]
		repeats += b.retries[i]
	}
	after := b.Slack + b.Ratio*float64(first) - float64(repeats+1)
	if after < 0 {
		return 0, false
	}
	b.retries[0]++
	return int(after), true
}

// advance moves the buckets so that the newest one holds now.
func (b *Retries) advance(now time.Time) {
	width := b.Window / buckets
	if b.at.IsZero() || width <= 0 {
		b.at = now
		return
	}
	n := int(now.Sub(b.at) / width)
	if n <= 0 {
		return
	}
	b.at = b.at.Add(time.Duration(n) * width)
	n = min(n, len(b.first))
	copy(b.first[n:], b.first[:len(b.first)-n])
	copy(b.retries[n:], b.retries[:len(b.retries)-n])
	for i := range n {
		b.first[i], b.retries[i] = 0, 0
	}
}
