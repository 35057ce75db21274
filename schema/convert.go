package schema

import (
	"encoding/json"
	"fmt"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/schema/declared"
)

// defaultColdFactor is the default of cold_factor in the schema.
const defaultColdFactor = 3

// converter converts a document and collects the durations that do not parse.
type converter struct {
	problems []Problem
}

func (c *converter) duration(path, s string) time.Duration {
	if s == "" {
		return 0
	}
	t, err := time.ParseDuration(s)
	if err != nil {
		c.problems = append(c.problems, Problem{Path: path, Cause: fmt.Sprintf("%q is not a Go duration", s)})
	}
	return t
}

func mapSlice[A, B any](l []A, f func(int, *A) B) []B {
	if len(l) == 0 {
		return nil
	}
	r := make([]B, len(l))
	for i := range l {
		r[i] = f(i, &l[i])
	}
	return r
}

func toFleet(w *declared.Declaration) (*fleet.Declaration, []Problem) {
	c := &converter{}
	d := &fleet.Declaration{Name: string(w.Name), Defaults: c.defaults(&w.Defaults)}
	d.Regions = mapSlice(w.Regions, func(_ int, r *declared.Region) fleet.Region { return fleet.Region{Name: string(r.Name)} })
	d.Domains = mapSlice(w.FailureDomains, func(_ int, f *declared.FailureDomain) fleet.FailureDomain {
		return fleet.FailureDomain{Name: string(f.Name), Region: string(f.Region)}
	})
	d.Links = mapSlice(w.Links, func(_ int, l *declared.Link) fleet.Link {
		return fleet.Link{From: string(l.From), To: string(l.To), BytesPerSecond: int64(l.BytesPerSecond)}
	})
	d.Pools = mapSlice(w.Pools, c.pool)
	d.Servers = mapSlice(w.Servers, func(_ int, s *declared.Server) fleet.BackendServer {
		return fleet.BackendServer{Name: string(s.Name), Pool: string(s.Pool), Domain: string(s.FailureDomain), Address: s.Address, VM: s.VM}
	})
	d.Pipelines = mapSlice(w.Pipelines, c.pipeline)
	d.Services = mapSlice(w.Services, func(_ int, s *declared.Service) fleet.Service {
		return fleet.Service{Name: string(s.Name), Pool: string(s.Pool), Operations: mapSlice(s.Operations, toOperation)}
	})
	d.Organisations = mapSlice(w.Organisations, func(_ int, o *declared.Organisation) fleet.Organisation {
		return fleet.Organisation{Name: string(o.Name), Weight: o.Weight}
	})
	d.Classes = mapSlice(w.Classes, func(_ int, k *declared.Class) fleet.Class {
		return fleet.Class{Name: string(k.Name), Weight: k.Weight, Priority: k.Priority}
	})
	d.Exceptions = mapSlice(w.Exceptions, toException)
	return d, c.problems
}

func (c *converter) defaults(w *declared.Defaults) fleet.Defaults {
	return fleet.Defaults{
		MaxCall:       c.duration("defaults.max_call", string(w.MaxCall)),
		Deadline:      c.duration("defaults.deadline", string(w.Deadline)),
		RetryShare:    w.RetryShare,
		WeightsPerMin: w.WeightsPerMinute,
	}
}

func (c *converter) pool(i int, w *declared.Pool) fleet.Pool {
	l := fleet.Pool{
		Name: string(w.Name), Protocol: fleet.Protocol(w.Protocol),
		Limit: w.Limit, ColdLimit: w.ColdLimit, ColdFactor: w.ColdFactor,
		ReportsLoad: w.ReportsLoad, ChecksFencing: w.ChecksFencing,
		Expect: c.duration(fmt.Sprintf("pools[%d].expect", i), string(w.Expect)),
		Model:  w.Model, Adapter: w.Adapter, ModelVersion: w.ModelVersion, Role: w.Role,
	}
	if l.ColdFactor == 0 {
		l.ColdFactor = defaultColdFactor
	}
	return l
}

func (c *converter) pipeline(i int, w *declared.Pipeline) fleet.Pipeline {
	p := fleet.Pipeline{Name: string(w.Name), Deadline: c.duration(fmt.Sprintf("pipelines[%d].deadline", i), w.Deadline)}
	p.Stages = mapSlice(w.Stages, func(_ int, s *declared.Stage) fleet.Stage {
		return fleet.Stage{Name: string(s.Name), Kind: fleet.StageKind(s.Kind), Pool: string(s.Pool), MaxTokens: s.MaxTokens}
	})
	return p
}

func toOperation(_ int, o *declared.Operation) fleet.Operation {
	return fleet.Operation{Name: string(o.Name), Repeatable: o.Repeatable}
}

func toException(_ int, e *declared.Exception) fleet.Exception {
	return fleet.Exception{
		Target: fleet.Target(e.Target), Name: string(e.Name), Out: e.Out,
		Limit: e.Limit, Weight: e.Weight, Reason: e.Reason, Since: e.Since,
	}
}

// Encode returns the canonical text of d: keys in the order of the schema, each entry
// of a section on its own line, and a final newline. Equal declarations give equal bytes.
func Encode(d *fleet.Declaration) ([]byte, error) {
	b, err := json.Marshal(fromFleet(d))
	if err != nil {
		return nil, fmt.Errorf("encode declaration: %w", err)
	}
	return format(b)
}

func durationText(t time.Duration) string {
	if t == 0 {
		return ""
	}
	return t.String()
}

func fromFleet(d *fleet.Declaration) *declared.Declaration {
	w := &declared.Declaration{Name: declared.Name(d.Name)}
	w.Defaults = declared.Defaults{
		MaxCall: declared.Duration(d.Defaults.MaxCall.String()), Deadline: declared.Duration(d.Defaults.Deadline.String()),
		RetryShare: d.Defaults.RetryShare, WeightsPerMinute: d.Defaults.WeightsPerMin,
	}
	w.Regions = mapSlice(d.Regions, func(_ int, r *fleet.Region) declared.Region { return declared.Region{Name: declared.Name(r.Name)} })
	w.FailureDomains = mapSlice(d.Domains, func(_ int, f *fleet.FailureDomain) declared.FailureDomain {
		return declared.FailureDomain{Name: declared.Name(f.Name), Region: declared.Name(f.Region)}
	})
	w.Links = mapSlice(d.Links, func(_ int, l *fleet.Link) declared.Link {
		return declared.Link{From: declared.Name(l.From), To: declared.Name(l.To), BytesPerSecond: int(l.BytesPerSecond)}
	})
	w.Pools = mapSlice(d.Pools, fromPool)
	w.Servers = mapSlice(d.Servers, func(_ int, s *fleet.BackendServer) declared.Server {
		return declared.Server{Name: declared.Name(s.Name), Pool: declared.Name(s.Pool), FailureDomain: declared.Name(s.Domain), Address: s.Address, VM: s.VM}
	})
	w.Pipelines = mapSlice(d.Pipelines, fromPipeline)
	w.Services = mapSlice(d.Services, func(_ int, s *fleet.Service) declared.Service {
		return declared.Service{Name: declared.Name(s.Name), Pool: declared.Name(s.Pool), Operations: mapSlice(s.Operations, fromOperation)}
	})
	w.Organisations = mapSlice(d.Organisations, func(_ int, o *fleet.Organisation) declared.Organisation {
		return declared.Organisation{Name: declared.Name(o.Name), Weight: o.Weight}
	})
	w.Classes = mapSlice(d.Classes, func(_ int, k *fleet.Class) declared.Class {
		return declared.Class{Name: declared.Name(k.Name), Weight: k.Weight, Priority: k.Priority}
	})
	w.Exceptions = mapSlice(d.Exceptions, fromException)
	return w
}

func fromPool(_ int, l *fleet.Pool) declared.Pool {
	return declared.Pool{
		Name: declared.Name(l.Name), Protocol: declared.PoolProtocol(l.Protocol),
		Limit: l.Limit, ColdLimit: l.ColdLimit, ColdFactor: l.ColdFactor,
		ReportsLoad: l.ReportsLoad, ChecksFencing: l.ChecksFencing,
		Expect: declared.Duration(l.Expect.String()),
		Model:  l.Model, Adapter: l.Adapter, ModelVersion: l.ModelVersion, Role: l.Role,
	}
}

func fromPipeline(_ int, p *fleet.Pipeline) declared.Pipeline {
	w := declared.Pipeline{Name: declared.Name(p.Name), Deadline: durationText(p.Deadline)}
	w.Stages = mapSlice(p.Stages, func(_ int, s *fleet.Stage) declared.Stage {
		return declared.Stage{Name: declared.Name(s.Name), Kind: declared.StageKind(s.Kind), Pool: declared.Name(s.Pool), MaxTokens: s.MaxTokens}
	})
	return w
}

func fromOperation(_ int, o *fleet.Operation) declared.Operation {
	return declared.Operation{Name: declared.Name(o.Name), Repeatable: o.Repeatable}
}

func fromException(_ int, e *fleet.Exception) declared.Exception {
	return declared.Exception{
		Target: declared.ExceptionTarget(e.Target), Name: declared.Name(e.Name), Out: e.Out,
		Limit: e.Limit, Weight: e.Weight, Reason: e.Reason, Since: e.Since,
	}
}
