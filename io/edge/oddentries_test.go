package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// oddEntries are what another writer may have left among the entries of servers.
func oddEntries() map[string]string {
	entry := func(field, value string) string {
		f := map[string]string{
			"service": `"plain"`, "address": `"10.1.9.9:80"`, "zone": `"a"`, "version": `"1"`, "slots": "6", "state": `"ready"`,
			"cold-left-ms": "0", "sequence": "1", "born": "1700000000000",
		}
		f[field] = value
		var l []string
		for k, v := range f {
			l = append(l, fmt.Sprintf("%q:%s", k, v))
		}
		return "{" + strings.Join(l, ",") + "}"
	}
	nested := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	l := map[string]string{
		"nested":          nested,
		"nested, open":    strings.Repeat("[", 60000),
		"nested objects":  strings.Repeat(`{"a":`, 10000) + "1" + strings.Repeat("}", 10000),
		"nested field":    entry("extra", nested),
		"nested service":  entry("service", nested),
		"nested address":  entry("address", nested),
		"nested slots":    entry("slots", nested),
		"bytes":           "\xff\xfe\x00",
		"empty":           "",
		"null":            "null",
		"another service": entry("service", `"none"`),
	}
	for _, n := range []string{"1e400", "-1e400", "1e308", "-1e308", "1e30", "9223372036854775808", strings.Repeat("9", 5000)} {
		for _, f := range []string{"slots", "cold-left-ms", "born"} {
			l[f+" "+n[:min(len(n), 20)]] = entry(f, n)
		}
	}
	for _, p := range []string{"0", "-1", "65536", "70000", "99999999999999999999", "", "x"} {
		l["port "+p] = entry("address", `"10.1.9.9:`+p+`"`)
	}
	return l
}

// Odd entries among those of servers stop no node, and no node from following the store; they name no server.
func TestOddServerEntries(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for name, v := range oddEntries() {
			w.store.PutBytes("servers", "odd "+name, []byte(v))
		}
		time.Sleep(2 * time.Second)
		for _, node := range []string{"a1", "a2", "b1", "c1"} {
			for _, s := range w.nodes[node].node.cache.View().Servers["plain"] {
				if w.servers[s.ID] == nil {
					t.Errorf("%s uses the server of entry %q: %+v", node, s.ID, s)
				}
			}
		}
		w.store.Remove("servers", "plain-a")
		w.configure(2, func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"key", "new"}}}
		})
		time.Sleep(configApply)
		for i, node := range []string{"a1", "a2", "b1", "c1"} {
			w.wantOK(w.request(node, http.MethodGet, "/read/x", fmt.Sprint("r", i), "Api-Key", "new"), "a request at %s after a new configuration", node)
			w.wantStream(w.stream(node, "/draft/x", fmt.Sprint("s", i)), "a stream at %s", node)
			if l := w.nodes[node].node.cache.View().Servers["plain"]; len(l) != 2 {
				t.Errorf("%s knows %d plain servers, want 2", node, len(l))
			}
		}
		for name, x := range w.nodes {
			select {
			case err := <-x.done:
				t.Fatalf("%s ended: %v", name, err)
			default:
			}
		}
	})
}
