package relay

// This file defines the view: an immutable snapshot of configuration and servers, from
// which a request is routed.

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// View is a node's snapshot of configuration and servers. It is immutable. The zero value
// has no configuration.
type View struct {
	Config *Configuration
	// Servers holds the servers of each service, in the order of their ids, without
	// those that are leaving or in a failure domain that is taken out.
	Servers map[string][]*Server
	// Departing holds the IDs of the servers of each service that stated to this node that
	// they are leaving, in no order.
	Departing map[string][]string

	routesByHost     map[string][]*Route // by host in lower case, longest prefix first
	serviceByAddress map[string]string   // of each address
}

// NewView returns a view. TakenOut holds the failure domains that are taken out.
func NewView(c *Configuration, servers []*Server, takenOut map[string]bool) *View {
	v := &View{Config: c, Servers: map[string][]*Server{}, routesByHost: map[string][]*Route{}, serviceByAddress: map[string]string{}}
	for _, s := range servers {
		v.serviceByAddress[s.Address] = s.Service
		if !s.Leaving && !takenOut[s.Domain] {
			v.Servers[s.Service] = append(v.Servers[s.Service], s)
		}
	}
	for _, l := range v.Servers {
		slices.SortFunc(l, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	if c == nil {
		return v
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		v.routesByHost[h] = append(v.routesByHost[h], r)
	}
	for _, l := range v.routesByHost {
		slices.SortStableFunc(l, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return v
}

// Connections returns the maximum number of connections to an address from all nodes
// together, 0 if there is no bound.
func (v *View) Connections(address string) int {
	if v.Config == nil {
		return 0
	}
	if s := v.Config.Services[v.serviceByAddress[address]]; s != nil {
		return s.MaxConnections
	}
	return 0
}

// Match returns the route of the host, in any case of its letters, with the longest prefix that matches the path, as it was
// sent, or nil.
func (v *View) Match(host, path string) *Route {
	for _, r := range v.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that a key belongs to, and whether a request of
// the route with this key is allowed. The organisation is nil if requests carry no keys or
// the key is unknown.
func (v *View) Organisation(r *Route, key string) (*Organisation, bool) {
	if v.Config.Keys == nil {
		return nil, true
	}
	o := v.Config.Keys[key]
	return o, o != nil || r.Public
}

// Undecided reports whether it depends on a part of the configuration that could not be read if a request is allowed, and
// how it is served. The route is that of Match, nil if there is none, and the organisation that of the key.
func (v *View) Undecided(r *Route, o *Organisation, key string) bool {
	switch {
	case r == nil:
		return v.Config.HidesRoutes
	case r.Unreadable:
		return true
	}
	return o == nil && key != "" && v.Config.HidesKeys
}

// Pick returns the service that serves a request, by the weights of the targets. The same
// request id always gives the same service.
func (r *Route) Pick(id string) string {
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	if sum == 0 {
		return r.Targets[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	n := int(h.Sum32() % uint32(sum))
	for _, t := range r.Targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Allows reports whether a request may be served in a region.
func Allows(r *Route, o *Organisation, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Priority returns the priority of a request; 0 is the most urgent.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}

// Cold reports whether a server is still in its cold start at the given time.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }
