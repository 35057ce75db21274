package demo

// This file serves the stand-ins of a declaration over loopback TCP, so that nodes
// can run as processes of their own.

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/io/operator/command"
	"bergamotspring/io/standin"
	"bergamotspring/schema"
)

const (
	loopback = "127.0.0.1"
	// restartAfter is how long a crashed stand-in stays down.
	restartAfter = 3 * time.Second

	caFile   = "ca.pem"
	certFile = "cert.pem"
	keyFile  = "key.pem"
)

// answerTokens is the length of every answer of the engines' stand-ins.
const answerTokens = 24

// outside is the running stand-ins and what was drawn for the nodes.
type outside struct {
	command.Standins
	out      io.Writer
	table    standin.Table
	list     standin.VMList
	servers  []*http.Server
	failed   chan error
	next     int // port
	tableURL string
	vmsURL   string
	key      string
	token    string
	nodes    []outsideNode
}

// outsideNode is what one node is told.
type outsideNode struct {
	id, domain, region, vm          string
	caller, peer, operator, metrics string
}

// Serve serves the stand-ins and writes the files until ctx ends.
func Serve(ctx context.Context, w io.Writer, s command.Standins) error {
	o := &outside{Standins: s, out: w, failed: make(chan error, 1), next: s.Port, key: rand.Text(), token: rand.Text()}
	defer o.stop()
	var err error
	if o.Dir, err = filepath.Abs(s.Dir); err != nil { // settings hold in any directory
		return err
	}
	d, err := o.start()
	if err != nil {
		return err
	}
	if err := o.place(); err != nil {
		return err
	}
	if err := o.write(d); err != nil {
		return err
	}
	o.tell()
	select {
	case <-ctx.Done():
		return nil
	case err := <-o.failed:
		return err
	}
}

// start serves everything and returns the declaration with the addresses.
func (o *outside) start() (*fleet.Declaration, error) {
	t, err := o.serve(o.table.Handler())
	if err != nil {
		return nil, err
	}
	l, err := o.serve(o.list.Handler())
	if err != nil {
		return nil, err
	}
	o.tableURL, o.vmsURL = "http://"+t, "http://"+l
	d := *o.Declaration
	d.Servers = slices.Clone(d.Servers)
	v := fleet.NewView(o.Declaration, 0)
	for i := range d.Servers {
		b := &d.Servers[i]
		o.list.Set(b.VM, "live")
		if b.Address, err = o.serve(standInOf(b, v.Pools[b.Pool])); err != nil {
			return nil, err
		}
	}
	return &d, nil
}

// standInOf returns a warm server of a pool that restarts by itself after a crash.
func standInOf(b *fleet.BackendServer, p *fleet.Pool) http.Handler {
	set := func(h *standin.Host) {
		h.Name, h.Domain, h.MaxColdCalls, h.ColdFactor, h.WarmAfter = b.Name, b.Domain, p.ColdLimit, 4, 4*p.ColdLimit
		h.Crash = func() { time.AfterFunc(restartAfter, h.Restart) }
	}
	if p.Protocol == fleet.ProtocolEngine {
		e := newEngine(p)
		set(&e.Host)
		return e.Handler()
	}
	j := &standin.JSON{Service: p.Expect}
	set(&j.Host)
	return j.Handler()
}

// newEngine returns an engine that takes about as long as its pool is expected to.
func newEngine(p *fleet.Pool) *standin.Engine {
	return &standin.Engine{Prefill: p.Expect / 8, Gap: 20 * time.Millisecond, Tokens: answerTokens, ChecksFencing: p.ChecksFencing}
}

// address returns the address to listen on next.
func (o *outside) address() string {
	a := fmt.Sprintf("%s:%d", loopback, o.next)
	if o.next > 0 {
		o.next++
	}
	return a
}

func (o *outside) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", o.address())
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	o.servers = append(o.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case o.failed <- err:
			default:
			}
		}
	}()
	return l.Addr().String(), nil
}

// place spreads the nodes over the failure domains and finds ports for them.
func (o *outside) place() error {
	var held []net.Listener // until all are found, so that none is found twice
	defer func() {
		for _, l := range held {
			_ = l.Close() // nothing was accepted
		}
	}()
	for i := range o.Nodes {
		d := o.Declaration.Domains[i%len(o.Declaration.Domains)]
		n := outsideNode{id: fmt.Sprintf("n%d", i+1), domain: d.Name, region: d.Region}
		n.vm = "vm-" + n.id
		o.list.Set(n.vm, "live")
		for _, a := range []*string{&n.caller, &n.peer, &n.operator, &n.metrics} {
			l, err := net.Listen("tcp", o.address())
			if err != nil {
				return err
			}
			held = append(held, l)
			*a = l.Addr().String()
		}
		o.nodes = append(o.nodes, n)
	}
	return nil
}

func (o *outside) write(d *fleet.Declaration) error {
	b, err := schema.Encode(d)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(o.file("declaration.json"), b, 0o600); err != nil {
		return err
	}
	if o.TLS {
		if err := o.writeCertificates(); err != nil {
			return err
		}
	}
	for _, n := range o.nodes {
		if err := o.writeEnv(n.id, o.settings(n)); err != nil {
			return err
		}
	}
	l := [][2]string{{"OPERATOR", o.scheme() + o.nodes[0].operator}, {"OPERATOR_TOKEN", o.token}}
	if o.TLS {
		l = append(l, [2]string{"CA_FILE", o.file(caFile)})
	}
	return o.writeEnv("operator", l)
}

// writeCertificates writes one certificate for all nodes, as they share an address.
func (o *outside) writeCertificates() error {
	a, err := standin.NewAuthority()
	if err != nil {
		return err
	}
	c, k, err := a.Issue(loopback)
	if err != nil {
		return err
	}
	for n, b := range map[string][]byte{caFile: a.PEM, certFile: c, keyFile: k} {
		if err := os.WriteFile(o.file(n), b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (o *outside) file(name string) string { return filepath.Join(o.Dir, name) }

func (o *outside) scheme() string {
	if o.TLS {
		return "https://"
	}
	return "http://"
}

// settings returns the environment of a node, without the common prefix.
func (o *outside) settings(n outsideNode) [][2]string {
	var seeds []string
	for _, x := range o.nodes {
		if x.id != n.id && x.region == n.region {
			seeds = append(seeds, x.peer)
		}
	}
	l := [][2]string{
		{"NODE_ID", n.id}, {"FAILURE_DOMAIN", n.domain}, {"REGION", n.region}, {"VM", n.vm},
		{"CALLER_LISTEN", n.caller}, {"PEER_LISTEN", n.peer}, {"OPERATOR_LISTEN", n.operator}, {"METRICS_LISTEN", n.metrics},
		{"PEER_ADVERTISE", n.peer}, {"OPERATOR_ADVERTISE", n.operator},
		{"TABLE_URL", o.tableURL}, {"VMS_URL", o.vmsURL}, {"SEED_PEERS", strings.Join(seeds, ",")},
		{"PEER_KEY", o.key}, {"OPERATOR_TOKEN", o.token},
	}
	if o.TLS {
		l = append(l, [][2]string{
			{"TLS_CERT_FILE", o.file(certFile)}, {"TLS_KEY_FILE", o.file(keyFile)},
			{"PEER_TLS_CERT_FILE", o.file(certFile)}, {"PEER_TLS_KEY_FILE", o.file(keyFile)}, {"PEER_TLS_CA_FILE", o.file(caFile)},
		}...)
	}
	return l
}

func (o *outside) writeEnv(name string, l [][2]string) error {
	var b strings.Builder
	for _, x := range l {
		fmt.Fprintf(&b, "export BERGAMOTSPRING_%s='%s'\n", x[0], strings.ReplaceAll(x[1], "'", `'\''`))
	}
	return os.WriteFile(o.file(name+".env"), []byte(b.String()), 0o600)
}

// tell prints what was started and written. Secrets are in the files only.
func (o *outside) tell() {
	say := func(format string, a ...any) { _, _ = fmt.Fprintf(o.out, format+"\n", a...) } // output of a trial
	say("table service %s, VM list %s, %d backend servers on %s", o.tableURL, o.vmsURL, len(o.Declaration.Servers), loopback)
	say("declaration with their addresses: %s", o.file("declaration.json"))
	for _, n := range o.nodes {
		say("node %s in %s, %s: callers %s%s, operators %s%s, metrics http://%s, settings in %s",
			n.id, n.domain, n.region, o.scheme(), n.caller, o.scheme(), n.operator, n.metrics, o.file(n.id+".env"))
	}
	say("settings of the operators' commands: %s", o.file("operator.env"))
	say("serving until SIGINT or SIGTERM")
}

func (o *outside) stop() {
	for _, s := range o.servers {
		_ = s.Close() // closes the listeners, which cannot fail here
	}
}
