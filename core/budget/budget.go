// Package budget decides whether a node may retry a request, where the platform bounds
// the retries of all nodes together in every window of time.
package budget

import "time"

// bucketsPerWindow is how finely a window is counted. One more bucket is kept: the oldest
// one counts in full until it has left the window.
const bucketsPerWindow = 20

// Retries bounds the retries of one node for one service. In each Window it allows Slack
// retries, and Ratio more for each first attempt. Slack is the node's share of what all
// nodes may send together. It is not safe for concurrent use.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	bucketStart   time.Time // start of the newest bucket
	firstAttempts [bucketsPerWindow + 1]int
	retries       [bucketsPerWindow + 1]int
}

// CountFirst counts a first attempt.
func (b *Retries) CountFirst(now time.Time) {
	b.advance(now)
	b.firstAttempts[0]++
}

// Take counts a retry and reports whether it may be sent, and how many more are allowed
// after it. A denied retry is not counted.
func (b *Retries) Take(now time.Time) (remaining int, ok bool) {
	b.advance(now)
	firstAttempts, retries := 0, 0
	for i := range b.firstAttempts {
		firstAttempts += b.firstAttempts[i]
		retries += b.retries[i]
	}
	after := b.Slack + b.Ratio*float64(firstAttempts) - float64(retries+1)
	if after < 0 {
		return 0, false
	}
	b.retries[0]++
	return int(after), true
}

// advance shifts the buckets so that the newest one covers now.
func (b *Retries) advance(now time.Time) {
	width := b.Window / bucketsPerWindow
	if b.bucketStart.IsZero() || width <= 0 {
		b.bucketStart = now
		return
	}
	n := int(now.Sub(b.bucketStart) / width)
	if n <= 0 {
		return
	}
	b.bucketStart = b.bucketStart.Add(time.Duration(n) * width)
	n = min(n, len(b.firstAttempts))
	copy(b.firstAttempts[n:], b.firstAttempts[:len(b.firstAttempts)-n])
	copy(b.retries[n:], b.retries[:len(b.retries)-n])
	for i := range n {
		b.firstAttempts[i], b.retries[i] = 0, 0
	}
}
