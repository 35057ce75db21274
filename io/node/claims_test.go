package node

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/io/peer"
	"bergamotspring/io/standin"
	"bergamotspring/io/tables"
)

// Guards against claims, responses and refusals that are altered on the way to and from
// a writer, and against a node that cannot claim because its writer is gone.
func TestClaimsOverLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, b := &standin.Network{}, &standin.Table{}
		writer := member.Node{Instance: lease.Instance{Node: "w"}, Peer: "w:1"}
		c := &tables.Claims{Table: b.Direct("w"), Node: "w"}
		w := &peer.Mesh{
			Self: writer.Instance, Key: []byte("k"),
			Listen: func(_, at string) (net.Listener, error) { return n.Listen(at) },
		}
		peer.Handlers{Claim: c.Start, EndClaim: c.End}.Register(w)
		if _, _, err := w.Serve("w:1"); err != nil {
			t.Fatal(err)
		}
		m := &peer.Mesh{Self: lease.Instance{Node: "a"}, Key: []byte("k"), Dial: n.Dialer("a")}
		r := &tables.ClaimRouter{
			Self: m.Self, Claims: &tables.Claims{Table: b.Direct("a"), Node: "a"},
			Nodes: func() []member.Node { return []member.Node{writer} },
			Claim: m.Claim, End: m.EndClaim,
		}
		begin := func(key string, body uint64, want claim.Kind) claim.Verdict {
			t.Helper()
			v, err := r.Begin(t.Context(), "o", key, body)
			if err != nil || v.Kind != want {
				t.Errorf("claim %s: got %v, %v, want %v", key, v.Kind, err, want)
			}
			return v
		}
		v := begin("k", 1, claim.Run)
		r.Finish("o", v.Ticket, 201, []byte("answer"))
		time.Sleep(time.Second)
		if got := begin("k", 1, claim.Recorded); got.Status != 201 || string(got.Response) != "answer" {
			t.Errorf("recorded: got %d %q", got.Status, got.Response)
		}
		begin("k", 2, claim.Conflict)
		v = begin("l", 1, claim.Run)
		begin("l", 1, claim.Unknown)
		r.Release("o", v.Ticket)
		v = begin("l", 1, claim.Run)
		if got := r.Claims.Counts().Begun; got != 0 {
			t.Errorf("claims past the writer: got %d, want 0", got)
		}
		c.Close(t.Context())
		begin("m", 1, claim.Run)
		w.Close()
		begin("n", 1, claim.Run)
		r.Finish("o", v.Ticket, 200, nil)
		r.Close()
		if err := r.Claims.Close(t.Context()); err != nil {
			t.Error(err)
		}
		m.Close()
	})
}
