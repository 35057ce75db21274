package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"bergamotspring/core/fleet"
)

type groupCmd struct {
	Release releaseCmd `cmd:"" help:"Let any node of the region take a group over."`
}

type releaseCmd struct {
	target
	Group   string `arg:"" help:"Group, as pool@failure_domain."`
	Reason  string `required:"" placeholder:"TEXT" help:"Why, in words for the next operator."`
	Stopped bool   `help:"States that the processes of home and deputy are known to have ended."`
}

// Help is shown by --help.
func (releaseCmd) Help() string {
	return `A group whose home and deputy are both silent without proof of death stays without a home, since two homes could
send more to a cold server than it bears. The VM list usually proves the death. Use this command only where it does
not, and after making sure that both processes have ended.`
}

// Run releases a group.
func (c *releaseCmd) Run(a *App) error {
	pool, domain, ok := strings.Cut(c.Group, "@")
	if !ok {
		return &exitError{ExitUsage, errors.New("the group has to be pool@failure_domain")}
	}
	if !c.Stopped {
		return &exitError{ExitRefused, errors.New("--stopped is missing: make sure that the processes of home and deputy have ended")}
	}
	n, err := c.client(a)
	if err != nil {
		return err
	}
	g := fleet.GroupID{Pool: pool, Domain: domain}
	if err := n.Release(context.Background(), g, c.Reason); err != nil {
		return err
	}
	return a.show(map[string]string{"released": g.String()}, func(w io.Writer) {
		fprintln(w, fmt.Sprintf("%s is released; status shows its next home", g))
	})
}
