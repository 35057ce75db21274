package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/io/operator"
	"bergamotspring/io/wait"
	"bergamotspring/schema"
)

// change holds the flags of every command that changes the declaration.
type change struct {
	target
	Reason string        `required:"" placeholder:"TEXT" help:"Why, in words for the next operator. Kept with the version."`
	Wait   time.Duration `default:"30s" placeholder:"DURATION" help:"Longest wait for all reachable nodes, as a Go duration. Default: ${default}."`
	DryRun bool          `help:"Show changes and capacity, and change nothing."`
	Force  bool          `help:"Also where a pool is left without servers that take work."`
}

const (
	pollInterval    = 500 * time.Millisecond
	maxSendAttempts = 3 // of one apply with the same ID, if the response is lost
	maxEditAttempts = 3 // of taking out or bringing back, if another version came into force meanwhile
)

// applyResult is the output of the commands that apply a declaration.
type applyResult struct {
	operator.Applied
	Preview     operator.Preview
	Pending     []string // reachable nodes that do not yet run the version
	Unreachable []string
}

// applyAndWait shows the preview of d against s, applies it and waits for the nodes.
func (c *change) applyAndWait(ctx context.Context, a *App, n *operator.Client, s operator.Stored, d *fleet.Declaration, expected uint64, id string) error {
	if strings.TrimSpace(c.Reason) == "" {
		return &exitError{ExitUsage, errors.New("--reason is empty")}
	}
	r := applyResult{Preview: operator.PreviewOf(s, d, a.now())}
	if !a.json {
		previewText(a.Out, r.Preview)
	}
	if err := c.checkPoolsServed(r.Preview); err != nil && !c.DryRun {
		return err
	}
	if c.DryRun {
		return a.show(operator.ToPreview(r.Preview), func(w io.Writer) { fprintln(w, "dry run: nothing changed") })
	}
	v, err := c.send(ctx, n, operator.ApplyRequest{ID: id, Expected: expected, Reason: c.Reason, Declaration: d})
	if err != nil {
		return err
	}
	r.Applied = v
	return c.waitInForce(ctx, a, n, r)
}

// checkPoolsServed returns an error if the change leaves a pool without servers, unless
// it is forced.
func (c *change) checkPoolsServed(p operator.Preview) error {
	var l []string
	for _, q := range p.Capacity {
		if q.Region == "" && q.Before > 0 && q.After == 0 {
			l = append(l, q.Pool)
		}
	}
	if len(l) == 0 || c.Force {
		return nil
	}
	return &exitError{ExitRefused, fmt.Errorf("no server would take work of %s; --force does it all the same", strings.Join(l, ", "))}
}

// send sends an apply, and retries it if its response was lost. Retries are safe, since
// an apply ID takes effect at most once.
func (c *change) send(ctx context.Context, n *operator.Client, r operator.ApplyRequest) (operator.Applied, error) {
	for i := 1; ; i++ {
		v, err := n.Apply(ctx, r)
		if err == nil {
			v.Repeated = v.Repeated && i == 1 // else an earlier attempt of this call was accepted and its response lost
			return v, nil
		}
		if exitCodeOf(err) != ExitUnknown {
			return v, err
		}
		if i == maxSendAttempts {
			return v, fmt.Errorf("%w\n  to find out, repeat with --id %s --expect %d, or look at status", err, r.ID, r.Expected)
		}
		if !wait.Sleep(ctx, pollInterval) {
			return v, err
		}
	}
}

// waitInForce polls the status until every reachable node runs the version, and reports
// the result.
func (c *change) waitInForce(ctx context.Context, a *App, n *operator.Client, r applyResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	lastErr := errors.New("no answer in time")
	for {
		s, err := n.Status(ctx)
		if err == nil {
			r.Pending, r.Unreachable = nodesBehind(s, r.Version)
			if len(r.Pending) == 0 {
				return c.report(a, r, nil)
			}
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if !wait.Sleep(ctx, pollInterval) {
			break
		}
	}
	err := fmt.Errorf("version %d is accepted, but after %v not in force on: %s", r.Version, c.Wait, strings.Join(r.Pending, ", "))
	if len(r.Pending) == 0 {
		err = fmt.Errorf("version %d is accepted, but the nodes' versions cannot be read: %w", r.Version, lastErr)
	}
	return c.report(a, r, &exitError{ExitPending, err})
}

// nodesBehind returns the reachable nodes with an older version, and the nodes that
// cannot be reached.
func nodesBehind(s operator.Status, version uint64) (pending, unreachable []string) {
	for _, n := range s.Nodes {
		name := fmt.Sprintf("%s (%s)", n.Node, n.Domain)
		switch n.State {
		case operator.NodeGone:
		case operator.NodeUnreachable:
			unreachable = append(unreachable, name)
		default:
			if n.Version < version {
				pending = append(pending, name)
			}
		}
	}
	return pending, unreachable
}

func (c *change) report(a *App, r applyResult, err error) error {
	v := map[string]any{
		"applied": operator.ToApplied(r.Applied), "preview": operator.ToPreview(r.Preview),
		"pending": append([]string{}, r.Pending...), "unreachable": append([]string{}, r.Unreachable...),
	}
	showErr := a.show(v, func(w io.Writer) {
		word := "accepted"
		if r.Repeated {
			word = "was accepted before; nothing changed"
		}
		fprintf(w, "version %d %s\n", r.Version, word)
		if len(r.Unreachable) > 0 {
			fprintln(w, "not reachable, will take it when they return:", strings.Join(r.Unreachable, ", "))
		}
		if err == nil {
			fprintln(w, "in force on all reachable nodes")
		}
	})
	return errors.Join(err, showErr)
}

type applyCmd struct {
	change
	File   string  `arg:"" help:"Declaration to put in force."`
	Expect *uint64 `placeholder:"VERSION" help:"Version that the file was made from, as export prints it. Absent: the one in force now."`
	ID     string  `placeholder:"TEXT" help:"Apply id. An id takes effect once. Absent: a random one."`
}

// Help is shown by --help.
func (applyCmd) Help() string {
	return `Checks the file, shows what changes, and puts it in force if the version in force is still the expected one;
otherwise it exits with 4 and shows what other operators changed. A lost answer is asked for again with the same apply
id. Then it waits until all reachable nodes run the version and names those that do not. Without a table nothing can
be applied.`
}

// Run applies a file.
func (c *applyCmd) Run(a *App) error {
	d, err := a.loadDeclaration(c.File)
	if err != nil {
		return err
	}
	n, err := c.client(a)
	if err != nil {
		return err
	}
	ctx := context.Background()
	s, err := n.CurrentOrNone(ctx)
	if err != nil {
		return err
	}
	v := s.Version
	if c.Expect != nil {
		v = *c.Expect
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	if v == s.Version && !c.DryRun && sameText(s.Declaration, d) {
		return c.waitInForce(ctx, a, n, applyResult{Applied: operator.Applied{Version: v, Repeated: true}})
	}
	return c.applyAndWait(ctx, a, n, s, d, v, c.ID)
}

// sameText reports whether two declarations have the same canonical text.
func sameText(d, e *fleet.Declaration) bool {
	x, err := schema.Encode(d)
	y, otherErr := schema.Encode(e)
	return err == nil && otherErr == nil && bytes.Equal(x, y)
}

type domainCmd struct {
	Out outCmd `cmd:"" help:"Take a failure domain out: its servers get no new work, running calls finish."`
	In  inCmd  `cmd:"" help:"Bring a failure domain back: its servers are cold and ramp up."`
}

type serverCmd struct {
	Out serverOutCmd `cmd:"" help:"Take a backend server out: it gets no new work, running calls finish."`
	In  serverInCmd  `cmd:"" help:"Bring a backend server back: it is cold and ramps up."`
}

type outCmd struct {
	change
	Name string `arg:"" help:"Failure domain."`
}

// Help is shown by --help.
func (outCmd) Help() string {
	return `Shows what the rest can carry, then adds an exception with the reason to the declaration in force. Use --dry-run to
see the capacity only.`
}

// Run takes a failure domain out.
func (c *outCmd) Run(a *App) error { return c.edit(a, fleet.TargetDomain, c.Name, true) }

type inCmd struct {
	change
	Name string `arg:"" help:"Failure domain."`
}

// Run brings a failure domain back.
func (c *inCmd) Run(a *App) error { return c.edit(a, fleet.TargetDomain, c.Name, false) }

type serverOutCmd struct {
	change
	Name string `arg:"" help:"Backend server."`
}

// Run takes a server out.
func (c *serverOutCmd) Run(a *App) error { return c.edit(a, fleet.TargetServer, c.Name, true) }

type serverInCmd struct {
	change
	Name string `arg:"" help:"Backend server."`
}

// Run brings a server back.
func (c *serverInCmd) Run(a *App) error { return c.edit(a, fleet.TargetServer, c.Name, false) }

// edit changes one exception of the declaration in force. As the change concerns only one
// target, it is retried if another version came into force meanwhile.
func (c *change) edit(a *App, t fleet.Target, name string, out bool) error {
	n, err := c.client(a)
	if err != nil {
		return err
	}
	ctx := context.Background()
	for i := 1; ; i++ {
		s, err := n.Current(ctx)
		if err != nil {
			return err
		}
		d, err := withException(s.Declaration, t, name, out, c.Reason, a.now())
		if err != nil {
			return err
		}
		if len(fleet.Diff(s.Declaration, d)) == 0 {
			return a.show(map[string]any{"version": s.Version, "changes": []string{}}, func(w io.Writer) {
				fprintf(w, "nothing to change: %s %s is as wanted in version %d\n", t, name, s.Version)
			})
		}
		err = c.applyAndWait(ctx, a, n, s, d, s.Version, rand.Text())
		if exitCodeOf(err) != ExitConflict || i == maxEditAttempts {
			return err
		}
		fprintln(a.Err, "another version came into force; trying again")
	}
}

func withException(d *fleet.Declaration, t fleet.Target, name string, out bool, reason string, now time.Time) (*fleet.Declaration, error) {
	v := fleet.NewView(d, 0)
	_, domain := v.Regions[name]
	if t == fleet.TargetDomain && !domain || t == fleet.TargetServer && v.Servers[name] == nil {
		return nil, &exitError{ExitNotFound, fmt.Errorf("the declaration has no %s %q", t, name)}
	}
	if !out {
		return d.WithBroughtBack(t, name), nil
	}
	return d.WithTakenOut(t, name, reason, now), nil
}
