package tables

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/io/standin"
)

// routerCluster is a set of nodes that forward claims to writers among them.
type routerCluster struct {
	table  *standin.Table
	nodes  []*ClaimRouter
	direct bool                            // every node writes its own claims
	lose   func() (request, response bool) // of a message between nodes, nil: none
}

func newRouterCluster(nodes, writers int) *routerCluster {
	s := &routerCluster{table: &standin.Table{}, direct: writers == 0}
	var l []member.Node
	for i := range nodes {
		l = append(l, member.Node{Instance: lease.Instance{Node: fmt.Sprint(i)}})
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &ClaimRouter{
			Self: l[i].Instance, Claims: &Claims{Table: s.table.Direct(fmt.Sprint(i)), Node: l[i].Instance.Node},
			Nodes: func() []member.Node { return l }, Writers: writers, Claim: s.claim, End: s.end,
		})
	}
	return s
}

func (s *routerCluster) at(n member.Node) *Claims {
	for _, r := range s.nodes {
		if r.Self == n.Instance {
			return r.Claims
		}
	}
	return nil
}

// pass sends a message between nodes: f runs at the receiver and calls done.
func (s *routerCluster) pass(ctx context.Context, f func(done func(error))) error {
	request, response := false, false
	if s.lose != nil {
		request, response = s.lose()
	}
	time.Sleep(time.Millisecond)
	end := make(chan error, 1)
	if !request {
		f(func(err error) {
			if !response {
				end <- err
			}
		})
	}
	select {
	case err := <-end:
		time.Sleep(time.Millisecond)
		return err
	case <-ctx.Done():
		return errors.New("lost")
	}
}

func (s *routerCluster) claim(ctx context.Context, to member.Node, q claim.Request) (claim.Verdict, error) {
	var v claim.Verdict
	err := s.pass(ctx, func(done func(error)) {
		s.at(to).Start(q, func(w claim.Verdict, err error) {
			v = w
			done(err)
		})
	})
	if err != nil {
		return claim.Verdict{}, err
	}
	return v, nil
}

func (s *routerCluster) end(ctx context.Context, to member.Node, e claim.End) error {
	return s.pass(ctx, func(done func(error)) { s.at(to).End(e, done) })
}

func (s *routerCluster) close(t *testing.T) {
	for _, r := range s.nodes {
		r.Close()
	}
	for _, r := range s.nodes {
		if err := r.Claims.Close(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

// Guards against claims that need more transactions per second than the table service
// has for all nodes: several hundred, of which leases need up to 150. Run with -v to
// see the figures. In the cases without writers, every node writes its own claims.
func TestClaimRates(t *testing.T) {
	tests := []struct {
		name                 string
		nodes, rate, writers int     // rate: claims per second of all nodes
		maxRate              float64 // transactions per second; 0: only logged
	}{
		{"today, no writers", 8, 3, 0, 0},
		{"target, no writers", 320, 420, 0, 0},
		{"target", 320, 420, defaultWriters, 350},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := claimRate(t, newRouterCluster(c.nodes, c.writers), c.rate); c.maxRate > 0 && got > c.maxRate {
					t.Errorf("transactions/s: got %.0f, want at most %.0f", got, c.maxRate)
				}
			})
		})
	}
}

// claimRate returns the transactions per second for claims of 560 organisations, a few
// of which send most of them.
func claimRate(t *testing.T, s *routerCluster, rate int) float64 {
	const length = 4 * time.Second
	s.table.Fault = func(standin.TableOperation) standin.TableFault {
		return standin.TableFault{Delay: 2 * time.Millisecond}
	}
	r := rand.New(rand.NewPCG(1, 2))
	organisations := rand.NewZipf(r, 1.2, 4, 559)
	n := 0
	var w sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		k, o, i := s.nodes[r.IntN(len(s.nodes))], fmt.Sprint(organisations.Uint64()), n
		w.Go(func() { claimOnce(t, s, k, o, i) })
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
	w.Wait()
	s.close(t)
	x := s.table.Counts()
	per := func(n int64) float64 { return float64(n) / length.Seconds() }
	t.Logf("%d nodes: %.1f claims/s, %.1f transactions/s, %.1f rows written/s, %.1f reads/s",
		len(s.nodes), per(int64(n)), per(x.Transactions), per(x.RowWrites), per(x.Reads))
	return per(x.Transactions)
}

func claimOnce(t *testing.T, s *routerCluster, k *ClaimRouter, organisation string, i int) {
	begin := k.Begin
	if s.direct {
		begin = k.Claims.Begin
	}
	v, err := begin(t.Context(), organisation, fmt.Sprint(i), 1)
	if err != nil || v.Kind != claim.Run {
		t.Errorf("claim %d: got %v, %v", i, v.Kind, err)
		return
	}
	time.Sleep(50 * time.Millisecond)
	if s.direct {
		k.Claims.Finish(v.Ticket, 200, []byte("ok"))
		return
	}
	k.Finish(organisation, v.Ticket, 200, []byte("ok"))
}

// Guards against a writer that releases the claim of a running call: a response of the
// table to the writer is lost, so it refuses; its refusal is lost, too, and the requesting
// node claims by itself before the writer releases the claim that it may have acquired.
func TestClaimWriterReleasesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRouterCluster(3, 1)
		to, _ := s.nodes[0].writer("o")
		if to.Instance.Node == "" {
			to.Instance = s.nodes[0].Self
		}
		var requester *ClaimRouter
		for _, r := range s.nodes {
			if r.Self != to.Instance {
				requester = r
			}
		}
		var writes, healthy atomic.Bool
		s.table.Fault = func(o standin.TableOperation) standin.TableFault {
			bad := o.From == to.Instance.Node && !healthy.Load()
			return standin.TableFault{LoseResponse: bad && o.Write && !writes.Swap(true), Down: bad && !o.Write}
		}
		s.lose = func() (bool, bool) { return false, true }
		v, err := requester.Begin(t.Context(), "o", "k", 1)
		if err != nil || v.Kind != claim.Run {
			t.Errorf("claim past the writer: got %v, %v, want run", v.Kind, err)
		}
		healthy.Store(true)
		time.Sleep(time.Minute)
		v, err = s.at(to).Begin(t.Context(), "o", "k", 1)
		if err != nil || v.Kind != claim.Unknown {
			t.Errorf("resend: got %v, %v, want unknown", v.Kind, err)
		}
		s.close(t)
	})
}

// Guards against a second run of any call when messages between nodes are lost, responses
// of the table are lost or late, and callers resend to any node at any time.
func TestClaimRandom(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { claimRandom(t, seed) })
	}
}

func claimRandom(t *testing.T, seed uint64) {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	chance := func(p float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < p
	}
	number := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n)
	}
	s := newRouterCluster(5, 3)
	s.lose = func() (bool, bool) { return chance(0.1), chance(0.1) }
	s.table.Fault = func(standin.TableOperation) standin.TableFault {
		d := time.Duration(number(40)) * time.Millisecond
		return standin.TableFault{Down: chance(0.03), LoseResponse: chance(0.1), LoseSilent: chance(0.02), Delay: d}
	}
	runs, recorded := map[int]int{}, map[int]int{}
	var w sync.WaitGroup
	for range 400 {
		key, k := number(60), s.nodes[number(5)]
		w.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+number(4000))*time.Millisecond)
			defer cancel()
			v, err := k.Begin(ctx, "o", fmt.Sprint(key), 1)
			if err != nil || v.Kind != claim.Run {
				mu.Lock()
				defer mu.Unlock()
				if v.Kind == claim.Recorded {
					recorded[key]++
				}
				return
			}
			if chance(0.3) {
				k.Release("o", v.Ticket)
				return
			}
			mu.Lock()
			runs[key]++
			mu.Unlock()
			time.Sleep(time.Duration(number(300)) * time.Millisecond)
			k.Finish("o", v.Ticket, 200, nil)
		})
		time.Sleep(time.Duration(number(100)) * time.Millisecond)
	}
	w.Wait()
	s.close(t)
	total := 0
	for key := range 60 {
		total += runs[key]
		if runs[key] > 1 || recorded[key] > 0 && runs[key] == 0 {
			t.Errorf("seed %d, key %d: %d runs, %d recorded responses", seed, key, runs[key], recorded[key])
		}
	}
	if total < 20 {
		t.Errorf("seed %d: got only %d runs of 60 keys", seed, total)
	}
}
