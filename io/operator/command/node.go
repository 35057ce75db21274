package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/oklog/run"

	"bergamotspring/schema/setting"
)

// settingFlags holds the flags of a node, generated from the settings schema.
type settingFlags struct {
	kong.Plugins
	flags *setting.Flags
}

type nodeCmd struct{ settingFlags }

// Help is shown by --help.
func (nodeCmd) Help() string {
	return `All settings are checked at start, and every fault is reported at once. Secrets come from files or environment
variables only. The first SIGTERM or SIGINT drains: the node becomes not ready, hands its homes over, takes no new
requests and ends when the running ones have ended or --drain has passed. The second signal stops at once.`
}

// Run runs a node until a signal.
func (c *nodeCmd) Run(a *App) error {
	s, err := c.flags.Node()
	if err != nil {
		return err
	}
	if a.Node == nil {
		return errors.New("this build holds no node")
	}
	return a.serve(func(ctx context.Context) error { return a.Node(ctx, s) })
}

// EdgeOptions holds the flags of a node on the users' platform.
type EdgeOptions struct {
	Settings    string
	MetricsPort int
}

type edgeCmd struct {
	Settings    string `help:"Settings file, empty: where the platform places it."`
	MetricsPort int    `help:"Port for scrapes of /metrics, 0: none."`
}

// Help is shown by --help.
func (edgeCmd) Help() string {
	return `Runs a node that takes its settings from the platform's settings file and its configuration from the platform's
store. The first SIGTERM or SIGINT drains: the node becomes not ready, and ends when the running requests have ended or
the platform's grace has passed. The second signal stops at once. SIGHUP checks the settings file.`
}

// Run runs a node until a signal.
func (c *edgeCmd) Run(a *App) error {
	if a.Edge == nil {
		return errors.New("this build holds no node for the platform")
	}
	return a.serve(func(ctx context.Context) error {
		return a.Edge(ctx, EdgeOptions{Settings: c.Settings, MetricsPort: c.MetricsPort})
	})
}

type demoCmd struct{}

// Help is shown by --help.
func (demoCmd) Help() string {
	return `Starts nodes, a table, a VM list and backend servers in this process over an in-memory network, runs requests
through them while a failure domain leaves and returns, and prints what became of each. Needs no settings.`
}

// Run runs the demo until it ends or a signal comes.
func (demoCmd) Run(a *App) error {
	if a.Demo == nil {
		return errors.New("this build holds no demo")
	}
	return a.serve(func(ctx context.Context) error { return a.Demo(ctx, a.Out) })
}

// serve runs f. The first signal ends f's context; the second ends the process.
func (a *App) serve(f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	var signals <-chan os.Signal
	if a.Signals != nil {
		signals = a.Signals()
	}
	var signalled bool // written before cancel is called, read after all actors have returned
	var g run.Group
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	g.Add(func() error {
		return a.watchSignals(signals, done, func() {
			signalled = true
			cancel()
		})
	}, func(error) { close(done) })
	err := g.Run()
	if signalled && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// watchSignals calls drain on the first signal. It returns when done is closed, or after
// a second signal.
func (a *App) watchSignals(signals <-chan os.Signal, done <-chan struct{}, drain func()) error {
	select {
	case <-done:
		return nil
	case s := <-signals:
		fprintf(a.Err, "bergamotspring: %v: draining; a second signal stops at once\n", s)
		drain()
	}
	select {
	case <-done:
		return nil
	case s := <-signals:
		fprintf(a.Err, "bergamotspring: %v: stopping at once\n", s)
		if a.Exit != nil {
			a.Exit(ExitSignal)
		}
		return &exitError{ExitSignal, errors.New("stopped by a second signal")}
	}
}

type settingsCmd struct{ settingFlags }

// Help is shown by --help.
func (settingsCmd) Help() string {
	return `Takes the flags and environment variables of "node" and prints the settings that a node would run with. Secrets
are masked. Exits with 2 where some are wrong, after printing all of them and every fault.`
}

// Run prints the settings.
func (c *settingsCmd) Run(a *App) error {
	l, err := c.flags.Lines()
	if l == nil && err != nil {
		return err
	}
	v := make([]map[string]any, len(l))
	for i, n := range l {
		v[i] = map[string]any{"name": n.Name, "value": n.Value, "unit": n.Unit, "given": n.Given}
	}
	showErr := a.show(v, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, n := range l {
			from := "default"
			switch {
			case n.Given:
				from = "given"
			case n.Value == "":
				from = "not set"
			}
			fprintf(t, "%s\t%s\t%s\t%s\n", n.Name, n.Value, n.Unit, from)
		}
		_ = t.Flush() // ignored, as in fprintln
	})
	return errors.Join(err, showErr)
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(a *App) error {
	return a.show(map[string]string{"version": a.Version}, func(w io.Writer) {
		fprintln(w, fmt.Sprint("bergamotspring ", a.Version))
	})
}
