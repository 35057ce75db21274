package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a link above its rate, chunks valid after chunkTTL or beyond the
// limiter's authority, work that takes the share of control messages, and grants of a
// new limiter while chunks of the previous one may be in use. Nodes send requests at
// random.
func TestLinkRateLimit(t *testing.T) {
	for seed := range uint64(40) {
		g := rand.New(rand.NewPCG(seed, 5))
		now := time.Unix(1000, 0)
		epoch, remaining := uint64(1), 1500*time.Millisecond
		h := LinkLimiter{BytesPerSecond: 1 << 18, Now: func() time.Time { return now },
			Authority: func() (uint64, time.Duration) { return epoch, remaining }}
		var nodes [5]Allowance
		for i := range nodes {
			nodes[i].Now = h.Now
		}
		start, term, work, control := now, now, int64(0), int64(0)
		for range 4000 {
			now = now.Add(time.Duration(g.IntN(10)) * time.Millisecond)
			if g.IntN(1000) == 0 {
				epoch++
				term = now
			}
			remaining = time.Duration(g.IntN(1500)) * time.Millisecond
			w := &nodes[g.IntN(len(nodes))]
			n := int64(g.IntN(40000))
			switch g.IntN(4) {
			case 0, 1:
				before := w.Remaining()
				if w.TakeWork(n) {
					work += n
				}
				if got := w.Remaining(); got > before || got < 0 {
					t.Fatalf("seed %d: %d bytes remain after taking from %d", seed, got, before)
				}
			case 2:
				w.TakeControl(n / 100)
				control += n / 100
			case 3:
				c := h.Grant(w.Request("n"))
				if c.TTL > remaining || c.TTL > time.Second || c.Bytes > 0 && now.Sub(term) < time.Second && epoch > 1 {
					t.Fatalf("seed %d: chunk %+v with authority for %v, %v into the term", seed, c, remaining, now.Sub(term))
				}
				w.Add(c, now)
			}
			if m := (1 << 18) * (now.Sub(start).Seconds() + 1); float64(work) > m {
				t.Fatalf("seed %d: %d bytes of work in %v", seed, work, now.Sub(start))
			}
		}
		if rate := float64(work+control) / now.Sub(start).Seconds(); rate < 1<<16 {
			t.Errorf("seed %d: only %.0f bytes a second passed", seed, rate)
		}
	}
}

// Guards against bytes granted for work before the debt of control messages is paid,
// and against chunks used after they expire.
func TestControlDebtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	h := LinkLimiter{BytesPerSecond: 100_000, Now: func() time.Time { return now },
		Authority: func() (uint64, time.Duration) { return 1, time.Minute }}
	h.Grant(LinkRequest{})
	now = now.Add(5 * time.Second)
	if c := h.Grant(LinkRequest{Bytes: 20_000, Debt: 95_000}); c.Bytes != 0 {
		t.Errorf("%d bytes granted for work while control messages use the whole link", c.Bytes)
	}
	now = now.Add(time.Second)
	c := h.Grant(LinkRequest{Bytes: 20_000})
	w := Allowance{Now: h.Now}
	w.Add(c, now)
	if got, want := w.Remaining(), int64(20_000); got != want {
		t.Errorf("%d bytes granted, want %d", got, want)
	}
	now = now.Add(time.Second)
	if w.TakeWork(1) {
		t.Error("a chunk was used after it expired")
	}
	w.TakeControl(500)
	if got, want := w.Request("n").Debt, int64(500); got != want {
		t.Errorf("debt of %d control bytes, want %d", got, want)
	}
}
