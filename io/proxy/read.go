package proxy

// This file defines how a request is read and matched to a route, and the error responses
// of the proxy itself.

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotspring/core/relay"
)

const (
	// responseMargin is kept between the end of the work on a request and the caller's
	// deadline, for the transfer of the response.
	responseMargin = 40 * time.Millisecond
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the bound of a request body in bytes if the configuration sets none.
	defaultMaxBody = 4 << 20
	// minRetryAfterStarting and maxRetryAfterStarting bound the Retry-After of a node that has not read
	// its configuration yet. After all nodes were lost, their callers return spread over that time.
	minRetryAfterStarting = 300 * time.Millisecond
	maxRetryAfterStarting = 1500 * time.Millisecond
	// retryAfterUndecided is the Retry-After while a part of the configuration cannot be read. The operator has to write it
	// again.
	retryAfterUndecided = 2 * time.Second
)

// read reads the request and matches it to a route. If it returns false, it has sent an
// error response.
func (q *request) read(r *http.Request) bool {
	q.meta = q.server.Protocol.Read(r.Header)
	v := q.server.View()
	if v.Config == nil {
		refuse(q.out, q.meta.retryAfterStarting())
		return false
	}
	if !q.match(v, r) {
		return false
	}
	limit := v.Config.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if !q.readBody(r, limit) {
		return false
	}
	// The configuration may have changed while the body was read.
	return q.match(q.server.View(), r)
}

// retryAfterStarting returns the Retry-After of a request that came before the configuration: spread by its ID,
// and within what its caller waits for.
func (m *Meta) retryAfterStarting() time.Duration {
	latest := maxRetryAfterStarting
	if m.Bounded {
		latest = max(minRetryAfterStarting, min(latest, time.Duration(retryAfterShare*float64(m.Remaining))))
	}
	part := float64(xxhash.Sum64String(m.ID)>>11) / (1 << 53) // in [0, 1)
	return minRetryAfterStarting + time.Duration(part*float64(latest-minRetryAfterStarting))
}

// match finds the route, organisation and deadline of the request. If it returns false,
// it has sent an error response.
func (q *request) match(v *relay.View, r *http.Request) bool {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	allowed := false
	if q.route = v.Match(host, q.path()); q.route != nil {
		q.org, allowed = v.Organisation(q.route, q.meta.Key)
	}
	switch {
	case v.Undecided(q.route, q.org, q.meta.Key):
		q.server.Log.Warn("refused", zap.String("request", q.meta.ID), zap.String("target", q.loggedTarget()), zap.Int64("version", v.Config.Version), zap.String("reason", "its part of the configuration cannot be read"))
		refuse(q.out, retryAfterUndecided)
		return false
	case q.route == nil:
		return q.reject("no such route", http.StatusNotFound)
	case !allowed:
		return q.reject("unknown key", http.StatusUnauthorized)
	case q.meta.ID == "":
		return q.reject("no request id", http.StatusBadRequest)
	}
	q.service, q.version = q.route.Pick(q.meta.ID), v.Config.Version
	d := q.route.Timeout
	switch {
	case q.meta.Bounded && (d <= 0 || q.meta.Remaining < d):
		d = q.meta.Remaining // may be 0
	case d <= 0:
		d = defaultTimeout
	}
	q.deadline = q.arrived.Add(d - responseMargin)
	return true
}

// reject responds that the request is not allowed, and returns false.
func (q *request) reject(reason string, status int) bool {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.server.Log.Info("rejected", zap.String("request", q.meta.ID), zap.String("target", q.loggedTarget()), zap.String("route", route), zap.String("reason", reason), zap.Int("status", status))
	http.Error(q.out, reason, status)
	return false
}

// refuse responds that the request was not and will not be run, and when to retry.
func refuse(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	http.Error(w, "not run, come back later", http.StatusServiceUnavailable)
}

// progress returns log fields on how far a request without a complete response came.
func (q *request) progress() []zap.Field {
	return []zap.Field{zap.String("server", q.lastServer), zap.Int("events", q.events)}
}

// fail ends a request for which no server's response can be forwarded. If the header was
// sent, it aborts the connection by a panic with http.ErrAbortHandler. Otherwise it
// responds not run if that is certain, and outcome unknown if not.
func (q *request) fail(reason string, after time.Duration) {
	if q.headerSent {
		q.end("broken_off", false, 0, append(q.progress(), zap.String("reason", reason))...)
		panic(http.ErrAbortHandler)
	}
	if !q.mayHaveRun {
		q.end("refused", false, 0, zap.String("reason", reason), zap.Duration("retry_after", after))
		refuse(q.out, after)
		return
	}
	status := http.StatusBadGateway
	if q.remaining() <= 0 {
		status = http.StatusGatewayTimeout
	}
	q.end("unknown", false, 0, append(q.progress(), zap.String("reason", reason), zap.Int("status", status))...)
	http.Error(q.out, "outcome unknown", status)
}
