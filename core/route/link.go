package route

import (
	"sync"
	"time"
)

const (
	// chunkTTL is how long a granted chunk is valid. A new link limiter waits for the
	// same time before its first grant, since chunks of the previous one may still
	// be in use.
	chunkTTL = time.Second
	// linkBurst sets the size of the bucket: the bytes of so much time at full rate.
	linkBurst = time.Second
	// workShare is the part of the bucket that chunks for work may use; the rest is
	// reserved for control messages.
	workShare = 0.9
	// minChunkBytes is the smallest chunk worth a round trip to the link limiter.
	minChunkBytes = 16 << 10
)

// LinkRequest is a node's request to the link limiter for bytes. Debt is the bytes of
// control messages sent without a chunk that covers them.
type LinkRequest struct {
	Node  string
	Bytes int64
	Debt  int64
}

// Chunk allows Bytes to be sent within TTL after the request was sent. Zero bytes are
// a refusal.
type Chunk struct {
	Bytes int64
	TTL   time.Duration
}

// LinkLimiter limits the bytes that the nodes of one region together send to another.
// It is a token bucket that starts empty. It is safe for concurrent use; its lock is a
// leaf, and the function fields are called before it is taken.
//
// Invariant: the bytes granted for work within any time t are at most
// BytesPerSecond * (t + 1 s).
type LinkLimiter struct {
	BytesPerSecond int64
	Now            func() time.Time
	// Authority is as in limit.Limiter.
	Authority func() (epoch uint64, remaining time.Duration)

	mu        sync.Mutex
	epoch     uint64
	grantFrom time.Time // no grants before this time
	filledAt  time.Time
	tokens    float64
}

// Grant returns a chunk for a. The debt is charged first and may bring the bucket below
// zero, so that control messages take precedence over work.
func (h *LinkLimiter) Grant(a LinkRequest) Chunk {
	if h.Now == nil || h.Authority == nil {
		return Chunk{}
	}
	n := h.Now()
	e, remaining := h.Authority()
	h.mu.Lock()
	defer h.mu.Unlock()
	if remaining <= 0 || e < h.epoch {
		return Chunk{}
	}
	if h.filledAt.IsZero() || e > h.epoch {
		h.epoch, h.filledAt, h.tokens = e, n, 0
		h.grantFrom = n.Add(chunkTTL)
	}
	h.refill(n)
	h.tokens -= float64(max(0, a.Debt))
	if n.Before(h.grantFrom) {
		return Chunk{}
	}
	// Grant at most a quarter, so that one node does not starve the others.
	spare := h.tokens - (1-workShare)*h.burstBytes()
	b := min(a.Bytes, int64(spare/4))
	if b < min(a.Bytes, minChunkBytes) {
		b = min(a.Bytes, minChunkBytes, int64(spare))
	}
	if b <= 0 {
		return Chunk{}
	}
	h.tokens -= float64(b)
	return Chunk{Bytes: b, TTL: min(chunkTTL, remaining)}
}

func (h *LinkLimiter) burstBytes() float64 { return float64(h.BytesPerSecond) * linkBurst.Seconds() }

func (h *LinkLimiter) refill(n time.Time) {
	if d := n.Sub(h.filledAt); d > 0 {
		h.tokens = min(h.burstBytes(), h.tokens+d.Seconds()*float64(h.BytesPerSecond))
		h.filledAt = n
	}
}

// Allowance holds one node's chunks for one link. The zero value allows no work. It is
// safe for concurrent use; its lock is a leaf.
type Allowance struct {
	Now func() time.Time

	mu     sync.Mutex
	chunks []heldChunk
	debt   int64
	needed int64 // bytes of work since the last request that may need a chunk
}

type heldChunk struct {
	remaining int64
	until     time.Time
}

// Add adds a chunk whose request was sent at sent.
func (w *Allowance) Add(c Chunk, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Bytes > 0 {
		w.chunks = append(w.chunks, heldChunk{c.Bytes, sent.Add(c.TTL)})
	}
}

// Remaining returns the bytes of work that may be sent now.
func (w *Allowance) Remaining() int64 {
	n := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(n)
	return w.remaining()
}

// TakeWork takes n bytes for work if they are allowed, and reports whether they were.
func (w *Allowance) TakeWork(n int64) bool {
	t := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(t)
	if n > w.remaining() {
		w.needed += n
		return false
	}
	w.take(n)
	return true
}

// Need records n bytes of work that may soon be sent, so that the next request covers
// them.
func (w *Allowance) Need(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needed += n
}

// TakeControl takes n bytes for control messages. They are always allowed; bytes that
// no chunk covers become debt, for which the link limiter grants less for work.
func (w *Allowance) TakeControl(n int64) {
	t := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(t)
	w.debt += n - w.take(n)
}

// Request returns the next request to the link limiter: the bytes needed for work since
// the last request that no chunk covers. It moves the debt into the request; if the
// request is lost, restore the debt with AddDebt.
func (w *Allowance) Request(node string) LinkRequest {
	t := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(t)
	a := LinkRequest{Node: node, Debt: w.debt}
	if w.needed > 0 {
		a.Bytes = max(0, max(minChunkBytes, w.needed)-w.remaining())
	}
	w.debt, w.needed = 0, 0
	return a
}

// AddDebt adds control bytes that were not reported to the link limiter.
func (w *Allowance) AddDebt(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.debt += n
}

func (w *Allowance) now() time.Time {
	if w.Now == nil {
		return time.Time{}
	}
	return w.Now()
}

func (w *Allowance) remaining() int64 {
	var n int64
	for _, c := range w.chunks {
		n += c.remaining
	}
	return n
}

func (w *Allowance) expire(t time.Time) {
	k := w.chunks[:0]
	for _, c := range w.chunks {
		if c.remaining > 0 && t.Before(c.until) {
			k = append(k, c)
		}
	}
	w.chunks = k
}

// take takes up to n bytes, from the oldest chunks first, and returns how many.
func (w *Allowance) take(n int64) int64 {
	var d int64
	for i := range w.chunks {
		m := min(n-d, w.chunks[i].remaining)
		w.chunks[i].remaining -= m
		d += m
	}
	return d
}
