package permit

import "testing"

// Guards against retries over their share of the first tries of a pool, in whatever group
// they are sent to, and against a retry that paid and got no permit.
func TestRetriesKeepTheirShare(t *testing.T) {
	var r Retries
	if r.Take("p", 0.1) {
		t.Error("a retry before any first try")
	}
	for range 40 {
		r.First("p", 0.1)
	}
	n := 0
	for r.Take("p", 0.1) {
		n++
	}
	if got, want := n, 4; got != want {
		t.Errorf("%d retries for 40 first tries, want %d", got, want)
	}
	if r.Take("q", 0.1) {
		t.Error("a retry of another pool")
	}
	r.Refund("p", 0.1)
	if !r.Take("p", 0.1) || r.Take("p", 0.1) {
		t.Error("a token that was given back is not one token")
	}
}
