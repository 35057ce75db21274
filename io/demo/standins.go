package demo

// This file implements the standins command: it serves the stand-ins of a declaration
// over loopback TCP, for nodes that run as separate processes.

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
	// restartDelay is how long a crashed stand-in stays down.
	restartDelay = 3 * time.Second

	caFile   = "ca.pem"
	certFile = "cert.pem"
	keyFile  = "key.pem"
)

// responseTokens is the number of tokens of each response of a model server stand-in.
const responseTokens = 24

// standinServers holds the running stand-ins and the generated settings of the nodes.
type standinServers struct {
	command.Standins
	out      io.Writer
	table    standin.Table
	list     standin.VMList
	servers  []*http.Server
	serveErr chan error
	nextPort int // 0: the system chooses ports
	tableURL string
	vmsURL   string
	key      string
	token    string
	nodes    []nodeConfig
}

// nodeConfig holds the generated settings of one node.
type nodeConfig struct {
	id, domain, region, vm          string
	caller, peer, operator, metrics string
}

// Serve starts the stand-ins, writes the declaration and the settings files, and serves
// until ctx ends.
func Serve(ctx context.Context, w io.Writer, s command.Standins) error {
	o := &standinServers{Standins: s, out: w, serveErr: make(chan error, 1), nextPort: s.Port, key: rand.Text(), token: rand.Text()}
	defer o.stop()
	var err error
	if o.Dir, err = filepath.Abs(s.Dir); err != nil { // so that the settings work from any directory
		return err
	}
	d, err := o.start()
	if err != nil {
		return err
	}
	if err := o.assignNodes(); err != nil {
		return err
	}
	if err := o.write(d); err != nil {
		return err
	}
	o.printSummary()
	select {
	case <-ctx.Done():
		return nil
	case err := <-o.serveErr:
		return err
	}
}

// start starts all stand-ins and returns the declaration with their addresses.
func (o *standinServers) start() (*fleet.Declaration, error) {
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
		if b.Address, err = o.serve(newServerHandler(b, v.Pools[b.Pool])); err != nil {
			return nil, err
		}
	}
	return &d, nil
}

// newServerHandler returns the handler of a warm server of a pool. The server restarts
// restartDelay after a crash.
func newServerHandler(b *fleet.BackendServer, p *fleet.Pool) http.Handler {
	configure := func(h *standin.Host) {
		h.Name, h.Domain, h.MaxColdCalls, h.ColdFactor, h.WarmAfter = b.Name, b.Domain, p.ColdLimit, 4, 4*p.ColdLimit
		h.OnCrash = func() { time.AfterFunc(restartDelay, h.Restart) }
	}
	if p.Protocol == fleet.ProtocolEngine {
		e := newEngine(p)
		configure(&e.Host)
		return e.Handler()
	}
	j := &standin.JSON{Service: p.Expect}
	configure(&j.Host)
	return j.Handler()
}

// newEngine returns a model server whose service time is close to what the pool expects.
func newEngine(p *fleet.Pool) *standin.Engine {
	return &standin.Engine{Prefill: p.Expect / 8, Gap: 20 * time.Millisecond, Tokens: responseTokens, ChecksFencing: p.ChecksFencing}
}

// nextAddress returns the next address to listen on.
func (o *standinServers) nextAddress() string {
	a := fmt.Sprintf("%s:%d", loopback, o.nextPort)
	if o.nextPort > 0 {
		o.nextPort++
	}
	return a
}

func (o *standinServers) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", o.nextAddress())
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	o.servers = append(o.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case o.serveErr <- err:
			default:
			}
		}
	}()
	return l.Addr().String(), nil
}

// assignNodes distributes the nodes over the failure domains and assigns their ports.
func (o *standinServers) assignNodes() error {
	var held []net.Listener // until all are assigned, so that no port is assigned twice
	defer func() {
		for _, l := range held {
			_ = l.Close() // nothing was accepted
		}
	}()
	for i := range o.Nodes {
		d := o.Declaration.Domains[i%len(o.Declaration.Domains)]
		n := nodeConfig{id: fmt.Sprintf("n%d", i+1), domain: d.Name, region: d.Region}
		n.vm = "vm-" + n.id
		o.list.Set(n.vm, "live")
		for _, a := range []*string{&n.caller, &n.peer, &n.operator, &n.metrics} {
			l, err := net.Listen("tcp", o.nextAddress())
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

func (o *standinServers) write(d *fleet.Declaration) error {
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

// writeCertificates writes one certificate for all nodes, since they share an address.
func (o *standinServers) writeCertificates() error {
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

func (o *standinServers) file(name string) string { return filepath.Join(o.Dir, name) }

func (o *standinServers) scheme() string {
	if o.TLS {
		return "https://"
	}
	return "http://"
}

// settings returns the environment variables of a node, without the common prefix.
func (o *standinServers) settings(n nodeConfig) [][2]string {
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

func (o *standinServers) writeEnv(name string, l [][2]string) error {
	var b strings.Builder
	for _, x := range l {
		fmt.Fprintf(&b, "export BERGAMOTSPRING_%s='%s'\n", x[0], strings.ReplaceAll(x[1], "'", `'\''`))
	}
	return os.WriteFile(o.file(name+".env"), []byte(b.String()), 0o600)
}

// printSummary prints the addresses and files. Secrets are written to the files only.
func (o *standinServers) printSummary() {
	printf := func(format string, a ...any) { _, _ = fmt.Fprintf(o.out, format+"\n", a...) } // an error of the output is ignored
	printf("table service %s, VM list %s, %d backend servers on %s", o.tableURL, o.vmsURL, len(o.Declaration.Servers), loopback)
	printf("declaration with their addresses: %s", o.file("declaration.json"))
	for _, n := range o.nodes {
		printf("node %s in %s, %s: callers %s%s, operators %s%s, metrics http://%s, settings in %s",
			n.id, n.domain, n.region, o.scheme(), n.caller, o.scheme(), n.operator, n.metrics, o.file(n.id+".env"))
	}
	printf("settings of the operators' commands: %s", o.file("operator.env"))
	printf("serving until SIGINT or SIGTERM")
}

func (o *standinServers) stop() {
	for _, s := range o.servers {
		_ = s.Close() // closes the listeners, which cannot fail here
	}
}
