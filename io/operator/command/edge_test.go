package command

import (
	"bytes"
	"context"
	"errors"
	"testing"
)

// The command passes its flags on, and settings with which a node cannot run end it with
// the code of wrong settings.
func TestEdge(t *testing.T) {
	for _, c := range []struct {
		args []string
		err  error
		got  EdgeOptions
		code int
	}{
		{[]string{"edge"}, nil, EdgeOptions{}, ExitOK},
		{[]string{"edge", "--settings", "f", "--metrics-port", "7"}, nil, EdgeOptions{Settings: "f", MetricsPort: 7}, ExitOK},
		{[]string{"edge"}, &SettingsError{Cause: errors.New("ip: is missing")}, EdgeOptions{}, ExitUsage},
		{[]string{"edge"}, errors.New("the listener failed"), EdgeOptions{}, ExitFailure},
		{[]string{"edge", "--metrics-port", "x"}, nil, EdgeOptions{}, ExitUsage},
	} {
		var got EdgeOptions
		a := &App{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}, Edge: func(_ context.Context, o EdgeOptions) error {
			got = o
			return c.err
		}}
		if n := a.Main(c.args); n != c.code || got != c.got {
			t.Errorf("%v: got exit code %d and %+v, want %d and %+v", c.args, n, got, c.code, c.got)
		}
	}
}
