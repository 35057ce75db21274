package demo

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/record"
	"bergamotspring/io/standin"
)

// Requests whose prompts begin alike and crash each server that runs them, no two alike, crash server
// after server: at most three more run once five servers have crashed.
func TestSharedPromptCrashesServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSessionRun(t, "logwerk", session{})
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second) // until all groups have a lease holder
		p.Inject(Fault{Fault: standin.Fault{Kind: standin.CrashAt, At: 3}, Pool: p.enginePool, Input: "poison", Times: -1})
		p.warmUp(6)
		for i := range 20 {
			p.send(withKey("", fmt.Sprintf(`"poison%s %d"`, strings.Repeat(" and so on", 100), i), onNode(p.Nodes[i%3].Name, p.pipeline)))
			time.Sleep(2 * time.Second)
			for _, e := range p.Engines {
				if e.IsDown() {
					e.Restart()
				}
			}
		}
		got := 0
		for _, e := range p.Events() {
			if e.Kind == record.FaultInjected {
				got++
			}
		}
		p.Stop()
		if want := 5 + 3; got > want {
			t.Errorf("%d calls crashed a server, want at most %d", got, want)
		}
	})
}
