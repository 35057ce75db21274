package command

import (
	"context"
	"errors"

	"bergamotspring/core/fleet"
)

// Standins describes what the stand-ins of a deployment serve and write.
type Standins struct {
	Declaration *fleet.Declaration
	Dir         string // for the files that they write
	Nodes       int    // to write settings for
	Port        int    // first port, 0: free ones
	TLS         bool   // for callers, operators and peers of the nodes
}

type standinsCmd struct {
	File  string `arg:"" help:"Declaration whose platform and backend servers are stood in for."`
	Dir   string `required:"" placeholder:"PATH" help:"Directory for the declaration with loopback addresses and the settings of the nodes. It is made if absent."`
	Nodes int    `default:"4" placeholder:"NUMBER" help:"Nodes to write settings for, spread over the failure domains. Default: ${default}."`
	Port  int    `default:"0" placeholder:"PORT" help:"First of the ports, which are used in order. 0: free ports. Default: ${default}."`
	TLS   bool   `name:"tls" help:"Also draw certificates, and let the nodes' settings name them for callers, operators and peers."`
}

// Help is shown by --help.
func (standinsCmd) Help() string {
	return `For trials on one machine. Serves a table, a VM list and every declared backend server on 127.0.0.1 until a signal,
and writes to --dir: declaration.json with the addresses that it serves, n1.env, n2.env ... with the settings of each
node, and operator.env with those of the operators' commands. The env files hold newly drawn secrets. In a shell each:

  (. DIR/n1.env; bergamotspring node)
  (. DIR/operator.env; bergamotspring apply DIR/declaration.json --reason "first version")`
}

// Run serves until a signal.
func (c *standinsCmd) Run(a *App) error {
	d, err := a.loadDeclaration(c.File)
	if err != nil {
		return err
	}
	if a.Standins == nil {
		return errors.New("this build holds no stand-ins")
	}
	if c.Nodes < 1 || c.Nodes > 64 || c.Port < 0 || c.Port > 60000 {
		return &exitError{ExitUsage, errors.New("--nodes has to be 1 to 64, and --port 0 to 60000")}
	}
	s := Standins{Declaration: d, Dir: c.Dir, Nodes: c.Nodes, Port: c.Port, TLS: c.TLS}
	return a.serve(func(ctx context.Context) error { return a.Standins(ctx, a.Out, s) })
}
