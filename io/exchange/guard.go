package exchange

// This file defines the guard of a request.

import (
	"context"
	"net/http"
	"time"
)

// Guard lets the owner of a request decide at the last moment whether it is sent, and see what
// the server's response says about the server. Both fields may be nil.
type Guard struct {
	// Admit is called before a connection is opened, and again before the first byte is
	// written. Its error keeps the request from being sent.
	Admit func() error
	// OnHead is called with the status and the header of the response, also if the rest of it is missing or is
	// no answer to the request. It is not called with those of copies of earlier responses.
	OnHead func(status int, h http.Header)
}

// admit returns why a request must not be sent, nil if it may.
func (g *Guard) admit(ctx context.Context) error {
	// After a pause of the process the deadline may have passed while the context does not tell yet,
	// as its timer has not run.
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return context.DeadlineExceeded
	}
	if g.Admit == nil {
		return nil
	}
	return g.Admit()
}

func (g *Guard) onHead(status int, h http.Header) {
	if g.OnHead != nil {
		g.OnHead(status, h)
	}
}
