package edge

// This file defines the decision log: JSON lines on standard output. Logging never blocks a
// request, and the number of lines is bounded under load.

import (
	"context"
	"hash/fnv"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotspring/io/wait"
)

const (
	// logQueueLines is the number of lines queued for a slow reader; further ones are dropped.
	logQueueLines = 4096
	// unsampledLineRate is the number of ordinary lines a second above which requests are
	// sampled.
	unsampledLineRate = 200
	// logDropInterval is how often the number of dropped lines is logged.
	logDropInterval = time.Second
	// logFlushTimeout is how long a stopping node waits for its queued lines to be written.
	logFlushTimeout = 200 * time.Millisecond
)

// lineWriter hands lines to a goroutine that writes them. Write never blocks.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

func newLineWriter(out io.Writer) *lineWriter {
	return &lineWriter{out: out, lines: make(chan []byte, logQueueLines)}
}

// Write queues a line, or counts it as dropped if the queue is full.
func (w *lineWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until the queue is empty, for at most logFlushTimeout.
func (w *lineWriter) Sync() error {
	for end := time.Now().Add(logFlushTimeout); len(w.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// run writes lines until the context ends.
func (w *lineWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-w.lines:
			_, _ = w.out.Write(l) // an error could be logged nowhere
		}
	}
}

// reportDropped logs the number of dropped lines periodically until the context ends.
func (w *lineWriter) reportDropped(ctx context.Context, l *zap.Logger) {
	wait.Every(ctx, logDropInterval, func() {
		if n := w.dropped.Swap(0); n > 0 {
			l.Warn("log_dropped", zap.Int64("lines", n))
		}
	})
}

// newLogger returns a logger that writes JSON lines.
func newLogger(out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "at"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, zap.InfoLevel))
}

// sampler decides for which requests the ordinary lines are written. It hashes the request id,
// so that nodes under similar load choose the same requests. Ordinary lines are those of
// placements and of requests that ended well; all others are always written. now must be set. It
// is safe for concurrent use.
type sampler struct {
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	count       int
	share       float64 // of requests that are written; 0: all
}

// sample reports whether the ordinary lines of a request are written.
func (s *sampler) sample(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if d := now.Sub(s.windowStart); d >= time.Second {
		s.share = math.Min(1, unsampledLineRate*d.Seconds()/math.Max(1, float64(s.count)))
		s.windowStart, s.count = now, 0
	}
	s.count++
	f := fnv.New64a()
	_, _ = f.Write([]byte(id)) // never fails
	return s.share == 0 || float64(f.Sum64()>>11) < s.share*(1<<53)
}
