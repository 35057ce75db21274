package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/io/edge/explain"
	"bergamotspring/io/operator"
)

// table writes rows in columns under a title, and nothing if there are no rows.
func table(w io.Writer, title, head string, rows []string) {
	if len(rows) == 0 {
		return
	}
	fprintln(w, title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fprintln(t, "  "+head)
	for _, r := range rows {
		fprintln(t, "  "+r)
	}
	_ = t.Flush() // ignored, as in fprintln
}

func columns(a ...any) string {
	l := make([]string, len(a))
	for i, v := range a {
		if l[i] = fmt.Sprint(v); l[i] == "" {
			l[i] = "-"
		}
	}
	return strings.Join(l, "\t")
}

func previewText(w io.Writer, p operator.Preview) {
	if len(p.Changes) == 0 {
		fprintln(w, "no changes")
	}
	for _, c := range p.Changes {
		fprintln(w, c)
	}
	var rows []string
	for _, c := range p.Capacity {
		if c.Before != c.After {
			rows = append(rows, capacityRow(c))
		}
	}
	table(w, "capacity (calls in flight, all servers warm):", columns("pool", "region", "before", "after", "share", "servers"), rows)
	for _, n := range p.Notes {
		fprintln(w, "review:", n)
	}
}

func capacityRow(c fleet.PoolCapacity) string {
	r := c.Region
	if r == "" {
		r = "all"
	}
	return columns(c.Pool, r, c.Before, c.After, fmt.Sprintf("%.0f%%", 100*c.Share()), c.Servers)
}

type statusCmd struct {
	target
	Permits bool `help:"List each permit that the node holds; else only their number."`
}

// Help is shown by --help.
func (statusCmd) Help() string {
	return `Shows what one node knows: alarms first, then nodes with the version in force on each, homes of groups, backend
servers with their limits and calls in flight, permits and exceptions. Holds no secrets.`
}

// Run prints the status.
func (c *statusCmd) Run(a *App) error {
	n, err := c.client(a)
	if err != nil {
		return err
	}
	s, err := n.Status(context.Background())
	if err != nil {
		return err
	}
	return a.show(operator.ToStatus(s), func(w io.Writer) { c.text(w, s) })
}

func (c *statusCmd) text(w io.Writer, s operator.Status) {
	fprintf(w, "node %s in %s, %s: version %d%s, table %s\n", s.Node.Node, s.Node.Domain, s.Node.Region, s.Version, confirmed(s.Confirmed), s.Table)
	for _, l := range s.Alarms {
		fprintln(w, "ALARM:", l)
	}
	var rows []string
	for _, n := range s.Nodes {
		rows = append(rows, columns(n.Node, n.Domain, n.Region, n.State, fmt.Sprint(n.Version)+confirmed(n.Confirmed), n.Operator))
	}
	table(w, "nodes:", columns("node", "failure domain", "region", "state", "version", "operator address"), rows)
	rows = nil
	for _, h := range s.Homes {
		rows = append(rows, columns(h.Group, h.Home, h.Deputy, h.Epoch, h.Authority, h.Remaining, h.Queued, h.Wait))
	}
	table(w, "homes:", columns("group", "home", "deputy", "epoch", "authority", "left", "queued", "wait"), rows)
	rows = nil
	for _, v := range s.Servers {
		rows = append(rows, columns(v.Server, v.Pool, v.Domain, v.State, fmt.Sprintf("%d/%d", v.InFlight, v.Limit), v.FullLimit))
	}
	table(w, "servers:", columns("server", "pool", "failure domain", "state", "in flight/limit", "warm limit"), rows)
	c.permitsAndExceptionsText(w, s)
}

func (c *statusCmd) permitsAndExceptionsText(w io.Writer, s operator.Status) {
	var rows []string
	for _, p := range s.Permits {
		rows = append(rows, columns(p.Group, p.Server, p.ID, p.Epoch, p.Remaining))
	}
	if c.Permits {
		table(w, "permits held by this node:", columns("group", "server", "id", "epoch", "left"), rows)
	} else {
		fprintf(w, "permits held by this node: %d\n", len(rows))
	}
	rows = nil
	for _, x := range s.Exceptions {
		e := x.Exception
		rows = append(rows, columns(e.Target, e.Name, overrides(e), e.Since.Format(time.DateOnly), e.Reason, strings.Join(x.Review, "; ")))
	}
	table(w, "exceptions:", columns("target", "name", "sets", "since", "reason", "review"), rows)
}

func overrides(e fleet.Exception) string {
	var l []string
	if e.Out {
		l = append(l, "out")
	}
	if e.Limit > 0 {
		l = append(l, fmt.Sprintf("limit %d", e.Limit))
	}
	if e.Weight > 0 {
		l = append(l, fmt.Sprintf("weight %d", e.Weight))
	}
	return strings.Join(l, ", ")
}

func confirmed(b bool) string {
	if b {
		return ""
	}
	return " (unconfirmed)"
}

type explainCmd struct {
	target
	Request string `arg:"" help:"Request id, as in the answer's X-Request-Id or the log."`
	Log     string `placeholder:"FILE" help:"Log lines of all nodes on the users' platform to tell it from, -: standard input."`
}

// Help is shown by --help.
func (explainCmd) Help() string {
	return `A node remembers the requests that it ran itself. Where the node that is asked did not run it, all nodes that it
knows are asked in turn. Nodes on the users' platform remember nothing: their log lines tell it, with --log, without
asking any node. What stands before the JSON object of a line is skipped, and so are lines without one.`
}

// Run prints the trace of a request.
func (c *explainCmd) Run(a *App) error {
	if c.Log != "" {
		return c.explainFromLog(a)
	}
	n, err := c.client(a)
	if err != nil {
		return err
	}
	s, err := c.findTrace(n)
	if err != nil {
		return err
	}
	return a.show(operator.ToTrace(s), func(w io.Writer) { traceText(w, s) })
}

// explainFromLog explains a request from log lines.
func (c *explainCmd) explainFromLog(a *App) error {
	in, done, err := a.open(c.Log)
	if err != nil {
		return err
	}
	defer done()
	l, err := explain.Read(in)
	if err != nil {
		return err
	}
	s, err := explain.Summarise(l, c.Request)
	if _, ok := errors.AsType[*explain.NotFoundError](err); ok {
		return &exitError{ExitNotFound, err}
	}
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	return a.show(explainJSON(s), func(w io.Writer) { fprintf(w, "%s", s.Text()) })
}

// explainJSON returns the JSON form of an explanation from log lines.
func explainJSON(s *explain.Result) map[string]any {
	lines := func(l []explain.Line) []map[string]any {
		v := make([]map[string]any, 0, len(l))
		for i := range l {
			v = append(v, map[string]any{"at": l[i].At, "node": l[i].Node, "event": l[i].Event, "fields": l[i].Fields})
		}
		return v
	}
	stages := make([]map[string]any, 0, len(s.Stages))
	for _, x := range s.Stages {
		stages = append(stages, map[string]any{
			"service": x.Service, "calls": x.Batches, "failed": x.Failed, "pieces": x.Tasks, "made": x.Done, "no_room": x.NoCapacity, "most_waiting": x.MaxQueued,
		})
	}
	return map[string]any{"request": s.Request, "verdict": s.Verdict, "lines": lines(s.Lines), "near": lines(s.Near), "stages": stages}
}

func (c *explainCmd) findTrace(n *operator.Client) (operator.Trace, error) {
	ctx := context.Background()
	s, err := n.Explain(ctx, c.Request)
	var e *operator.Error
	if err == nil || !errors.As(err, &e) || e.Code != operator.CodeNotFound {
		return s, err
	}
	t, statusErr := n.Status(ctx)
	if statusErr != nil {
		return s, err
	}
	scheme, _, _ := strings.Cut(n.URL, "://")
	for _, v := range t.Nodes {
		if v.Node == t.Node.Node || v.Operator == "" || v.State == operator.NodeGone || v.State == operator.NodeUnreachable {
			continue
		}
		m := *n
		m.URL = scheme + "://" + v.Operator
		if s, nodeErr := m.Explain(ctx, c.Request); nodeErr == nil {
			return s, nil
		}
	}
	return s, err
}

func traceText(w io.Writer, s operator.Trace) {
	o := s.Outcome
	if o == "" {
		o = "still running"
	}
	fprintf(w, "request %s on node %s: %s of %s in class %s\n", s.Request, s.Node, s.Target, s.Organisation, s.Class)
	fprintf(w, "received %s, %s after %v\n", s.Started.Format(time.RFC3339Nano), o, s.Took)
	var rows []string
	for _, p := range s.Events {
		rows = append(rows, columns(p.After, p.Stage, p.Event, p.Group, p.Server, p.Cause))
	}
	table(w, "steps:", columns("after", "stage", "event", "group", "server", "cause"), rows)
}
