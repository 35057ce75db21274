package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bergamotspring/core/record"
)

// Call is the body of POST /v1/{operation}.
type Call struct {
	CallID       string          `json:"call_id"`
	Organisation string          `json:"organisation"`
	Input        json.RawMessage `json:"input"`
}

// Response is the response to a Call.
type Response struct {
	CallID string          `json:"call_id"`
	Output json.RawMessage `json:"output"`
	End    bool            `json:"end"`
	Cold   bool            `json:"cold"`
}

// JSON is a stand-in of a server of a JSON pool or of a plain service.
type JSON struct {
	Host
	Service time.Duration
	// Output computes the output of a call; nil: the input.
	Output func(operation string, input json.RawMessage) json.RawMessage
	// Fault returns the fault to inject into a call; nil: none.
	Fault func(operation string, c Call) Fault
}

// Handler serves the protocol of pools and services.
func (s *JSON) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		n, _ := s.Load()
		_, _ = fmt.Fprintf(w, `{"inflight":%d,"cold":%t}`, n, s.Cold())
	})
	m.HandleFunc("POST /v1/{operation}", s.call)
	return m
}

func (s *JSON) call(w http.ResponseWriter, r *http.Request) {
	var c Call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	op := r.PathValue("operation")
	v := s.startCall(c.CallID, r.Header.Get("X-Operation-Key"), string(c.Input))
	defer v.end()
	v.abortIfCrashed()
	var f Fault
	if s.Fault != nil {
		f = s.Fault(op, c)
	}
	if f.Kind != NoFault {
		s.record(record.Event{Kind: record.FaultInjected, Call: c.CallID, Detail: f.Kind.String()})
	}
	v.work(s.Service + f.Delay)
	a := Response{CallID: c.CallID, Output: c.Input, End: true, Cold: s.Cold()}
	if s.Output != nil {
		a.Output = s.Output(op, c.Input)
	}
	s.writeResponse(w, r, a, f)
}

func (s *JSON) writeResponse(w http.ResponseWriter, r *http.Request, a Response, f Fault) {
	switch f.Kind {
	case CrossedID:
		a.CallID, a.Output = "other-"+a.CallID, json.RawMessage(`"the answer to another call"`)
	case NoEnd:
		a.End = false
	case CrashAt:
		s.TakeDown()
		panic(http.ErrAbortHandler)
	case SilentAt:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case ErrorResponse:
		http.Error(w, "injected", http.StatusInternalServerError)
		return
	}
	b, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if f.Kind == Truncated {
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}
