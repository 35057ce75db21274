package outcome

import "testing"

// Guards against an outcome that promises "not run" but wrongly forbids or allows a
// resend, and against a gap in the closed set.
func TestNotRunMayBeResent(t *testing.T) {
	final := map[Outcome]bool{BadRequest: true, Conflict: true, Poison: true}
	for o := OK; o <= Cancelled; o++ {
		if o.String() == "" || o.Status() == 0 {
			t.Errorf("outcome %d has no entry", o)
		}
		if o.Ran() != NotRun {
			continue
		}
		if got, want := o.Resend(), !final[o]; got != want {
			t.Errorf("%v.Resend() = %v, want %v", o, got, want)
		}
	}
	if got, want := Unknown.Resend(), false; got != want {
		t.Errorf("Unknown.Resend() = %v, want %v", got, want)
	}
}
