package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotspring/core/record"
)

// Completion is the body of POST /v1/completions.
type Completion struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	Stream     bool   `json:"stream"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	RequestID  string `json:"request_id"`
	ResumeFrom int    `json:"resume_from"`
	TextSoFar  string `json:"text_so_far"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// Engine is a stand-in of a model server. Its tokens depend on the prompt alone.
type Engine struct {
	Host
	Prefill       time.Duration // until the first token
	Gap           time.Duration // between tokens
	Tokens        int           // tokens of a whole response, 0: max_tokens
	ChecksFencing bool
	LoadTime      time.Duration // of one order
	// Fault returns the fault to inject into a call; nil: none.
	Fault func(Completion) Fault

	engineMu   sync.Mutex
	cancelled  map[string]bool
	mismatches int
	lastOrder  Order
	orderCount int
}

// Token returns token i of the response to prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt) + uint64(i)*0x9e3779b97f4a7c15
	return "w" + strconv.FormatUint(h>>48, 36) + " "
}

// Text returns the first n tokens of the response to prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// Handler serves the engine protocol.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("DELETE /v1/completions/{id}", e.cancel)
	m.HandleFunc("GET /v1/load", e.load)
	m.HandleFunc("POST /v1/orders", e.takeOrder)
	return m
}

// Mismatches returns how many resumed calls sent a text_so_far that was not the
// beginning of their response.
func (e *Engine) Mismatches() int {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.mismatches
}

// Cancelled reports whether call id was cancelled.
func (e *Engine) Cancelled(id string) bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.cancelled[id]
}

// Cancels returns how many calls were cancelled.
func (e *Engine) Cancels() int {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return len(e.cancelled)
}

// LastOrder returns the last accepted order and the number of accepted orders.
func (e *Engine) LastOrder() (Order, int) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.lastOrder, e.orderCount
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := e.startCall(c.RequestID, r.Header.Get("X-Operation-Key"), c.Prompt)
	defer v.end()
	v.abortIfCrashed()
	var f Fault
	if e.Fault != nil {
		f = e.Fault(c)
	}
	if f.Kind != NoFault {
		e.record(record.Event{Kind: record.FaultInjected, Call: c.RequestID, Detail: f.Kind.String()})
	}
	if f.Kind == ErrorResponse {
		http.Error(w, "injected", http.StatusInternalServerError)
		return
	}
	if c.TextSoFar != Text(c.Prompt, c.ResumeFrom) {
		e.engineMu.Lock()
		e.mismatches++
		e.engineMu.Unlock()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	v.work(e.Prefill)
	e.stream(w, r, v, c, f)
}

// stream writes the token events of c. A fault takes effect before token
// c.ResumeFrom+f.At.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, v *activeCall, c Completion, f Fault) {
	n := c.MaxTokens
	if e.Tokens > 0 && e.Tokens < n {
		n = e.Tokens
	}
	out := http.NewResponseController(w)
	buf := make([]byte, 0, 256)
	for i := c.ResumeFrom; i < n; i++ {
		if i > c.ResumeFrom {
			v.work(e.Gap)
		}
		if e.Cancelled(c.RequestID) || r.Context().Err() != nil {
			return
		}
		id, times := c.RequestID, 1
		if i-c.ResumeFrom == f.At {
			id, times = e.applyFault(w, r, v, f, id)
		}
		text := Token(c.Prompt, i)
		if id != c.RequestID {
			text = Token("another prompt", i)
		}
		for range times {
			buf = appendChunk(buf[:0], id, i, text, i == n-1)
			_, _ = w.Write(buf)
		}
		if out.Flush() != nil {
			return
		}
	}
	if f.Kind != NoEnd {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}

// applyFault applies f and returns the id and the number of copies of the next event.
func (e *Engine) applyFault(w http.ResponseWriter, r *http.Request, v *activeCall, f Fault, id string) (string, int) {
	switch f.Kind {
	case CrossedID:
		return "other-" + id, 1
	case Late:
		v.work(f.Delay)
	case Truncated:
		_, _ = w.Write([]byte(`data: {"id":"` + id))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case SilentAt:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case CrashAt:
		e.TakeDown()
		panic(http.ErrAbortHandler)
	case Doubled:
		return id, 2
	case Skipped:
		return id, 0
	}
	return id, 1
}

func appendChunk(b []byte, id string, i int, text string, last bool) []byte {
	b = append(b, `data: {"id":"`...)
	b = append(b, id...)
	b = append(b, `","index":`...)
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, `,"choices":[{"text":"`...)
	b = append(b, text...)
	b = append(b, `","finish_reason":`...)
	if last {
		b = append(b, `"length"`...)
	} else {
		b = append(b, "null"...)
	}
	return append(b, "}]}\n\n"...)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.cancelled == nil {
		e.cancelled = map[string]bool{}
	}
	e.cancelled[r.PathValue("id")] = true
	e.record(record.Event{Kind: record.CallCancelled, Call: r.PathValue("id")})
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	n, _ := e.Load()
	o, _ := e.LastOrder()
	b, err := json.Marshal(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"inflight":%d,"cold":%t,"running":%s}`, n, e.Cold(), b)
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.sleep(e.LoadTime)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.ChecksFencing && o.Fencing < e.lastOrder.Fencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.lastOrder = o
	e.orderCount++
	e.record(record.Event{Kind: record.OrderTaken, Epoch: o.Fencing, Detail: o.Model + " " + o.Version})
	w.WriteHeader(http.StatusNoContent)
}
