package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"bergamotspring/core/stage"
)

// Guards against a malformed event stream that causes a panic, delivers a token twice or
// out of order, or counts as complete without its end marker.
func FuzzEventStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"c1\",\"index\":0,\"choices\":[{\"text\":\"a\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data:{\"id\":\"c2\",\"index\":0}\r\n\r\n: note\ndata: [DONE]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a stage.Assembler
		next := 0
		r := &Completion{Token: func(i int, text []byte) error {
			if i != next || len(text) < 2 {
				t.Errorf("token %d %q, want index %d", i, text, next)
			}
			next++
			return nil
		}}
		k := &Call{ID: "c1"}
		x := &exchange{client: &Client{}, call: k, gate: newSendGate(Clock{}, k), ctx: context.Background()}
		s := &stream{exchange: x, completion: r, assembler: &a, stall: time.NewTimer(time.Hour)}
		defer s.stall.Stop()
		err := s.read(&http.Response{Body: io.NopCloser(bytes.NewReader(b))})
		if (err == nil) != a.Done || a.Done && !bytes.Contains(b, doneMarker) || a.Next != next {
			t.Errorf("error = %v with %+v after %d tokens", err, a, next)
		}
	})
}
