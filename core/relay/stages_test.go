package relay

import "testing"

// Stages that need each other's results in a circle, or those of none, cannot run; all others can, in any order.
func TestCheckStages(t *testing.T) {
	for _, c := range []struct {
		after [][]int
		runs  bool
	}{
		{nil, true}, {[][]int{nil}, true}, {[][]int{nil, {0}, {0, 1}}, true}, {[][]int{{1}, nil}, true}, {[][]int{{1, 2}, {2}, nil}, true},
		{[][]int{{2}, nil, {1}}, true}, {[][]int{{1}, {2}, {3}, nil}, true},
		{[][]int{{0}}, false}, {[][]int{{1}, {0}}, false}, {[][]int{nil, {2}, {3}, {1}}, false}, {[][]int{{1}}, false}, {[][]int{{-1}}, false},
	} {
		var l []Stage
		for _, a := range c.after {
			l = append(l, Stage{Service: "s", After: a})
		}
		if err := CheckStages(l); (err == nil) != c.runs {
			t.Errorf("%v: got %v, want that they run: %v", c.after, err, c.runs)
		}
	}
}

// What a part that could not be read may allow or forbid is undecided, all else is not.
func TestUndecided(t *testing.T) {
	known, closed, org := &Route{}, &Route{Unreadable: true}, &Organisation{}
	for _, c := range []struct {
		config Configuration
		route  *Route
		org    *Organisation
		key    string
		want   bool
	}{
		{Configuration{}, known, org, "key", false}, {Configuration{}, nil, nil, "key", false}, {Configuration{}, known, nil, "key", false},
		{Configuration{}, closed, org, "key", true}, {Configuration{HidesRoutes: true}, nil, nil, "key", true},
		{Configuration{HidesRoutes: true}, known, org, "key", false}, {Configuration{HidesKeys: true}, known, org, "key", false},
		{Configuration{HidesKeys: true}, known, nil, "key", true}, {Configuration{HidesKeys: true}, known, nil, "", false},
	} {
		v := NewView(&c.config, nil, nil)
		if got := v.Undecided(c.route, c.org, c.key); got != c.want {
			t.Errorf("%+v: got %v, want %v", c, got, c.want)
		}
	}
}
