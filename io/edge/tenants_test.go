package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// The last organisation is removed from the configuration: requests with its key, with another one or with none are
// refused and do not run, but on public routes, until an organisation is there again.
func TestLastOrganisationRemoved(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		set := func(version int, organisations []any) {
			w.configure(version, func(c map[string]any) {
				c["tenants"] = organisations
				c["route-table"].([]any)[0].(map[string]any)["public"] = true // that of /read/
			})
			time.Sleep(configApply)
		}
		send := func(what string, want int) {
			for i, key := range []string{"key", "unknown", ""} {
				id := fmt.Sprint(what, i)
				if r := w.request("a1", http.MethodPost, "/file/x", id, "Api-Key", key); r.status != want || w.runCount(id) > 0 && want != 200 {
					t.Errorf("%s, key %q: got %d after %d runs, want %d", what, key, r.status, w.runCount(id), want)
				}
				w.wantOK(w.request("a1", http.MethodGet, "/read/x", "p"+id, "Api-Key", key), "%s, key %q: a public route", what, key)
			}
		}
		set(2, []any{})
		send("no organisation", 401)
		set(3, []any{map[string]any{"name": "org", "api-keys": []string{}}})
		send("no key", 401)
		set(4, []any{map[string]any{"name": "org", "api-keys": []string{"key"}}})
		w.wantOK(w.request("a1", http.MethodPost, "/file/x", "back", "Api-Key", "key"), "its key is back")
		w.configure(5, func(c map[string]any) { delete(c, "tenants") })
		time.Sleep(configApply)
		send("a configuration without organisations", 200)
	})
}

// Guards against an organisation with an empty key, by which requests without a key would run.
func TestEmptyKey(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.configure(2, func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"", "key"}}}
		})
		time.Sleep(configApply)
		for key, want := range map[string]int{"key": 200, "": 401, "unknown": 401} {
			if r := w.request("a1", http.MethodPost, "/file/x", "k"+key, "Api-Key", key); r.status != want || want != 200 && w.runCount("k"+key) > 0 {
				t.Errorf("key %q: got %d, want %d", key, r.status, want)
			}
		}
	})
}
