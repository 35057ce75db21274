package caller

import (
	"context"
	"testing"
	"testing/synctest"

	"bergamotspring/io/standin"
)

// Checks a pipeline of four stages, with a streamed and with a whole response, and a
// plain service.
func TestEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		defer w.close()
		want := standin.Text("where is the cache", 20)
		got := w.sse("pipelines/hints", `"where is the cache"`)
		if got.text != want || got.last != "done" || got.data != `{"outcome":"ok","tokens":20}` {
			t.Errorf("stream = %+v, want text %q", got, want)
		}
		s := <-w.traces
		if len(s.Stages) != 4 || s.Tokens != 20 || s.First <= 0 {
			t.Errorf("trace = %+v", s)
		}
		got = w.post(context.Background(), "pipelines/hints", `"where is the cache"`)
		if want := `{"outcome":"ok","output":"` + want + `","tokens":20}`; got.body != want {
			t.Errorf("whole = %+v, want %s", got, want)
		}
		got = w.post(context.Background(), "services/filing/status", `{"id":1}`)
		if want := `{"outcome":"ok","output":{"id":1}}`; got.body != want {
			t.Errorf("service = %+v, want %s", got, want)
		}
	})
}
