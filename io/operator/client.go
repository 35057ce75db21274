package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"bergamotspring/core/fleet"
	"bergamotspring/io/httpbody"
	"bergamotspring/schema"
	wire "bergamotspring/schema/operatorwire"
	"bergamotspring/schema/setting"
)

// maxResponseBytes bounds a response. The status of 920 servers and 320 nodes takes under
// 1 MiB.
const maxResponseBytes = 32 << 20

// Client calls the operator API of one node. Errors of calls are *Error, as in the node's
// response or with CodeBadRequest if the URL is invalid, or *UnreachableError; a declaration
// that cannot be encoded or decoded gives the error of package schema. It never retries a
// call by itself.
type Client struct {
	URL   string // such as "http://10.0.0.1:8082"
	Token setting.Secret
	HTTP  *http.Client // http.DefaultClient if nil
}

// Apply requests that a declaration be put in force. After an *UnreachableError
// with Sent, or CodeUnknown, the same request with the same ID may be retried.
func (c *Client) Apply(ctx context.Context, a ApplyRequest) (Applied, error) {
	t, err := schema.Encode(a.Declaration)
	if err != nil {
		return Applied{}, err
	}
	q := url.Values{}
	q.Set("expected_version", strconv.FormatUint(a.Expected, 10))
	q.Set("apply_id", a.ID)
	q.Set("reason", a.Reason)
	var w wire.Applied
	if err := c.call(ctx, "POST", "/v1/declaration?"+q.Encode(), t, &w); err != nil {
		return Applied{}, err
	}
	return fromApplied(w), nil
}

// Current returns the declaration in force on the node.
func (c *Client) Current(ctx context.Context) (Stored, error) {
	return c.stored(ctx, "/v1/declaration")
}

// CurrentOrNone is like Current, but returns version 0 with an empty declaration if the
// fleet has no declaration yet.
func (c *Client) CurrentOrNone(ctx context.Context) (Stored, error) {
	return orNoDeclaration(c.Current(ctx))
}

// History returns an earlier version.
func (c *Client) History(ctx context.Context, version uint64) (Stored, error) {
	return c.stored(ctx, "/v1/history/"+strconv.FormatUint(version, 10))
}

func (c *Client) stored(ctx context.Context, path string) (Stored, error) {
	var w wire.Stored
	if err := c.call(ctx, "GET", path, nil, &w); err != nil {
		return Stored{}, err
	}
	return fromStored(w)
}

// Status returns the status of the system as known to the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var w wire.Status
	if err := c.call(ctx, "GET", "/v1/status", nil, &w); err != nil {
		return Status{}, err
	}
	return fromStatus(w), nil
}

// Explain returns the trace of a request that the node ran.
func (c *Client) Explain(ctx context.Context, request string) (Trace, error) {
	var w wire.Story
	if err := c.call(ctx, "GET", "/v1/explain/"+url.PathEscape(request), nil, &w); err != nil {
		return Trace{}, err
	}
	return fromTrace(w), nil
}

// Preview returns the changes that a declaration would make, without making them.
func (c *Client) Preview(ctx context.Context, d *fleet.Declaration) (Preview, error) {
	t, err := schema.Encode(d)
	if err != nil {
		return Preview{}, err
	}
	var w wire.Preview
	if err := c.call(ctx, "POST", "/v1/preview", t, &w); err != nil {
		return Preview{}, err
	}
	return fromPreview(w), nil
}

// Release lets any node of the region take over a group whose lease holder and standby
// are both silent.
func (c *Client) Release(ctx context.Context, g fleet.GroupID, reason string) error {
	q := url.Values{}
	q.Set("reason", reason)
	var w wire.Released
	return c.call(ctx, "POST", "/v1/groups/"+url.PathEscape(g.String())+"/release?"+q.Encode(), nil, &w)
}

// call decodes a successful response into v. A change cannot have taken effect if the
// headers of its request were not written.
func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	u := strings.TrimRight(c.URL, "/")
	r, err := http.NewRequestWithContext(ctx, method, u+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Code: CodeBadRequest, Message: err.Error()}
	}
	r.Header.Set("Authorization", "Bearer "+c.Token.Reveal())
	var wrote atomic.Bool
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }}))
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	changes := method == "POST" && !strings.HasPrefix(path, "/v1/preview")
	p, err := h.Do(r)
	if err != nil {
		return &UnreachableError{URL: u, Sent: changes && wrote.Load(), Cause: urlErrorCause(err)}
	}
	defer func() { _ = p.Body.Close() }() // the response was read or is abandoned
	b, err := httpbody.ReadAll(&httpbody.Reader{Source: p.Body}, p.ContentLength, maxResponseBytes)
	if err != nil {
		return &UnreachableError{URL: u, Sent: changes, Cause: err}
	}
	return decodeResponse(p, b, v, u, changes)
}

func decodeResponse(p *http.Response, b []byte, v any, u string, changes bool) error {
	if p.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, v); err != nil {
			return &UnreachableError{URL: u, Sent: changes, Cause: fmt.Errorf("answer cannot be read: %w", err)}
		}
		return nil
	}
	var w wire.Error
	if err := json.Unmarshal(b, &w); err != nil || w.Code == "" {
		return &UnreachableError{URL: u, Sent: changes, Cause: errors.New("not the operator API of a node: answered " + p.Status)}
	}
	return fromError(w)
}

// urlErrorCause strips the method and URL that url.Error adds, since the URL contains the
// reason of an apply.
func urlErrorCause(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
