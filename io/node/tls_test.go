package node

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/io/peer"
	"bergamotspring/io/standin"
	"bergamotspring/schema/setting"
)

// issueTLSFiles writes a certificate issued by a for an address, its key and the
// certificate of a, and returns the paths.
func issueTLSFiles(t *testing.T, a *standin.Authority, address string) setting.TLSFiles {
	cert, key, err := a.Issue(address)
	if err != nil {
		t.Fatal(err)
	}
	d := t.TempDir()
	f := setting.TLSFiles{Cert: filepath.Join(d, "cert"), Key: filepath.Join(d, "key"), CA: filepath.Join(d, "ca")}
	for p, b := range map[string][]byte{f.Cert: cert, f.Key: key, f.CA: a.PEM} {
		if err := os.WriteFile(p, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// Guards against peer links that ignore their TLS settings, and that accept a certificate
// of another authority or for another address.
func TestPeerTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, err := standin.NewAuthority()
		b, other := standin.NewAuthority()
		if err != nil || other != nil {
			t.Fatal(err, other)
		}
		good := issueTLSFiles(t, a, "10.0.0.2")
		mixed := issueTLSFiles(t, b, "10.0.0.1")
		mixed.CA = good.CA
		for _, c := range []struct {
			name           string
			dials, accepts setting.TLSFiles
			want           bool
		}{
			{"same authority", issueTLSFiles(t, a, "10.0.0.1"), good, true},
			{"no TLS", setting.TLSFiles{}, setting.TLSFiles{}, true},
			{"plain dialler", setting.TLSFiles{}, good, false},
			{"plain acceptor", issueTLSFiles(t, a, "10.0.0.1"), setting.TLSFiles{}, false},
			{"dialler of another authority", mixed, good, false},
			{"acceptor of another authority", issueTLSFiles(t, b, "10.0.0.1"), good, false},
			{"acceptor with another address", issueTLSFiles(t, a, "10.0.0.1"), issueTLSFiles(t, a, "10.0.0.9"), false},
		} {
			if got := canConnect(t, c.dials, c.accepts); got != c.want {
				t.Errorf("%s: got a link %v, want %v", c.name, got, c.want)
			}
		}
	})
}

// canConnect reports whether 10.0.0.1 gets a response from 10.0.0.2.
func canConnect(t *testing.T, dials, accepts setting.TLSFiles) bool {
	n := &standin.Network{}
	defer n.Close()
	var m [2]*peer.Mesh
	for i, f := range []setting.TLSFiles{dials, accepts} {
		d, a, err := peerTLS(f)
		if err != nil {
			t.Fatal(err)
		}
		m[i] = &peer.Mesh{
			Self: lease.Instance{Node: "n", Incarnation: "i"}, Key: []byte("key"), DialTLS: d, AcceptTLS: a,
			Dial: n.Dialer("10.0.0.1"), Listen: func(_, a string) (net.Listener, error) { return n.Listen(a) },
		}
		defer m[i].Close()
	}
	peer.Handlers{State: func(bool) peer.State { return peer.State{Version: 7} }}.Register(m[1])
	if _, _, err := m[1].Serve("10.0.0.2:1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Millisecond)
	s, err := m[0].FetchState(t.Context(), member.Node{Peer: "10.0.0.2:1"}, false)
	return err == nil && s.Version == 7
}
