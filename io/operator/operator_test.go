package operator

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/io/standin"
	"bergamotspring/schema"
	"bergamotspring/schema/setting"
)

const token = "operator-token-0001"

// handlerTransport is a transport that calls a handler without a network. With
// dropResponses, the request fails after the handler ran, as if the response were lost.
type handlerTransport struct {
	h             http.Handler
	dropResponses bool
}

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.h.ServeHTTP(w, r)
	if d.dropResponses {
		httptrace.ContextClientTrace(r.Context()).WroteHeaders()
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

func newClient(s *Server, secret string) *Client {
	return &Client{URL: "http://node", Token: setting.NewSecret(secret), HTTP: &http.Client{Transport: handlerTransport{h: s.Handler()}}}
}

func exampleDeclaration(t *testing.T) *fleet.Declaration {
	t.Helper()
	b, err := os.ReadFile("../../examples/logwerk.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := schema.Decode("logwerk.json", b)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a call that succeeds without the token, and against a server without
// a token that allows every call.
func TestToken(t *testing.T) {
	s := &Server{Status: func(context.Context) (Status, error) { return Status{}, nil }}
	cases := []struct {
		server, client string
		want           Code
	}{
		{token, token, ""},
		{token, token + "x", CodeUnauthorised},
		{token, "", CodeUnauthorised},
		{"", "", CodeUnauthorised},
		{"", token, CodeUnauthorised},
	}
	for _, c := range cases {
		s.Token = setting.NewSecret(c.server)
		_, err := newClient(s, c.client).Status(context.Background())
		var e *Error
		errors.As(err, &e)
		if c.want == "" && err != nil || c.want != "" && (e == nil || e.Code != c.want) {
			t.Errorf("server %q, client %q: got %v, want code %q", c.server, c.client, err, c.want)
		}
	}
}

// Guards against a liveness check that fails because the node is not ready, which would
// restart the node, and against health checks that need a token.
func TestHealth(t *testing.T) {
	s := &Server{Token: setting.NewSecret(token)}
	get := func(p string) (int, string) {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest("GET", p, nil))
		return w.Code, w.Body.String()
	}
	for _, ready := range []error{errors.New("declaration not read"), nil} {
		s.Ready = func() error { return ready }
		if got, _ := get("/healthz"); got != http.StatusOK {
			t.Errorf("/healthz: got %d, want 200", got)
		}
		got, text := get("/readyz")
		if want := ready == nil; (got == http.StatusOK) != want {
			t.Errorf("/readyz: got %d %s, want ready %v", got, text, want)
		}
	}
}

// Guards against errors whose code or message is wrong when they reach the operator.
func TestErrors(t *testing.T) {
	d := exampleDeclaration(t)
	other := d.WithTakenOut(fleet.TargetDomain, "muc-a", "power", time.Unix(0, 0))
	s := &Server{
		Token: setting.NewSecret(token),
		Apply: func(context.Context, ApplyRequest) (Applied, error) {
			return Applied{}, &Error{Code: CodeConflict, Message: "stale"}
		},
		Current: func(context.Context) (Stored, error) { return Stored{Version: 7, Declaration: other}, nil },
		History: func(context.Context, uint64) (Stored, error) { return Stored{Version: 6, Declaration: d}, nil },
		Explain: func(context.Context, string) (Trace, error) { return Trace{}, errors.New("disk on fire") },
	}
	c := newClient(s, token)
	ctx := context.Background()
	apply := func(r ApplyRequest) error {
		_, err := c.Apply(ctx, r)
		return err
	}
	wrong := *d
	wrong.Servers = nil
	_, explained := c.Explain(ctx, "r/1")
	_, status := c.Status(ctx)
	cases := []struct {
		name string
		got  error
		want string
	}{
		{"conflict", apply(ApplyRequest{ID: "a", Expected: 6, Reason: "r", Declaration: d}), "conflict: expected version 6, but version 7 is in force; changes since the expected one:\n  + exceptions failure_domain muc-a: out=true reason=power since=1970-01-01T00:00:00Z"},
		{"no reason", apply(ApplyRequest{ID: "a", Declaration: d}), "bad_request: reason has to have 1 to 500 bytes"},
		{"no id", apply(ApplyRequest{Reason: "r", Declaration: d}), "bad_request: apply_id has to have 1 to 64 bytes"},
		{"faults", apply(ApplyRequest{ID: "a", Reason: "r", Declaration: &wrong}), "invalid: declaration has 9 faults"},
		{"foreign error", explained, "internal: disk on fire"},
		{"nil field", status, "unavailable: this node cannot report its status now"},
	}
	for _, k := range cases {
		if k.got == nil || !strings.HasPrefix(k.got.Error(), k.want) {
			t.Errorf("%s: got %v, want %s", k.name, k.got, k.want)
		}
	}
}

// Guards against an apply that is reported as not sent although it may have taken effect,
// and against a refused connection that is reported as sent.
func TestLostResponse(t *testing.T) {
	d := exampleDeclaration(t)
	s := &Server{Token: setting.NewSecret(token), Apply: func(context.Context, ApplyRequest) (Applied, error) { return Applied{Version: 2}, nil }}
	c := newClient(s, token)
	r := ApplyRequest{ID: "a", Reason: "secret reason", Declaration: d}
	c.HTTP.Transport = handlerTransport{h: s.Handler(), dropResponses: true}
	_, err := c.Apply(context.Background(), r)
	var u *UnreachableError
	if !errors.As(err, &u) || !u.Sent || strings.Contains(err.Error(), "reason=") {
		t.Errorf("got %v, want sent without the query", err)
	}
	c.HTTP.Transport = refusingTransport{}
	if _, err := c.Apply(context.Background(), r); !errors.As(err, &u) || u.Sent {
		t.Errorf("got %v, want not sent", err)
	}
}

// Guards against the same faults over a connection with TLS: after an untrusted certificate
// or a refused connection nothing has changed; if the connection broke after the
// request was sent, the change may have taken effect.
func TestSentOverTLS(t *testing.T) {
	n := &standin.Network{}
	defer n.Close()
	l, err := n.Listen("127.0.0.1:443") // the address in the server's certificate
	if err != nil {
		t.Fatal(err)
	}
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	broken := &httptest.Server{Listener: l, Config: &http.Server{Handler: abort, ErrorLog: log.New(io.Discard, "", 0)}} // the failures are intended
	broken.StartTLS()
	defer broken.Close()
	trusting := broken.Client().Transport.(*http.Transport)
	for _, k := range []struct {
		name, url string
		transport *http.Transport
		want      bool
	}{
		{"broken", broken.URL, trusting, true},
		{"untrusted", broken.URL, &http.Transport{}, false},
		{"refused", "https://127.0.0.1:444", trusting, false},
	} {
		k.transport.DialContext = n.Dialer("127.0.0.1")
		c := Client{URL: k.url, HTTP: &http.Client{Transport: k.transport}}
		var u *UnreachableError
		_, err := c.Apply(context.Background(), ApplyRequest{ID: "a", Reason: "r", Declaration: exampleDeclaration(t)})
		if !errors.As(err, &u) || u.Sent != k.want {
			t.Errorf("%s: got %v, want sent %v", k.name, err, k.want)
		}
	}
}

type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// Guards against a page of another server, such as a proxy, that is taken for a response
// of a node.
func TestResponseNotFromNode(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>") })
	c := &Client{URL: "http://proxy", HTTP: &http.Client{Transport: handlerTransport{h: h}}}
	var u *UnreachableError
	if _, err := c.Current(context.Background()); !errors.As(err, &u) {
		t.Errorf("got %v, want *UnreachableError", err)
	}
}

// Guards against a field that the codec omits in one direction.
func TestCodecKeepsAllFields(t *testing.T) {
	var s Status
	var trace Trace
	var p Preview
	n := 0
	fill(reflect.ValueOf(&s).Elem(), &n)
	fill(reflect.ValueOf(&trace).Elem(), &n)
	fill(reflect.ValueOf(&p).Elem(), &n)
	if got := fromStatus(ToStatus(s)); !reflect.DeepEqual(got, s) {
		t.Errorf("got %+v, want %+v", got, s)
	}
	if got := fromTrace(ToTrace(trace)); !reflect.DeepEqual(got, trace) {
		t.Errorf("got %+v, want %+v", got, trace)
	}
	if got := fromPreview(ToPreview(p)); !reflect.DeepEqual(got, p) {
		t.Errorf("got %+v, want %+v", got, p)
	}
}

// fill sets every field to a different value, and every slice to one element.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.String:
		v.SetString("s" + time.Duration(*n).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(int64(*n), 0)))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	}
}
