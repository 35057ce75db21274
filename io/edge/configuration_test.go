package edge

// This file tests configurations whose stages stand in any order, or of which a part cannot be read.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// chainStage is a stage of a chain in which each stage but the first one needs the results of the one before.
type chainStage struct {
	service string
	tasks   int
}

// listChain returns the configuration of a chain whose stages are listed in an order, given by their places in the chain,
// and the header with their numbers of tasks.
func listChain(chain []chainStage, order []int) (stages []any, tasks string) {
	var l []string
	for _, place := range order {
		after := []int{}
		if place > 0 {
			after = append(after, slices.Index(order, place-1))
		}
		stages = append(stages, map[string]any{"service": chain[place].service, "after": after, "size-bytes": 1000000})
		l = append(l, fmt.Sprint(chain[place].tasks))
	}
	return stages, strings.Join(l, ",")
}

// wantChain checks that each stage of a request was made from the results of the one before it in the chain, and the request
// itself from those of the last one.
func (w *testFleet) wantChain(id string, chain []chainStage, order []int) {
	w.t.Helper()
	inputs := "k" + id
	for place, s := range chain {
		listed := slices.Index(order, place)
		var results []string
		for n := range s.tasks {
			task := fmt.Sprintf("%s/%d/%d", id, listed, n)
			if got := w.results.Inputs[task]; len(got) != 1 || got[0] != inputs {
				w.t.Errorf("%v, stage %d of the chain, listed as %d: made from %q, want once from %q", order, place, listed, got, inputs)
			}
			results = append(results, task)
		}
		inputs = strings.Join(results, " ")
	}
	if got := w.results.Inputs[id]; len(got) != 1 || got[0] != inputs {
		w.t.Errorf("%v: the request got %q, want once %q", order, got, inputs)
	}
}

// Stages may be listed in any order: each runs after the one that it needs, with its results. Guards against review case
// 15, in which such a version was never in force.
func TestStagesInAnyOrder(t *testing.T) {
	chain := []chainStage{{"encode", 2}, {"rank", 3}, {"encode", 1}}
	for _, order := range [][]int{{0, 1}, {1, 0}, {0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		runFleet(t, func(w *testFleet) {
			stages, tasks := listChain(chain, order)
			w.configure(2, func(c map[string]any) {
				for _, r := range c["route-table"].([]any) {
					if r := r.(map[string]any); r["stages"] != nil {
						r["stages"] = stages
					}
				}
			})
			time.Sleep(time.Second)
			for _, path := range []string{"/draft/x", "/once/x"} {
				id := "chain" + path[1:3]
				w.wantStream(w.stream("b1", path, id, "X-Bergamotspring-Chunks", tasks), "%v, %s", order, path)
				w.wantChain(id, chain[:len(order)], order)
			}
		})
	}
}

// movePlain edits a configuration so that a plain route moves from /read/ to /moved/.
func movePlain(c map[string]any) {
	c["route-table"].([]any)[0].(map[string]any)["prefix"] = "/moved/"
}

// wantMoved checks that all nodes serve the route at /moved/ only, and that a node that starts becomes ready.
func (w *testFleet) wantMoved(what string) {
	w.t.Helper()
	w.start("a9", "10.0.0.9")
	time.Sleep(2 * time.Second)
	for node := range w.nodes {
		if n := w.nodes[node].node; n.cache.View().Config == nil || n.cache.View().Config.Version != 2 {
			w.t.Errorf("%s: %s has no configuration, or an older one", what, node)
			continue
		}
		w.wantOK(w.request(node, http.MethodGet, "/moved/x", what+"moved"+node), "%s: at %s", what, node)
		if r := w.request(node, http.MethodGet, "/read/x", what+"dropped"+node); r.status == http.StatusOK {
			w.t.Errorf("%s: %s serves a dropped route", what, node)
		}
	}
}

// A version of which a part cannot be read, or whose stages are in another order, is in force for all the rest: at nodes that
// run and at one that starts. What depends on the part is refused as not run, and runs nowhere.
func TestPartOfConfiguration(t *testing.T) {
	route := func(c map[string]any, i int) map[string]any { return c["route-table"].([]any)[i].(map[string]any) }
	for _, c := range []struct {
		name    string
		change  func(c map[string]any)
		refused []string // paths
		unknown int      // status of a path without a route
	}{
		{"stages reversed", func(c map[string]any) {
			stages, _ := listChain([]chainStage{{"encode", 1}, {"rank", 1}}, []int{1, 0})
			route(c, 3)["stages"] = stages
		}, nil, 404},
		{"stages in a circle", func(c map[string]any) {
			route(c, 3)["stages"].([]any)[0].(map[string]any)["after"] = []int{1}
			route(c, 4)["stages"].([]any)[0].(map[string]any)["after"] = []int{1}
		}, []string{"/draft/x", "/once/x"}, 404},
		{"a number of a route", func(c map[string]any) { route(c, 1)["max-attempts"] = "one" }, []string{"/file/x"}, 404},
		{"a service", func(c map[string]any) { c["services"].([]any)[3].(map[string]any)["engine"] = true }, []string{"/draft/x", "/once/x"}, 404},
		{"a prefix", func(c map[string]any) { route(c, 1)["prefix"] = 1 }, []string{"/file/x"}, 503},
		{"a number with a fraction of zero", func(c map[string]any) { route(c, 0)["max-attempts"] = 2.0 }, nil, 404},
	} {
		runFleet(t, func(w *testFleet) {
			w.configure(2, func(x map[string]any) {
				movePlain(x)
				c.change(x)
			})
			time.Sleep(2 * time.Second)
			w.wantMoved(c.name)
			for _, path := range []string{"/file/x", "/draft/x", "/once/x"} {
				id := "part" + path
				r, want := w.stream("b1", path, id), http.StatusOK
				if slices.Contains(c.refused, path) {
					want = http.StatusServiceUnavailable
				}
				if n := w.runCount(id); r.status != want || n > 0 != (want == http.StatusOK) || want != http.StatusOK && r.header.Get("Retry-After") == "" {
					t.Errorf("%s: %s: got %d %v after %d runs, want %d", c.name, path, r.status, r.err, n, want)
				}
			}
			if r := w.request("b1", http.MethodGet, "/none/x", "none"); r.status != c.unknown {
				t.Errorf("%s: a path without a route: got %d, want %d", c.name, r.status, c.unknown)
			}
			if n := len(w.log.matching("configuration_part_unreadable", `"node":"b1"`)); (n > 0) != (len(c.refused) > 0) {
				t.Errorf("%s: b1 logged %d unreadable parts", c.name, n)
			}
		})
	}
}

// A request with a key of a tenant that cannot be read gets 503: it is neither unauthorised nor attributed to another tenant.
func TestUnreadableTenant(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.configure(2, func(c map[string]any) {
			movePlain(c)
			c["tenants"] = []any{
				map[string]any{"name": "org", "api-keys": []string{"key"}},
				map[string]any{"name": "other", "api-keys": []string{"hidden"}, "home-regions": 7},
			}
		})
		time.Sleep(2 * time.Second)
		w.wantMoved("tenant")
		for key, want := range map[string]int{"key": 200, "hidden": 503, "": 401} {
			if r := w.request("b1", http.MethodGet, "/moved/x", "of"+key, "Api-Key", key); r.status != want {
				t.Errorf("key %q: got %d, want %d", key, r.status, want)
			}
		}
	})
}
