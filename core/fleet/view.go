package fleet

import "time"

// View is a declaration with its version and the indexes for the request path. It is
// immutable after NewView; nodes replace the whole view by swapping a pointer.
type View struct {
	Version     uint64
	Declaration *Declaration
	Pools       map[string]*Pool
	Servers     map[string]*BackendServer
	Pipelines   map[string]*Pipeline
	Services    map[string]*Service
	Orgs        map[string]*Organisation
	Classes     map[string]*Class
	Regions     map[string]string          // failure domain to region
	Groups      map[GroupID]*Group         // every group with at least one server
	ByPool      map[string][]*Group        // groups of a pool, in declared order
	Out         map[Target]map[string]bool // failure domains and servers taken out
}

// Group is the set of servers of one pool in one failure domain.
type Group struct {
	ID      GroupID
	Region  string
	Pool    *Pool
	Servers []*BackendServer
}

// NewView returns a view of d under version v. The declaration must be valid.
func NewView(d *Declaration, v uint64) *View {
	w := &View{
		Version: v, Declaration: d,
		Pools: map[string]*Pool{}, Servers: map[string]*BackendServer{},
		Pipelines: map[string]*Pipeline{}, Services: map[string]*Service{},
		Orgs: map[string]*Organisation{}, Classes: map[string]*Class{},
		Regions: map[string]string{}, Groups: map[GroupID]*Group{},
		ByPool: map[string][]*Group{},
		Out:    map[Target]map[string]bool{TargetDomain: {}, TargetServer: {}},
	}
	for i := range d.Domains {
		w.Regions[d.Domains[i].Name] = d.Domains[i].Region
	}
	for i := range d.Pools {
		w.Pools[d.Pools[i].Name] = &d.Pools[i]
	}
	for i := range d.Pipelines {
		w.Pipelines[d.Pipelines[i].Name] = &d.Pipelines[i]
	}
	for i := range d.Services {
		w.Services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Organisations {
		w.Orgs[d.Organisations[i].Name] = &d.Organisations[i]
	}
	for i := range d.Classes {
		w.Classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for i := range d.Servers {
		w.addServer(&d.Servers[i])
	}
	for _, e := range d.Exceptions {
		if e.Out && w.Out[e.Target] != nil {
			w.Out[e.Target][e.Name] = true
		}
	}
	return w
}

func (w *View) addServer(s *BackendServer) {
	w.Servers[s.Name] = s
	id := GroupID{Pool: s.Pool, Domain: s.Domain}
	g := w.Groups[id]
	if g == nil {
		g = &Group{ID: id, Region: w.Regions[s.Domain], Pool: w.Pools[s.Pool]}
		w.Groups[id] = g
		w.ByPool[s.Pool] = append(w.ByPool[s.Pool], g)
	}
	g.Servers = append(g.Servers, s)
}

// ServerOut reports whether s, or its failure domain, is taken out.
func (w *View) ServerOut(s *BackendServer) bool {
	return w.Out[TargetServer][s.Name] || w.Out[TargetDomain][s.Domain]
}

// LimitOf returns the maximum calls in flight on s when warm, with exceptions applied.
func (w *View) LimitOf(s *BackendServer) int {
	n := w.Pools[s.Pool].Limit
	for _, e := range w.Declaration.Exceptions {
		if e.Limit <= 0 {
			continue
		}
		if e.Target == TargetServer && e.Name == s.Name {
			return e.Limit
		}
		if e.Target == TargetPool && e.Name == s.Pool {
			n = e.Limit
		}
	}
	return n
}

// WeightOf returns the fair-queue weight of organisation o in class c, with exceptions
// applied.
func (w *View) WeightOf(o, c string) int {
	n := 1
	if r := w.Orgs[o]; r != nil && r.Weight > 0 {
		n = r.Weight
	}
	for _, e := range w.Declaration.Exceptions {
		if e.Target == TargetOrganisation && e.Name == o && e.Weight > 0 {
			n = e.Weight
		}
	}
	if k := w.Classes[c]; k != nil && k.Weight > 0 {
		n *= k.Weight
	}
	return n
}

// DeadlineOf returns the deadline for a request with deadline d, 0 for none. p is its
// pipeline or nil. The result is at most Defaults.MaxCall, if that is set.
func (w *View) DeadlineOf(p *Pipeline, d time.Duration) time.Duration {
	if d <= 0 && p != nil {
		d = p.Deadline
	}
	if d <= 0 {
		d = w.Declaration.Defaults.Deadline
	}
	if m := w.Declaration.Defaults.MaxCall; m > 0 && d > m {
		d = m
	}
	return d
}
