package edge

// This file defines the decision log: JSON lines on standard output that never hold up a
// request, and whose number is bounded under load.

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
	// logQueue is the number of lines that wait for a slow reader; more are dropped.
	logQueue = 4096
	// logFullRate is the number of ordinary lines a second up to which all are written.
	logFullRate = 200
	// logDropEvery is how often dropped lines are told.
	logDropEvery = time.Second
	// logFlush is how long a stopping node waits for the reader of its log.
	logFlush = 200 * time.Millisecond
)

// lineWriter hands lines to a goroutine that writes them. Write never blocks.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

func newLineWriter(out io.Writer) *lineWriter {
	return &lineWriter{out: out, lines: make(chan []byte, logQueue)}
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

// Sync waits for the lines that are queued, for a bounded time.
func (w *lineWriter) Sync() error {
	for end := time.Now().Add(logFlush); len(w.lines) > 0 && time.Now().Before(end); {
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
			_, _ = w.out.Write(l) // there is nowhere to tell it
		}
	}
}

// report tells how many lines were dropped, until the context ends.
func (w *lineWriter) report(ctx context.Context, l *zap.Logger) {
	wait.Every(ctx, logDropEvery, func() {
		if n := w.dropped.Swap(0); n > 0 {
			l.Warn("log_dropped", zap.Int64("lines", n))
		}
	})
}

// newLogger returns a logger of JSON lines.
func newLogger(out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "at"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, zap.InfoLevel))
}

// sampler decides whose ordinary lines are written. It goes by the id of the request, so
// that all nodes write the same requests as far as their loads are alike. The zero value
// is ready to use. It is safe for concurrent use.
type sampler struct {
	now func() time.Time

	mu    sync.Mutex
	since time.Time
	count int
	share float64 // of the requests that are written, 0: all
}

// keep reports whether the ordinary lines of a request are written.
func (s *sampler) keep(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if d := now.Sub(s.since); d >= time.Second {
		s.share = math.Min(1, logFullRate*d.Seconds()/math.Max(1, float64(s.count)))
		s.since, s.count = now, 0
	}
	s.count++
	f := fnv.New64a()
	_, _ = f.Write([]byte(id)) // never fails
	return s.share == 0 || float64(f.Sum64()>>11) < s.share*(1<<53)
}
