package proxy

// This file defines how a request is read and matched, and the answers of the system's own.

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
)

const (
	// answerMargin is left between the end of the work on a request and its time limit,
	// for the answer's way.
	answerMargin = 40 * time.Millisecond
	// defaultTimeout bounds requests whose route and caller name no bound.
	defaultTimeout = 30 * time.Second
	// defaultBody bounds bodies before a configuration says how large they may be.
	defaultBody = 4 << 20
	// retryCondemned is when a request that crashes servers may come back.
	retryCondemned = 10 * time.Second
	// retryStarting is when a request is worth sending again to a node that has not
	// read its configuration yet.
	retryStarting = 500 * time.Millisecond
)

// read reads and matches the request, or answers it.
func (q *request) read(r *http.Request) bool {
	q.meta = q.server.Protocol.Read(r.Header)
	v := q.server.View()
	if v.Config == nil {
		refuse(q.out, retryStarting)
		return false
	}
	if !q.match(v, r) {
		return false
	}
	limit := v.Config.MaxBody
	if limit <= 0 {
		limit = defaultBody
	}
	b, err := io.ReadAll(http.MaxBytesReader(q.out, r.Body, limit))
	if e, ok := errors.AsType[*http.MaxBytesError](err); ok {
		q.server.Log.Info("refused", zap.String("request", q.meta.ID), zap.String("reason", e.Error()))
		http.Error(q.out, "body too large", http.StatusRequestEntityTooLarge)
		return false
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the caller did not send the whole request
	}
	q.body = b
	// The configuration may have changed while the body came.
	return q.match(q.server.View(), r)
}

// match finds route, organisation and time limit of the request, or answers it.
func (q *request) match(v *relay.View, r *http.Request) bool {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if q.route = v.Match(host, r.URL.Path); q.route == nil {
		http.Error(q.out, "no such route", http.StatusNotFound)
		return false
	}
	var allowed bool
	if q.org, allowed = v.Organisation(q.route, q.meta.Key); !allowed {
		http.Error(q.out, "unknown key", http.StatusUnauthorized)
		return false
	}
	if q.meta.ID == "" {
		http.Error(q.out, "no request id", http.StatusBadRequest)
		return false
	}
	q.service, q.version = q.route.Pick(q.meta.ID), v.Config.Version
	d := q.route.Timeout
	if q.meta.Bounded && (d <= 0 || q.meta.Remaining < d) {
		d = q.meta.Remaining
	}
	if d <= 0 {
		d = defaultTimeout
	}
	q.limit = q.arrived.Add(d - answerMargin)
	return true
}

// refuse answers that the request has not run and never will, and when to come back.
func refuse(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	http.Error(w, "not run, come back later", http.StatusServiceUnavailable)
}

// progress tells how far a request came that has no whole answer.
func (q *request) progress() []zap.Field {
	return []zap.Field{zap.String("server", q.sentTo), zap.Int("events", q.events)}
}

// fail ends a request without an answer of a server: as not run if that is certain,
// and otherwise without a promise.
func (q *request) fail(reason string, after time.Duration) {
	if q.started {
		q.end("broken_off", false, 0, append(q.progress(), zap.String("reason", reason))...)
		panic(http.ErrAbortHandler)
	}
	if !q.mayRun {
		q.end("refused", false, 0, zap.String("reason", reason), zap.Duration("retry_after", after))
		refuse(q.out, after)
		return
	}
	status := http.StatusBadGateway
	if q.left() <= 0 {
		status = http.StatusGatewayTimeout
	}
	q.end("unknown", false, 0, append(q.progress(), zap.String("reason", reason), zap.Int("status", status))...)
	http.Error(q.out, "outcome unknown", status)
}
