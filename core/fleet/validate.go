package fleet

import (
	"fmt"
	"net/netip" // parses addresses; opens no socket
	"strings"
	"time"
)

// Problem is a validation error. Path locates it in the document, such as
// "servers[3].pool".
type Problem struct {
	Path  string
	Cause string
}

// InvalidError lists all problems of a declaration, section by section in the order of
// the document.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "declaration: %d problems", len(e.Problems))
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.Path + ": " + p.Cause)
	}
	return b.String()
}

const maxNameBytes = 64

// Validate returns an *InvalidError with all problems, or nil.
func (d *Declaration) Validate() error {
	c := newCheck(d)
	c.name("name", d.Name)
	c.defaults()
	c.topology()
	c.pools()
	c.servers()
	c.pipelines()
	c.services()
	c.callers()
	c.exceptions()
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: c.problems}
}

// check collects the problems of a declaration. Its maps index the declared names.
type check struct {
	d              *Declaration
	problems       []Problem
	regions        map[string]bool
	domains        map[string]bool
	poolOf         map[string]*Pool
	serverOf       map[string]*BackendServer
	orgs           map[string]bool
	serversPerPool map[string]int
}

func newCheck(d *Declaration) *check {
	c := &check{
		d: d, regions: map[string]bool{}, domains: map[string]bool{},
		poolOf: map[string]*Pool{}, serverOf: map[string]*BackendServer{},
		orgs: map[string]bool{}, serversPerPool: map[string]int{},
	}
	for _, r := range d.Regions {
		c.regions[r.Name] = true
	}
	for _, f := range d.Domains {
		c.domains[f.Name] = true
	}
	for i := range d.Pools {
		c.poolOf[d.Pools[i].Name] = &d.Pools[i]
	}
	for i := range d.Servers {
		c.serverOf[d.Servers[i].Name] = &d.Servers[i]
		c.serversPerPool[d.Servers[i].Pool]++
	}
	for _, o := range d.Organisations {
		c.orgs[o.Name] = true
	}
	return c
}

func (c *check) add(path, format string, a ...any) {
	c.problems = append(c.problems, Problem{Path: path, Cause: fmt.Sprintf(format, a...)})
}

// at returns the path of element i of a section, such as "servers[3]".
func at(section string, i int) string { return fmt.Sprintf("%s[%d]", section, i) }

func (c *check) name(path, n string) {
	if n == "" {
		c.add(path, "is empty")
		return
	}
	if len(n) > maxNameBytes {
		c.add(path, "%.20q... is longer than %d bytes", n, maxNameBytes)
		return
	}
	if strings.IndexFunc(n, invalidNameRune) >= 0 {
		c.add(path, "%q may hold only letters, digits, dot, underscore and hyphen", n)
	}
}

// invalidNameRune reports whether r may not occur in a name. Names are parts of table
// keys and paths, so separators are not allowed.
func invalidNameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '.' && r != '_' && r != '-'
}

// unique checks that the names of the n elements of a section are valid and unique.
func (c *check) unique(section string, n int, name func(int) string) {
	first := make(map[string]int, n)
	for i := range n {
		p := at(section, i) + ".name"
		k := name(i)
		c.name(p, k)
		if j, dup := first[k]; dup && k != "" {
			c.add(p, "%q is already declared at %s", k, at(section, j))
			continue
		}
		first[k] = i
	}
}

// known reports whether n is a key of m, and adds a problem if not.
func known[V any](c *check, path, kind, n string, m map[string]V) bool {
	_, ok := m[n]
	if !ok {
		c.add(path, "unknown %s %q", kind, n)
	}
	return ok
}

func (c *check) defaults() {
	f := c.d.Defaults
	if f.MaxCall <= 0 {
		c.add("defaults.max_call", "must be above 0s")
	}
	c.deadline("defaults.deadline", f.Deadline)
	if f.Deadline <= 0 {
		c.add("defaults.deadline", "must be above 0s")
	}
	if !(f.RetryShare >= 0 && f.RetryShare <= 1) {
		c.add("defaults.retry_share", "%v is outside 0 to 1", f.RetryShare)
	}
	if f.WeightsPerMin < 0 {
		c.add("defaults.weights_per_minute", "%d is below 0", f.WeightsPerMin)
	}
}

func (c *check) deadline(path string, t time.Duration) {
	m := c.d.Defaults.MaxCall
	if t < 0 {
		c.add(path, "%v is below 0s", t)
	}
	if m > 0 && t > m {
		c.add(path, "%v is above defaults.max_call %v", t, m)
	}
}

func (c *check) topology() {
	d := c.d
	if len(d.Regions) == 0 {
		c.add("regions", "no region is declared")
	}
	c.unique("regions", len(d.Regions), func(i int) string { return d.Regions[i].Name })
	if len(d.Domains) == 0 {
		c.add("failure_domains", "no failure domain is declared")
	}
	c.unique("failure_domains", len(d.Domains), func(i int) string { return d.Domains[i].Name })
	for i, f := range d.Domains {
		known(c, at("failure_domains", i)+".region", "region", f.Region, c.regions)
	}
	seen := map[Link]int{}
	for i, l := range d.Links {
		c.link(at("links", i), l)
		k := Link{From: l.From, To: l.To}
		if j, dup := seen[k]; dup {
			c.add(at("links", i), "link from %q to %q is already declared at %s", l.From, l.To, at("links", j))
		} else {
			seen[k] = i
		}
	}
}

func (c *check) link(p string, l Link) {
	known(c, p+".from", "region", l.From, c.regions)
	known(c, p+".to", "region", l.To, c.regions)
	if l.From == l.To {
		c.add(p+".to", "region %q is linked to itself", l.To)
	}
	if l.BytesPerSecond <= 0 {
		c.add(p+".bytes_per_second", "%d is below 1", l.BytesPerSecond)
	}
}

func (c *check) pools() {
	d := c.d
	c.unique("pools", len(d.Pools), func(i int) string { return d.Pools[i].Name })
	for i := range d.Pools {
		c.pool(at("pools", i), &d.Pools[i])
	}
}

func (c *check) pool(p string, l *Pool) {
	if l.Protocol != ProtocolEngine && l.Protocol != ProtocolJSON {
		c.add(p+".protocol", "unknown protocol %q", l.Protocol)
	}
	if l.Limit < 1 {
		c.add(p+".limit", "%d is below 1", l.Limit)
	}
	if l.ColdLimit < 1 {
		c.add(p+".cold_limit", "%d is below 1", l.ColdLimit)
	} else if l.ColdLimit > l.Limit {
		c.add(p+".cold_limit", "%d is above limit %d", l.ColdLimit, l.Limit)
	}
	if !(l.ColdFactor > 1) {
		c.add(p+".cold_factor", "%v is not above 1", l.ColdFactor)
	}
	if l.Expect <= 0 {
		c.add(p+".expect", "must be above 0s")
	}
	c.deadline(p+".expect", max(l.Expect, 0))
	c.model(p, l)
	if c.serversPerPool[l.Name] == 0 {
		c.add(p, "no servers for pool %q", l.Name)
	}
}

func (c *check) model(p string, l *Pool) {
	if l.Model == "" {
		if l.Adapter != "" || l.ModelVersion != "" || l.Role != "" {
			c.add(p+".model", "is empty, but adapter, model_version or role is set")
		}
		return
	}
	if l.Protocol != ProtocolEngine {
		c.add(p+".model", "only pools with protocol engine take orders")
	}
	if c.d.Defaults.WeightsPerMin == 0 {
		c.add(p+".model", "is set, but defaults.weights_per_minute is 0")
	}
}

func (c *check) servers() {
	d := c.d
	c.unique("servers", len(d.Servers), func(i int) string { return d.Servers[i].Name })
	seen := map[netip.AddrPort]int{}
	for i := range d.Servers {
		s, p := &d.Servers[i], at("servers", i)
		known(c, p+".pool", "pool", s.Pool, c.poolOf)
		known(c, p+".failure_domain", "failure domain", s.Domain, c.domains)
		if s.VM == "" {
			c.add(p+".vm", "is empty")
		}
		a, ok := c.address(p+".address", s.Address)
		if !ok {
			continue
		}
		if j, dup := seen[a]; dup {
			c.add(p+".address", "%s is already used at %s", s.Address, at("servers", j))
			continue
		}
		seen[a] = i
	}
}

func (c *check) address(path, s string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		c.add(path, "%q is not IP:port", s)
		return a, false
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.add(path, "%q cannot be connected to", s)
		return a, false
	}
	return a, true
}
