package rollout

// Rule says to which version a request goes. The zero value admits any version.
type Rule struct {
	Service string
	Version string   // the only version admitted, if not empty
	Not     string   // otherwise any version but this one
	New     bool     // the request counts as sent to the version of an order
	Focus   []string // servers of Version that are preferred; empty: all. It must not be changed.

	tally *tally // of the order that was in force, nil if none was
	grant uint64 // number of the report whose allowance was used up
}

// Admits reports whether a server of a version may get the request.
func (r Rule) Admits(version string) bool {
	if r.Version != "" {
		return version == r.Version
	}
	return r.Not == "" || version != r.Not
}

// Prefers reports whether a server is one of those that are to get the request. If none of these
// can take it, another server of the version may.
func (r Rule) Prefers(server string) bool {
	if len(r.Focus) == 0 {
		return true
	}
	for _, s := range r.Focus {
		if s == server {
			return true
		}
	}
	return false
}
