package caller

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json/jsontext"

	"bergamotspring/core/limit"
	"bergamotspring/core/stage"
	"bergamotspring/io/backend"
)

// prefixSize is the number of bytes of a prompt that identify the servers which may have
// it cached.
const prefixSize = 512

// maxStreams bounds the streams of one generate stage, including resumed ones.
const maxStreams = 4

// generation is a generate stage in progress.
type generation struct {
	x         *run
	st        *stageRun
	last      bool // last stage: its tokens are sent to the caller
	asm       stage.Assembler
	comp      backend.Completion
	prevToken time.Time // arrival of the previous token
	avoid     []string
}

// generate runs a generate stage. A broken stream is resumed at the next token on the
// same or another server. It returns the whole text as a JSON string, or nil if the
// tokens were streamed to the caller.
func (x *run) generate(st *stageRun, in []byte, last bool) ([]byte, *failure) {
	g := &generation{x: x, st: st, last: last}
	g.comp = backend.Completion{
		Model: st.pool.Model, Prompt: promptOf(in), MaxTokens: st.maxTokens, Priority: x.in.class.Priority,
		Token: g.token,
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(x.in.organisation)
	_, _ = d.Write(g.comp.Prompt[:min(len(g.comp.Prompt), prefixSize)])
	st.prefix = d.Sum64()
	for attempt := 0; ; attempt++ {
		f := g.stream(attempt > 0)
		x.span(st).Tokens = g.asm.Next
		if f == nil {
			break
		}
		if f.cause != stage.CauseFailed || !f.retryable || attempt+1 == maxStreams {
			return nil, f
		}
		x.span(st).Retries++
	}
	if last && x.out != nil {
		return nil, nil
	}
	b, err := jsontext.AppendQuote(make([]byte, 0, len(g.asm.Text)+len(g.asm.Text)/8+2), g.asm.Text)
	if err != nil {
		return nil, &failure{cause: stage.CauseFailed, err: err}
	}
	return b, nil
}

// promptOf returns the input of a generate stage as a JSON string: the input itself if it
// is a string, otherwise its JSON text.
func promptOf(in []byte) []byte {
	v := jsontext.Value(in)
	if v.Kind() == '"' {
		return in
	}
	b, _ := jsontext.AppendQuote(make([]byte, 0, len(in)+len(in)/4), in) // in is valid JSON
	return b
}

// stream runs one attempt of the generation.
func (g *generation) stream(retry bool) *failure {
	x, st := g.x, g.st
	p, f := x.acquirePermitElsewhere(x.ctx, st, retry, g.avoid)
	if f != nil {
		return f
	}
	g.comp.FirstTimeout = stage.FirstTimeout(st.first, st.budget)
	if p.permit.Cold {
		g.comp.FirstTimeout = stage.FirstTimeout(stage.Quantiles{}, st.budget)
	}
	g.comp.StallTimeout = stage.StallTimeout(st.gap, p.permit.Cold)
	g.avoid = append(g.avoid, p.permit.Server)
	before := len(g.asm.Text)
	t, err := x.s.Backend.Complete(x.ctx, x.newCall(st, p), &g.comp, &g.asm)
	res := resultOf(err, g.silence(t.Service), g.comp.StallTimeout)
	x.finishAttempt(st, p, res, t.Service, len(g.comp.Prompt)+len(g.asm.Text)-before, err)
	if err == nil {
		x.s.times.update(st.pool.Name, func(q *poolTimes) {
			q.whole.Record(x.s.now(), t.Service)
			q.first.Record(x.s.now(), t.First)
		})
		return nil
	}
	switch {
	case errors.Is(err, errSlowReader):
		return &failure{cause: stage.CauseSlowReader}
	case x.ctx.Err() != nil:
		return x.contextFailure()
	}
	return &failure{cause: stage.CauseFailed, err: err, retryable: !p.exclusive || res != limit.Crashed}
}

// silence returns how long the server of an attempt, which took the given time, has sent no token.
func (g *generation) silence(attempt time.Duration) time.Duration {
	if g.prevToken.IsZero() {
		return attempt
	}
	return min(attempt, g.x.s.now().Sub(g.prevToken))
}

// token handles one token of the response.
func (g *generation) token(index int, text []byte) error {
	x := g.x
	n := x.s.now()
	switch {
	case !g.prevToken.IsZero():
		d := n.Sub(g.prevToken)
		x.s.times.update(g.st.pool.Name, func(q *poolTimes) { q.gap.Record(n, d) })
		if g.last && x.s.ObserveTokenGap != nil {
			x.s.ObserveTokenGap(x.in.organisation, x.in.class.Name, d)
		}
	case g.last:
		x.trace.First = n.Sub(x.trace.Started)
	}
	g.prevToken = n
	if !g.last {
		return nil
	}
	x.trace.Tokens++
	if x.out == nil {
		return nil
	}
	return x.out.token(index, text)
}
