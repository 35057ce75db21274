package caller

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotspring/core/outcome"
	"bergamotspring/core/record"
	"bergamotspring/core/stage"
)

// finishTrace completes the trace of x, observes, records and logs it.
func (s *Server) finishTrace(x *run) {
	t := &x.trace
	t.Total = s.now().Sub(t.Started)
	t.Outcome, t.Ran = outcome.OK, outcome.RanWhole
	if x.err != nil {
		t.Outcome, t.Ran, t.Message = x.err.Outcome, x.err.Ran, x.err.Message
		if x.err.Field != "" {
			t.Message = x.err.Field + ": " + t.Message
		}
	}
	if s.Observe != nil {
		s.Observe(t)
	}
	s.record(record.Event{
		Kind: record.RequestEnded, Request: t.Request, Key: x.keyName(), Version: t.Version,
		Outcome: t.Outcome.String(), Detail: t.Ran.String(),
	})
	if c := s.Log.Check(zap.InfoLevel, "request"); c != nil {
		c.Write(zap.Inline(traceLine{t}))
	}
}

// traceLine encodes a trace as fields of a log line. Durations are in milliseconds.
type traceLine struct{ *stage.Trace }

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l traceLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("request", l.Request)
	e.AddString("organisation", l.Organisation)
	e.AddString("class", l.Class)
	e.AddString("target", l.Target)
	e.AddString("outcome", l.Outcome.String())
	e.AddString("ran", l.Ran.String())
	e.AddString("message", l.Message)
	e.AddUint64("version", l.Version)
	e.AddUint64("fingerprint", l.Fingerprint)
	e.AddBool("key", l.Key)
	e.AddBool("streamed", l.Streamed)
	e.AddFloat64("deadline_ms", ms(l.Deadline))
	e.AddFloat64("total_ms", ms(l.Total))
	e.AddFloat64("first_token_ms", ms(l.First))
	e.AddInt("tokens", l.Tokens)
	e.AddInt("bytes_in", l.BytesIn)
	e.AddInt("bytes_out", l.BytesOut)
	return e.AddArray("stages", spans(l.Stages))
}

type spans []stage.Span

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l spans) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for i := range l {
		if err := a.AppendObject(spanLine{&l[i]}); err != nil {
			return err
		}
	}
	return nil
}

type spanLine struct{ *stage.Span }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l spanLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("name", l.Name)
	e.AddString("pool", l.Pool)
	e.AddFloat64("took_ms", ms(l.Took))
	e.AddFloat64("budget_ms", ms(l.Budget))
	e.AddInt("tokens", l.Tokens)
	e.AddInt("retries", l.Retries)
	e.AddInt("hedges", l.Hedges)
	return e.AddArray("attempts", attempts(l.Attempts))
}

type attempts []stage.Attempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attempts) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for i := range l {
		if err := a.AppendObject(attemptLine{&l[i]}); err != nil {
			return err
		}
	}
	return nil
}

type attemptLine struct{ *stage.Attempt }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l attemptLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("call", l.Call)
	e.AddString("group", l.Group.String())
	e.AddString("server", l.Server)
	e.AddUint64("epoch", l.Epoch)
	e.AddFloat64("queue_ms", ms(l.Queue))
	e.AddFloat64("service_ms", ms(l.Service))
	e.AddInt("cross_bytes", l.Cross)
	e.AddBool("retry", l.Retry)
	e.AddString("result", l.Result)
	e.AddString("error", l.Error)
	return nil
}
