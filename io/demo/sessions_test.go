package demo

import (
	"context"
	"strings"
	"time"

	"bergamotspring/core/record"
	"bergamotspring/io/standin"
)

// oneCallFault returns a fault of one call to a pool whose input contains input.
func oneCallFault(pool, input string, k standin.FaultKind, token int) Fault {
	f := Fault{Fault: standin.Fault{Kind: k, At: token}, Pool: pool, Input: input, Times: 1}
	if k == standin.Late {
		f.Delay = 300 * time.Millisecond
	}
	return f
}

// sendEachFault sends one request per kind of fault, with the fault in one call to a pool.
func sendEachFault(p *sessionRun, pool string, token int, kinds ...standin.FaultKind) {
	p.warmUp(3 * len(kinds))
	for _, k := range kinds {
		p.Inject(oneCallFault(pool, k.String(), k, token))
		p.send(withKey("", `"`+k.String()+` `+pool+`"`, p.pipeline))
	}
}

// sessions are the recorded sessions of the request path. The comment of each names the
// failure that it guards against.
var sessions = []session{
	// A stage result that is lost or swapped in a request without faults.
	{name: "whole_path", run: func(p *sessionRun) {
		p.send(p.pipeline)
		q := p.pipeline
		q.Stream = false
		p.send(q)
		p.send(p.read)
		p.send(withKey("k1", "", p.write))
		p.send(p.write)
		for range 4 {
			p.sendAsync(p.pipeline)
		}
	}},
	// A response of another call, a late one or a truncated one that is accepted.
	{name: "wrong_answers", run: func(p *sessionRun) {
		sendEachFault(p, p.pools[1], 0, standin.CrossedID, standin.Late, standin.Truncated, standin.NoEnd, standin.ErrorResponse)
	}},
	// A resumed stream that repeats or omits tokens, or starts from the beginning.
	{name: "broken_streams", run: func(p *sessionRun) {
		sendEachFault(p, p.enginePool, 7, standin.CrossedID, standin.Late, standin.Truncated, standin.NoEnd, standin.Doubled,
			standin.Skipped, standin.SilentAt, standin.CrashAt)
	}},
	// A slow call that makes its request late although the budget allows a hedge.
	{name: "straggler", run: func(p *sessionRun) {
		p.warmUp(3)
		f := oneCallFault(p.pools[2], "straggler", standin.Late, 0)
		f.Delay = 3 * time.Second
		p.Inject(f)
		p.send(withKey("", `"straggler"`, p.pipeline))
	}},
	// Retries and hedges that multiply the load of a pool in which every call fails.
	{name: "pool_fault", run: func(p *sessionRun) {
		p.Inject(Fault{Fault: standin.Fault{Kind: standin.ErrorResponse}, Pool: p.pools[2], Times: -1})
		for range 400 {
			p.sendAsync(p.pipeline)
		}
		p.inFlight.Wait()
		p.unlisted = p.requestCount
		first, all := 0, 0
		seen := map[string]bool{}
		for _, e := range p.Events() {
			if e.Kind == record.CallStarted && strings.HasPrefix(e.Server, p.pools[2]) && !e.At.Before(p.start) {
				all++
				if !seen[e.Detail] {
					first++
				}
				seen[e.Detail] = true
			}
		}
		if first < 350 || (all-first)*10 > first {
			p.t.Errorf("%d calls for %d requests, want under 10%% more, and at least 350 requests", all, first)
		}
	}},
	// A claim whose response is lost after it took effect is attributed to another node;
	// a resend through another node runs again; a key is accepted for a second body; a
	// call runs without a claim while the table is down.
	{name: "claims", run: func(p *sessionRun) {
		p.LoseResponses("claim/", 1)
		p.send(withKey("lost", `"a"`, onNode("n1", p.write)))
		time.Sleep(time.Second)
		p.send(withKey("lost", `"a"`, onNode("n2", p.write)))
		p.send(withKey("lost", `"b"`, onNode("n3", p.write)))
		p.SetTableDown(true)
		p.send(withKey("down", `"c"`, onNode("n1", p.write)))
		p.send(onNode("n1", p.read))
		p.SetTableDown(false)
		time.Sleep(10 * time.Second)
		p.send(withKey("down", `"c"`, onNode("n2", p.write)))
	}},
	// A call that its server completed after its node was killed runs again when the
	// caller resends it.
	{name: "claim_of_killed_node", losesConnections: true, run: func(p *sessionRun) {
		f := oneCallFault(p.servicePool, "killed", standin.Late, 0)
		p.Inject(f)
		p.sendAsync(withKey("k", `"killed"`, onNode("n2", p.write)))
		time.Sleep(100 * time.Millisecond)
		p.Kill("n2")
		p.send(withKey("k", `"killed"`, onNode("n1", p.write)))
		time.Sleep(5 * time.Second)
		p.send(withKey("k", `"killed"`, onNode("n3", p.write)))
		if err := p.Restart("n2"); err != nil {
			p.t.Error(err)
		}
		time.Sleep(5 * time.Second)
		p.send(withKey("k", `"killed"`, onNode("n2", p.write)))
	}},
	// A request that crashes each server that runs it takes down the fleet, or causes the
	// refusal of other requests that were in flight on these servers.
	{name: "poison", run: func(p *sessionRun) {
		p.Inject(Fault{Fault: standin.Fault{Kind: standin.CrashAt, At: 3}, Pool: p.enginePool, Input: "poison", Times: -1})
		p.warmUp(6)
		for range 6 {
			p.sendAsync(onNode("n1", p.pipeline))
		}
		for i := range 6 {
			p.send(withKey("", `"poison"`, onNode(p.Nodes[i%3].Name, p.pipeline)))
			time.Sleep(2 * time.Second)
			for _, e := range p.Engines {
				if e.IsDown() {
					e.Restart()
				}
			}
		}
	}},
	// A stream on a connection that drops everything silently, or a call on such a pooled
	// connection, waits until its deadline.
	{name: "silent_connections", run: func(p *sessionRun) {
		p.warmUp(9)
		p.sendAsync(onNode("n1", p.pipeline))
		time.Sleep(400 * time.Millisecond)
		p.Silence(p.lastServer(p.enginePool))
		p.inFlight.Wait()
		p.Silence("")
		p.send(onNode("n1", p.pipeline))
		p.send(onNode("n1", p.read))
		p.send(withKey("k", "", onNode("n1", p.write)))
	}},
	// A planned stop that aborts streams, or requests that the load balancer still sends.
	{name: "planned_stop", tune: func(f *Fleet) { f.Drain = 6 * time.Second }, run: func(p *sessionRun) {
		for _, k := range []string{"k1", "k2", "k3", "k4"} {
			p.sendAsync(onNode("n1", p.pipeline))
			p.sendAsync(withKey(k, "", onNode("n1", p.write)))
		}
		p.inFlight.Go(func() { p.StopNode("n1") })
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			p.sendAsync(onNode("n1", p.pipeline))
		}
		time.Sleep(7 * time.Second)
		p.mu.Lock()
		for g, n := range p.holders {
			if n == "n1" {
				p.t.Errorf("stopped node n1 is home of %s", g)
			}
		}
		p.mu.Unlock()
		p.send(p.pipeline)
		p.send(p.pipeline)
	}},
	// New calls to a server that leaves, or aborted streams on it.
	{name: "leaving_server", run: func(p *sessionRun) {
		for range 3 {
			p.sendAsync(onNode("n1", p.pipeline))
		}
		time.Sleep(200 * time.Millisecond)
		p.AnnounceLeaving(p.lastServer(p.enginePool))
		for range 12 {
			p.sendAsync(onNode("n1", p.pipeline))
			time.Sleep(time.Second)
		}
	}},
	// A caller that reads too slowly occupies memory and a slot of a model server; one
	// that disconnected occupies a slot.
	{name: "slow_and_gone_callers", tune: func(f *Fleet) {
		f.StreamBytes, f.Network.Window = 4<<10, 4<<10
	}, run: func(p *sessionRun) {
		for _, e := range p.Engines {
			e.Tokens, e.Gap = 400, 5*time.Millisecond
		}
		q := p.pipeline
		q.Tokens, q.ReadDelay = 400, 1300*time.Millisecond
		p.send(onNode("n1", q))
		q.ReadDelay = 0
		c, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		p.Send(c, onNode("n2", q))
	}},
}
