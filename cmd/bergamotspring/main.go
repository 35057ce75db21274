// Command bergamotspring runs a node and the operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bergamotspring/io/demo"
	"bergamotspring/io/edge"
	"bergamotspring/io/node"
	"bergamotspring/io/operator/command"
	"bergamotspring/platform"
)

// version is set by the linker.
var version = "dev"

func main() {
	a := &command.App{
		Out: os.Stdout, Err: os.Stderr, Version: version,
		Node: node.Run, Edge: runEdge, CheckEdge: checkEdge, Demo: demo.Run, Standins: demo.Serve, Load: demo.SendLoad, Signals: signals, Exit: os.Exit,
	}
	os.Exit(a.Main(os.Args[1:]))
}

func runEdge(ctx context.Context, o command.EdgeOptions) error {
	err := edge.Run(ctx, edge.Options{Settings: o.Settings, Metrics: o.MetricsPort})
	if _, ok := errors.AsType[*platform.SettingsError](err); ok {
		return &command.SettingsError{Cause: err}
	}
	return err
}

// checkEdge checks a file of the users' platform.
func checkEdge(as string, b []byte) (string, []error) {
	if as == "settings" {
		s, problems := platform.DecodeSettings(b)
		if len(problems) > 0 {
			return "", problems
		}
		return fmt.Sprintf("node %s in %s, %d failure domains, %d MB", s.Node, s.Domain, len(s.Domains), s.Memory>>20), nil
	}
	c, err := platform.DecodeConfiguration(b)
	if e, ok := errors.AsType[*platform.ConfigurationError](err); ok {
		return "", e.Problems
	}
	if err != nil {
		return "", []error{err}
	}
	if len(c.Problems) > 0 {
		return "", c.Problems
	}
	if len(c.Routes) == 0 {
		return "", []error{errors.New("names no routes")}
	}
	return fmt.Sprintf("version %d, %d routes, %d services, %d keys", c.Version, len(c.Routes), len(c.Services), len(c.Keys)), nil
}

// signals catches SIGTERM and SIGINT. Only commands that drain call it, so that the others
// end at once.
func signals() <-chan os.Signal {
	s := make(chan os.Signal, 2) // buffers the second signal while the first is handled
	signal.Notify(s, syscall.SIGTERM, syscall.SIGINT)
	return s
}
