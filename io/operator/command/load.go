package command

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"
)

// Load describes the load to send, and the nodes to send it to.
type Load struct {
	Nodes  []string // base URLs of the callers' listeners
	Target string   // pipelines/NAME or services/NAME/OPERATION
	Orgs   []string
	Class  string
	Rate   float64 // requests per second
	For    time.Duration
	CAFile string
}

type loadCmd struct {
	Nodes  []string      `arg:"" help:"Base URLs of the callers' listeners of nodes."`
	Target string        `default:"pipelines/trail-hint" placeholder:"PATH" help:"What to call: pipelines/NAME, streamed, or services/NAME/OPERATION. Default: ${default}."`
	Orgs   []string      `name:"organisation" required:"" placeholder:"NAME" help:"Organisations that the requests come from in turn."`
	Class  string        `placeholder:"NAME" help:"Class of the requests. Absent: the first declared one."`
	Rate   float64       `default:"20" placeholder:"NUMBER" help:"Requests a second, up to 1000. Default: ${default}."`
	For    time.Duration `default:"10s" placeholder:"DURATION" help:"How long to send, up to 10m. A signal ends it before. Default: ${default}."`
	CAFile string        `env:"BERGAMOTSPRING_CA_FILE" placeholder:"PATH" help:"PEM certificates that sign the nodes' certificates. Default: those of the system."`
}

// Help is shown by --help.
func (loadCmd) Help() string {
	return `For trials with the stand-ins. Sends requests at a steady rate to the nodes whose /readyz says ready, as a load
balancer does, and prints outcomes by type and node, and the percentiles of first token, token gap and whole answer.
Answers of pipelines are compared with what the stand-ins say to the same prompt.`
}

// Run sends the load.
func (c *loadCmd) Run(a *App) error {
	if a.Load == nil {
		return errors.New("this build holds no load")
	}
	if c.Rate <= 0 || c.Rate > 1000 || c.For <= 0 || c.For > 10*time.Minute {
		return &exitError{ExitUsage, errors.New("--rate has to be above 0 and up to 1000, and --for up to 10m")}
	}
	l := Load{Nodes: c.Nodes, Target: c.Target, Orgs: c.Orgs, Class: c.Class, Rate: c.Rate, For: c.For, CAFile: c.CAFile}
	return a.serve(func(ctx context.Context) error {
		r, err := a.Load(ctx, l)
		if err != nil {
			return err
		}
		return a.show(r, r.Text)
	})
}

// Report is the result of a load. Times are in milliseconds.
type Report struct {
	Sent          int                       `json:"sent"`
	Outcomes      map[string]int            `json:"outcomes"`
	Nodes         map[string]map[string]int `json:"nodes"`
	FirstToken    Percentiles               `json:"first_token_ms"`
	TokenGap      Percentiles               `json:"token_gap_ms"`
	WholeResponse Percentiles               `json:"whole_ms"`
	LongestGap    float64                   `json:"longest_without_ok_ms"` // before the first complete response and between two; the time after the last is not counted
	Samples       []string                  `json:"samples"`               // of responses that were not ok
}

// Percentiles holds the percentiles of one distribution, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func (p Percentiles) row(name string) string {
	return columns(name, p.P50, p.P95, p.P99, p.Max)
}

// Text prints the report.
func (r *Report) Text(w io.Writer) {
	fprintf(w, "sent %d requests; longest time without an answer in full: %.0f ms\n", r.Sent, r.LongestGap)
	table(w, "outcomes:", columns("outcome", "requests"), counts(r.Outcomes))
	for _, n := range slices.Sorted(maps.Keys(r.Nodes)) {
		table(w, n+":", columns("outcome", "requests"), counts(r.Nodes[n]))
	}
	table(w, "milliseconds:", columns("", "p50", "p95", "p99", "max"), []string{
		r.FirstToken.row("first token"), r.TokenGap.row("token gap"), r.WholeResponse.row("whole answer"),
	})
	for _, s := range r.Samples {
		fprintln(w, "not ok:", s)
	}
}

func counts(m map[string]int) []string {
	var l []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		l = append(l, columns(k, m[k]))
	}
	return l
}
