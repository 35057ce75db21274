package route

import (
	"sync"
	"time"
)

const (
	// chunkTerm is how long a granted chunk may be used. It also is how long a new
	// link home waits before it grants, because chunks of an earlier one may be
	// in use.
	chunkTerm = time.Second
	// linkBurst is the time whose bytes the bucket of a link holds.
	linkBurst = time.Second
	// workShare is the part of the bucket that chunks for work may use; the rest
	// waits for control messages.
	workShare = 0.9
	// smallChunk is worth a message between the node and the link home.
	smallChunk = 16 << 10
)

// LinkRequest asks the link home for bytes. Debt is the bytes of control messages that
// were sent before any chunk allowed them.
type LinkRequest struct {
	Node  string
	Bytes int64
	Debt  int64
}

// Chunk allows Bytes until Use after the ask was sent. Zero bytes are a refusal.
type Chunk struct {
	Bytes int64
	Use   time.Duration
}

// LinkLimiter grants the bytes that the nodes of one region together send to another.
// It is a token bucket; it starts empty. It is safe for concurrent use; its lock is a
// leaf, and the function fields are called before it is taken.
//
// Invariant: the bytes granted for work in any time t are at most
// BytesPerSecond * (t + 1 s).
type LinkLimiter struct {
	BytesPerSecond int64
	Now            func() time.Time
	// Authority is that of limit.Limiter.
	Authority func() (epoch uint64, left time.Duration)

	mu    sync.Mutex
	epoch uint64
	from  time.Time // no grant before
	at    time.Time
	level float64
}

// Grant grants a chunk. Control bytes owed are charged first and may bring the bucket
// below zero, so that work waits for them.
func (h *LinkLimiter) Grant(a LinkRequest) Chunk {
	if h.Now == nil || h.Authority == nil {
		return Chunk{}
	}
	n := h.Now()
	e, left := h.Authority()
	h.mu.Lock()
	defer h.mu.Unlock()
	if left <= 0 || e < h.epoch {
		return Chunk{}
	}
	if h.at.IsZero() || e > h.epoch {
		h.epoch, h.at, h.level = e, n, 0
		h.from = n.Add(chunkTerm)
	}
	h.fill(n)
	h.level -= float64(max(0, a.Debt))
	if n.Before(h.from) {
		return Chunk{}
	}
	// A quarter at most, so that one node does not take what others need.
	spare := h.level - (1-workShare)*h.full()
	b := min(a.Bytes, int64(spare/4))
	if b < min(a.Bytes, smallChunk) {
		b = min(a.Bytes, smallChunk, int64(spare))
	}
	if b <= 0 {
		return Chunk{}
	}
	h.level -= float64(b)
	return Chunk{Bytes: b, Use: min(chunkTerm, left)}
}

func (h *LinkLimiter) full() float64 { return float64(h.BytesPerSecond) * linkBurst.Seconds() }

func (h *LinkLimiter) fill(n time.Time) {
	if d := n.Sub(h.at); d > 0 {
		h.level = min(h.full(), h.level+d.Seconds()*float64(h.BytesPerSecond))
		h.at = n
	}
}

// Allowance holds the chunks of one node for one link. The zero value allows no
// work. It is safe for concurrent use; its lock is a leaf.
type Allowance struct {
	Now func() time.Time

	mu     sync.Mutex
	chunks []held
	debt   int64
	needed int64 // bytes of work since the last ask that may need a chunk
}

type held struct {
	remaining int64
	until     time.Time
}

// Add takes over a chunk that was asked for at sent.
func (w *Allowance) Add(c Chunk, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Bytes > 0 {
		w.chunks = append(w.chunks, held{c.Bytes, sent.Add(c.Use)})
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

// TakeWork uses n bytes for work, and reports whether they were allowed.
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

// Need notes work that may soon cross the link, so that the next ask covers it.
func (w *Allowance) Need(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needed += n
}

// TakeControl uses n bytes for control messages. They are always allowed; what no
// chunk covers is owed to the link home, which then grants less for work.
func (w *Allowance) TakeControl(n int64) {
	t := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(t)
	w.debt += n - w.take(n)
}

// Request returns what to ask the link home for: what work has wanted since the last ask
// and no chunk covers. The bytes owed are handed over with it; if the ask is lost,
// give them back with AddDebt.
func (w *Allowance) Request(node string) LinkRequest {
	t := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(t)
	a := LinkRequest{Node: node, Debt: w.debt}
	if w.needed > 0 {
		a.Bytes = max(0, max(smallChunk, w.needed)-w.remaining())
	}
	w.debt, w.needed = 0, 0
	return a
}

// AddDebt notes control bytes that the link home does not know of.
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

// take uses up to n bytes, of the oldest chunks first, and returns how many.
func (w *Allowance) take(n int64) int64 {
	var d int64
	for i := range w.chunks {
		m := min(n-d, w.chunks[i].remaining)
		w.chunks[i].remaining -= m
		d += m
	}
	return d
}
