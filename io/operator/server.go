package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/io/httpbody"
	"bergamotspring/schema"
	wire "bergamotspring/schema/operatorwire"
	"bergamotspring/schema/setting"
)

// Server serves the operator API. A call whose function field is nil gets
// CodeUnavailable. The fields return *Error to choose the code; other errors get
// CodeInternal.
type Server struct {
	// Token is the bearer token of operators; while it is not set, every call but the
	// health checks is refused.
	Token setting.Secret

	// Apply puts a declaration in force by compare-and-set. If another version is in
	// force, it returns an *Error with CodeConflict, to which the server adds the changes.
	// If the response of the table service is lost, it returns CodeUnknown.
	Apply   func(context.Context, ApplyRequest) (Applied, error)
	Current func(context.Context) (Stored, error)
	History func(ctx context.Context, version uint64) (Stored, error)
	Status  func(context.Context) (Status, error)
	// Explain returns the trace of a request that this node ran.
	Explain func(ctx context.Context, request string) (Trace, error)
	// Preview may be nil: then the server compares with Current.
	Preview func(context.Context, *fleet.Declaration) (Preview, error)
	// Release lets any node of the region take over a group whose lease holder and
	// standby are both silent without proof of death.
	Release func(ctx context.Context, g fleet.GroupID, reason string) error
	// Ready returns the reason why the node accepts no requests, or nil.
	Ready func() error
	// Now is time.Now if nil.
	Now func() time.Time
}

const (
	maxReason = 500 // bytes; a reason is a sentence or two
	maxID     = 64  // bytes
)

// Handler returns the handler of the API. The http.Server that uses it sets the time-outs.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	m.HandleFunc("GET /readyz", s.ready)
	m.HandleFunc("POST /v1/declaration", s.authorised(s.apply))
	m.HandleFunc("GET /v1/declaration", s.authorised(s.current))
	m.HandleFunc("GET /v1/history/{version}", s.authorised(s.history))
	m.HandleFunc("GET /v1/status", s.authorised(s.status))
	m.HandleFunc("GET /v1/explain/{request}", s.authorised(s.explain))
	m.HandleFunc("POST /v1/preview", s.authorised(s.preview))
	m.HandleFunc("POST /v1/groups/{group}/release", s.authorised(s.release))
	m.HandleFunc("/", s.authorised(func(r *http.Request) (any, error) {
		return nil, &Error{Code: CodeNotFound, Message: "no such call: " + r.Method + " " + r.URL.Path}
	}))
	return m
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n") // fails only if the caller has disconnected
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready == nil {
		writeText(w, http.StatusServiceUnavailable, "not ready: starting")
		return
	}
	if err := s.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) authorised(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.allowed(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeResponse(w, nil, &Error{Code: CodeUnauthorised, Message: "wrong or no bearer token"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, schema.MaxDocument)
		v, err := f(r)
		writeResponse(w, v, err)
	}
}

// allowed checks the bearer token. It compares hashes, so that the time taken reveals
// neither the text nor the length of the token.
func (s *Server) allowed(r *http.Request) bool {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	got, want := sha256.Sum256([]byte(t)), sha256.Sum256([]byte(s.Token.Reveal()))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1 && ok && s.Token.IsSet()
}

func writeResponse(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		e := asError(err)
		v, status = toError(e), httpStatuses[e.Code]
		if status == 0 {
			status = http.StatusInternalServerError
		}
	}
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"code":"internal","message":"answer cannot be encoded"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n')) // fails only if the caller has disconnected
}

func unavailable(action string) error {
	return &Error{Code: CodeUnavailable, Message: "this node cannot " + action + " now"}
}

// readDeclaration reads a declaration from the body.
func readDeclaration(r *http.Request) (*fleet.Declaration, error) {
	b, err := httpbody.ReadAll(&httpbody.Reader{Source: r.Body}, -1, schema.MaxDocument) // MaxBytesReader applies first
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("declaration is longer than %d bytes", m.Limit)}
	}
	if err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: "body was cut: " + err.Error()}
	}
	d, err := schema.Decode("declaration", b)
	var e *schema.Error
	if errors.As(err, &e) {
		l := make([]string, len(e.Problems))
		for i, f := range e.Problems {
			l[i] = f.String()
		}
		return nil, &Error{Code: CodeInvalid, Message: fmt.Sprintf("declaration has %d faults", len(l)), Problems: l}
	}
	return d, err
}

func (s *Server) apply(r *http.Request) (any, error) {
	if s.Apply == nil {
		return nil, unavailable("apply")
	}
	a, err := applyRequest(r)
	if err != nil {
		return nil, err
	}
	if a.Declaration, err = readDeclaration(r); err != nil {
		return nil, err
	}
	v, err := s.Apply(r.Context(), a)
	var e *Error
	if errors.As(err, &e) && e.Code == CodeConflict {
		return nil, s.conflict(r.Context(), a, e)
	}
	if err != nil {
		return nil, err
	}
	return ToApplied(v), nil
}

func applyRequest(r *http.Request) (ApplyRequest, error) {
	q := r.URL.Query()
	a := ApplyRequest{ID: q.Get("apply_id"), Reason: q.Get("reason")}
	n, err := strconv.ParseUint(q.Get("expected_version"), 10, 64)
	if err != nil {
		return a, &Error{Code: CodeBadRequest, Message: "expected_version is not a version"}
	}
	a.Expected = n
	if a.ID == "" || len(a.ID) > maxID {
		return a, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("apply_id has to have 1 to %d bytes", maxID)}
	}
	return a, checkReason(a.Reason)
}

func checkReason(s string) error {
	if strings.TrimSpace(s) == "" || len(s) > maxReason {
		return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("reason has to have 1 to %d bytes", maxReason)}
	}
	return nil
}

func (s *Server) release(r *http.Request) (any, error) {
	pool, domain, ok := strings.Cut(r.PathValue("group"), "@")
	if !ok || pool == "" || domain == "" {
		return nil, &Error{Code: CodeBadRequest, Message: "a group is pool@failure_domain"}
	}
	reason := r.URL.Query().Get("reason")
	if err := checkReason(reason); err != nil {
		return nil, err
	}
	if s.Release == nil {
		return nil, unavailable("release groups")
	}
	g := fleet.GroupID{Pool: pool, Domain: domain}
	if err := s.Release(r.Context(), g, reason); err != nil {
		return nil, err
	}
	return wire.Released{Group: g.String()}, nil
}

// conflict adds the changes that other operators made since the expected version to e.
// If that version cannot be read, it adds the difference to the requested declaration.
func (s *Server) conflict(ctx context.Context, a ApplyRequest, e *Error) error {
	if s.Current == nil {
		return e
	}
	c, err := s.Current(ctx)
	if err != nil {
		return e
	}
	f := *e
	f.Current = c.Version
	f.Message = fmt.Sprintf("expected version %d, but version %d is in force", a.Expected, c.Version)
	if s.History != nil {
		if h, err := s.History(ctx, a.Expected); err == nil {
			f.Changes = fleet.Diff(h.Declaration, c.Declaration)
			f.Message += "; changes since the expected one:"
			return &f
		}
	}
	f.Changes = fleet.Diff(c.Declaration, a.Declaration)
	f.Message += "; the expected one cannot be read; changes that this declaration would make:"
	return &f
}

func (s *Server) current(r *http.Request) (any, error) {
	if s.Current == nil {
		return nil, unavailable("read the declaration")
	}
	v, err := s.Current(r.Context())
	if err != nil {
		return nil, err
	}
	return ToStored(v)
}

func (s *Server) history(r *http.Request) (any, error) {
	n, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		return nil, &Error{Code: CodeBadRequest, Message: "the version is not a number"}
	}
	if s.History == nil {
		return nil, unavailable("read the history")
	}
	v, err := s.History(r.Context(), n)
	if err != nil {
		return nil, err
	}
	return ToStored(v)
}

func (s *Server) status(r *http.Request) (any, error) {
	if s.Status == nil {
		return nil, unavailable("report its status")
	}
	v, err := s.Status(r.Context())
	if err != nil {
		return nil, err
	}
	return ToStatus(v), nil
}

func (s *Server) explain(r *http.Request) (any, error) {
	if s.Explain == nil {
		return nil, unavailable("explain requests")
	}
	v, err := s.Explain(r.Context(), r.PathValue("request"))
	if err != nil {
		return nil, err
	}
	return ToTrace(v), nil
}

func (s *Server) preview(r *http.Request) (any, error) {
	d, err := readDeclaration(r)
	if err != nil {
		return nil, err
	}
	if s.Preview != nil {
		p, err := s.Preview(r.Context(), d)
		return ToPreview(p), err
	}
	if s.Current == nil {
		return nil, unavailable("read the declaration")
	}
	c, err := orNoDeclaration(s.Current(r.Context()))
	if err != nil {
		return nil, err
	}
	return ToPreview(PreviewOf(c, d, s.now())), nil
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}
