package fleet

import "strings"

func (c *check) pipelines() {
	d := c.d
	c.unique("pipelines", len(d.Pipelines), func(i int) string { return d.Pipelines[i].Name })
	for i := range d.Pipelines {
		l, p := &d.Pipelines[i], at("pipelines", i)
		c.deadline(p+".deadline", l.Deadline)
		if len(l.Stages) == 0 {
			c.add(p+".stages", "pipeline %q has no stages", l.Name)
		}
		c.unique(p+".stages", len(l.Stages), func(j int) string { return l.Stages[j].Name })
		for j := range l.Stages {
			c.stage(at(p+".stages", j), &l.Stages[j])
		}
	}
}

func (c *check) stage(p string, s *Stage) {
	switch s.Kind {
	case Encode, Retrieve, Rerank, Generate:
	default:
		c.add(p+".kind", "unknown kind %q", s.Kind)
		return
	}
	if s.Kind == Generate && s.MaxTokens < 1 {
		c.add(p+".max_tokens", "%d is below 1 for a generate stage", s.MaxTokens)
	}
	if s.Kind != Generate && s.MaxTokens != 0 {
		c.add(p+".max_tokens", "is set for a stage of kind %s", s.Kind)
	}
	if !known(c, p+".pool", "pool", s.Pool, c.poolOf) {
		return
	}
	engine := c.poolOf[s.Pool].Protocol == ProtocolEngine
	if s.Kind == Generate && !engine {
		c.add(p+".pool", "generate needs a pool with protocol engine, %q has %q", s.Pool, c.poolOf[s.Pool].Protocol)
	}
	if s.Kind != Generate && engine {
		c.add(p+".pool", "%s needs a pool with protocol json, %q has engine", s.Kind, s.Pool)
	}
}

func (c *check) services() {
	d := c.d
	c.unique("services", len(d.Services), func(i int) string { return d.Services[i].Name })
	for i := range d.Services {
		s, p := &d.Services[i], at("services", i)
		if known(c, p+".pool", "pool", s.Pool, c.poolOf) && c.poolOf[s.Pool].Protocol == ProtocolEngine {
			c.add(p+".pool", "a service needs a pool with protocol json, %q has engine", s.Pool)
		}
		if len(s.Operations) == 0 {
			c.add(p+".operations", "service %q has no operations", s.Name)
		}
		c.unique(p+".operations", len(s.Operations), func(j int) string { return s.Operations[j].Name })
	}
}

func (c *check) callers() {
	d := c.d
	c.unique("organisations", len(d.Organisations), func(i int) string { return d.Organisations[i].Name })
	for i, o := range d.Organisations {
		if o.Weight < 0 {
			c.add(at("organisations", i)+".weight", "%d is below 0", o.Weight)
		}
	}
	c.unique("classes", len(d.Classes), func(i int) string { return d.Classes[i].Name })
	for i, k := range d.Classes {
		if k.Weight < 0 {
			c.add(at("classes", i)+".weight", "%d is below 0", k.Weight)
		}
	}
}

func (c *check) exceptions() {
	type key struct {
		t Target
		n string
	}
	seen := map[key]int{}
	for i := range c.d.Exceptions {
		e, p := &c.d.Exceptions[i], at("exceptions", i)
		if c.target(p, e) {
			c.override(p, e)
		}
		if strings.TrimSpace(e.Reason) == "" {
			c.add(p+".reason", "an exception needs a written reason")
		}
		if e.Since.IsZero() {
			c.add(p+".since", "is missing")
		}
		k := key{e.Target, e.Name}
		if j, dup := seen[k]; dup {
			c.add(p, "%s %q already has an exception at %s", e.Target, e.Name, at("exceptions", j))
			continue
		}
		seen[k] = i
	}
}

func (c *check) target(p string, e *Exception) bool {
	switch e.Target {
	case TargetDomain:
		return known(c, p+".name", "failure domain", e.Name, c.domains)
	case TargetServer:
		return known(c, p+".name", "server", e.Name, c.serverOf)
	case TargetPool:
		return known(c, p+".name", "pool", e.Name, c.poolOf)
	case TargetOrganisation:
		return known(c, p+".name", "organisation", e.Name, c.orgs)
	}
	c.add(p+".target", "unknown target %q", e.Target)
	return false
}

func (c *check) override(p string, e *Exception) {
	if !e.Out && e.Limit == 0 && e.Weight == 0 {
		c.add(p, "sets none of out, limit and weight")
	}
	if e.Out && e.Target != TargetDomain && e.Target != TargetServer {
		c.add(p+".out", "does not apply to target %s", e.Target)
	}
	if e.Weight < 0 {
		c.add(p+".weight", "%d is below 0", e.Weight)
	}
	if e.Weight != 0 && e.Target != TargetOrganisation {
		c.add(p+".weight", "does not apply to target %s", e.Target)
	}
	c.limit(p+".limit", e)
}

func (c *check) limit(p string, e *Exception) {
	if e.Limit == 0 {
		return
	}
	l := c.poolOf[e.Name]
	if e.Target == TargetServer {
		l = c.poolOf[c.serverOf[e.Name].Pool]
	}
	switch {
	case e.Limit < 0:
		c.add(p, "%d is below 0", e.Limit)
	case e.Target != TargetServer && e.Target != TargetPool:
		c.add(p, "does not apply to target %s", e.Target)
	case l != nil && e.Limit < l.ColdLimit:
		c.add(p, "%d is below cold_limit %d of pool %q", e.Limit, l.ColdLimit, l.Name)
	}
}
