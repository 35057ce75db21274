package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// LoadReport is the load that a server reports.
type LoadReport struct {
	Inflight int
	Cold     bool
	Running  Order // what a model server runs; the fencing number is that of its last order
}

// Order instructs a server which model to load and which role to take.
type Order struct {
	Fencing uint64 // epoch of the lease holder that issues the order
	Model   string
	Adapter string
	Version string
	Role    string
}

// controlTimeout bounds a load request.
const controlTimeout = time.Second

// Load requests a load report from a server, on a new connection: reports name no request, so on a kept
// one a copy of an earlier report could not be told from this one.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	ctx, stop := context.WithTimeout(ctx, controlTimeout)
	defer stop()
	x, r, err := c.send(ctx, &Call{Address: address, Fresh: true}, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return LoadReport{}, err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := readBody(r)
	if err != nil {
		return LoadReport{}, x.newError(Truncated, err)
	}
	l := LoadReport{Inflight: -1}
	p := newParser()
	err = p.object(b, func(name, value []byte) error {
		switch string(name) {
		case `"inflight"`:
			l.Inflight = parseIndex(value)
		case `"cold"`:
			l.Cold = string(value) == "true"
		case `"running"`:
			return json.Unmarshal(value, &l.Running)
		}
		return nil
	})
	if err == nil && l.Inflight < 0 {
		err = errIndex
	}
	if err != nil {
		return LoadReport{}, x.newError(Malformed, err)
	}
	return l, nil
}

// Order sends an order. The error wraps ErrFencing if the server refused the order
// because of its fencing number.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	b := append([]byte(`{"fencing":`), strconv.FormatUint(o.Fencing, 10)...)
	b = appendString(append(b, `,"model":`...), o.Model)
	b = appendString(append(b, `,"adapter":`...), o.Adapter)
	b = appendString(append(b, `,"version":`...), o.Version)
	b = appendString(append(b, `,"role":`...), o.Role)
	p := &parts{b, nil, closingBrace}
	_, r, err := c.send(ctx, &Call{Address: address, Fresh: true}, http.MethodPost, "/v1/orders", p)
	var e *Error
	if errors.As(err, &e) && e.Code == http.StatusConflict {
		e.Cause = ErrFencing
	}
	if err != nil {
		return err
	}
	return r.Body.Close()
}
