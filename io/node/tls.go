package node

// This file builds the TLS configurations of a node's listeners and peer links.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"bergamotspring/schema/setting"
)

// serverTLS returns the configuration of the callers' and operators' listeners, nil
// for plain TCP.
func serverTLS(f setting.TLSFiles) (*tls.Config, error) {
	if !f.Set() {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("node: TLS: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the configurations of links that a node dials and accepts, nil for
// plain TCP. Both ends present a certificate signed by the configured authorities. That
// of the accepting end must also contain the IP address that was dialled.
func peerTLS(f setting.TLSFiles) (dialTLS, acceptTLS *tls.Config, err error) {
	if !f.Set() {
		return nil, nil, nil
	}
	c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("node: peer TLS: %w", err)
	}
	b, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("node: peer TLS: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, nil, fmt.Errorf("node: peer TLS: %s holds no PEM certificate", f.CA)
	}
	l := []tls.Certificate{c}
	dialTLS = &tls.Config{Certificates: l, RootCAs: p, MinVersion: tls.VersionTLS13}
	acceptTLS = &tls.Config{
		Certificates: l, ClientCAs: p, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	return dialTLS, acceptTLS, nil
}
