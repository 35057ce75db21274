package proxy

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
)

// Guards against a place at a model server that is kept until the deadline, as it was granted when its caller had left.
func TestGrantAfterCallerLeft(t *testing.T) {
	var got []placement.Report
	s := &Server{Report: func(r placement.Report) { got = append(got, r) }, OnEnd: func(Result) {}, Log: zap.NewNop()}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	for _, g := range []placement.Decision{{Server: relay.Server{ID: "s"}}, {Reason: placement.ReasonBusy}} {
		got = nil
		q := &request{server: s, route: &relay.Route{}, deadline: time.Now().Add(time.Hour)}
		func() {
			defer func() {
				if e, _ := recover().(error); !errors.Is(e, http.ErrAbortHandler) {
					t.Errorf("got panic %v, want the end of the connection", e)
				}
			}()
			q.placed(ctx, &g, nil)
		}()
		if want := g.Granted(); want != (len(got) == 1 && got[0].Server == "s" && got[0].Status == placement.RunAbandoned) || !want && len(got) > 0 {
			t.Errorf("granted %v: got reports %+v", want, got)
		}
	}
}
