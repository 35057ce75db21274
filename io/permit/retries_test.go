package permit

import "testing"

// Guards against retries beyond their share of the first attempts of a pool, whichever
// group they are sent to, and against a budget that stays spent for a retry without a
// permit.
func TestRetriesKeepTheirShare(t *testing.T) {
	var r Retries
	if r.Take("p", 0.1) {
		t.Error("a retry before any first attempt")
	}
	for range 40 {
		r.CountFirst("p", 0.1)
	}
	n := 0
	for r.Take("p", 0.1) {
		n++
	}
	if got, want := n, 4; got != want {
		t.Errorf("%d retries for 40 first attempts, want %d", got, want)
	}
	if r.Take("q", 0.1) {
		t.Error("a retry of another pool")
	}
	r.Refund("p", 0.1)
	if !r.Take("p", 0.1) || r.Take("p", 0.1) {
		t.Error("a refunded token is not one token")
	}
}
