package operator

import (
	"os"
	"strings"
	"testing"
)

// Guards against an alarm without a section in the operations page, and against a section
// for an alarm that does not exist.
func TestAlarmsAreDocumented(t *testing.T) {
	b, err := os.ReadFile("../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for l := range strings.Lines(string(b)) {
		if n, ok := strings.CutPrefix(l, "### "); ok {
			got = append(got, strings.TrimSpace(n))
		}
	}
	if got, want := strings.Join(got, "\n"), strings.Join(Alarms, "\n"); got != want {
		t.Errorf("sections of docs/operations.md:\n%s\nwant, in this order:\n%s", got, want)
	}
}
