package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"bergamotspring/core/fleet"
	"bergamotspring/io/operator"
	"bergamotspring/schema"
)

func (a *App) loadDeclaration(file string) (*fleet.Declaration, error) {
	b, err := a.readFile(file)
	if err != nil {
		return nil, err
	}
	return schema.Decode(file, b)
}

type checkCmd struct {
	File string `arg:"" help:"File to check."`
	As   string `enum:"declaration,settings,configuration" default:"declaration" help:"What it is: a declaration, or the settings of a node or the configuration on the users' platform."`
}

// Help is shown by --help.
func (checkCmd) Help() string {
	return `Prints every fault with file, line, column, path and cause, and exits with 3. A declaration without faults is
summed up, with the exceptions that are old or change nothing. Of settings and a configuration of the users' platform
all faults are listed; wrong settings exit with 2. Needs no node.`
}

// Run checks a file.
func (c *checkCmd) Run(a *App) error {
	if c.As != "declaration" {
		return c.checkPlatformFile(a)
	}
	d, err := a.loadDeclaration(c.File)
	var e *schema.Error
	if errors.As(err, &e) {
		l := make([]map[string]any, len(e.Problems))
		for i, f := range e.Problems {
			l[i] = map[string]any{"file": f.File, "line": f.Line, "column": f.Column, "path": f.Path, "cause": f.Cause}
		}
		_ = a.show(map[string]any{"valid": false, "faults": l}, func(w io.Writer) { fprintln(w, e.Error()) }) // ignored, as in fprintln
		return &exitError{ExitInvalid, fmt.Errorf("%s: %d faults", c.File, len(e.Problems))}
	}
	if err != nil {
		return err
	}
	notes := operator.PreviewOf(operator.Stored{Declaration: d}, d, a.now()).Notes
	v := map[string]any{"valid": true, "name": d.Name, "servers": len(d.Servers), "review": append([]string{}, notes...)}
	return a.show(v, func(w io.Writer) {
		fprintf(w, "%s: valid: %d failure domains, %d pools, %d servers, %d pipelines, %d services, %d organisations, %d exceptions\n",
			c.File, len(d.Domains), len(d.Pools), len(d.Servers), len(d.Pipelines), len(d.Services), len(d.Organisations), len(d.Exceptions))
		for _, n := range notes {
			fprintln(w, "review:", n)
		}
	})
}

// checkPlatformFile checks a file of the users' platform.
func (c *checkCmd) checkPlatformFile(a *App) error {
	b, err := a.readFile(c.File)
	if err != nil {
		return err
	}
	if a.CheckEdge == nil {
		return errors.New("this build knows no platform")
	}
	code := ExitInvalid
	if c.As == "settings" {
		code = ExitUsage
	}
	sum, problems := a.CheckEdge(c.As, b)
	if len(problems) == 0 {
		return a.show(map[string]any{"valid": true, "summary": sum}, func(w io.Writer) { fprintf(w, "%s: valid: %s\n", c.File, sum) })
	}
	l := make([]string, len(problems))
	for i, f := range problems {
		l[i] = f.Error()
	}
	_ = a.show(map[string]any{"valid": false, "faults": l}, func(w io.Writer) { // ignored, as in fprintln
		for _, f := range l {
			fprintf(w, "%s: %s\n", c.File, f)
		}
	})
	return &exitError{code, fmt.Errorf("%s: %d faults", c.File, len(l))}
}

type diffCmd struct {
	target
	Old      string `arg:"" help:"Declaration to compare; with one argument, the new one."`
	New      string `arg:"" optional:"" help:"New declaration. Absent: the first is compared with the one in force."`
	ExitCode bool   `help:"Exit with 11 where there are changes."`
}

// Help is shown by --help.
func (diffCmd) Help() string {
	return `With two files no node is needed. Capacity is the calls in flight that the servers of a pool take when all are
warm; rows that do not change are left out of the text.`
}

// Run compares two declarations.
func (c *diffCmd) Run(a *App) error {
	p, err := c.preview(a)
	if err != nil {
		return err
	}
	if err := a.show(operator.ToPreview(p), func(w io.Writer) { previewText(w, p) }); err != nil {
		return err
	}
	if c.ExitCode && len(p.Changes) > 0 {
		return &exitError{ExitDiffers, fmt.Errorf("%d changes", len(p.Changes))}
	}
	return nil
}

func (c *diffCmd) preview(a *App) (operator.Preview, error) {
	d, err := a.loadDeclaration(c.Old)
	if err != nil {
		return operator.Preview{}, err
	}
	if c.New != "" {
		e, err := a.loadDeclaration(c.New)
		if err != nil {
			return operator.Preview{}, err
		}
		return operator.PreviewOf(operator.Stored{Declaration: d}, e, a.now()), nil
	}
	n, err := c.client(a)
	if err != nil {
		return operator.Preview{}, err
	}
	return n.Preview(context.Background(), d)
}

type exportCmd struct {
	target
	Revision uint64 `placeholder:"VERSION" help:"Version to print. Absent: the one in force."`
}

// Help is shown by --help.
func (exportCmd) Help() string {
	return `Prints the canonical text to standard output, ready to be edited and applied, and its version to standard error.
Pass that version to apply as --expect. With --output json, version and declaration are in one object.`
}

// Run prints a declaration.
func (c *exportCmd) Run(a *App) error {
	n, err := c.client(a)
	if err != nil {
		return err
	}
	var s operator.Stored
	if c.Revision > 0 {
		s, err = n.History(context.Background(), c.Revision)
	} else {
		s, err = n.Current(context.Background())
	}
	if err != nil {
		return err
	}
	v, err := operator.ToStored(s)
	if err != nil {
		return err
	}
	return a.show(v, func(w io.Writer) {
		_, _ = w.Write(v.Declaration) // ignored, as in fprintln
		fprintf(a.Err, "version %d, accepted %s: %s\n", s.Version, s.At.Format("2006-01-02 15:04:05 MST"), s.Reason)
	})
}
