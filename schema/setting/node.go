// Package setting reads the settings of a node process from flags, environment
// variables and files.
//
// schema/settings.schema.json defines the settings. Their flags, units and bounds are read
// from it, so that no setting is defined twice. Settings, the generated type, holds the
// values as given and Node the checked ones.
package setting

import (
	"encoding/json"
	"fmt"
	"time"
)

// Node holds the checked settings of a node process.
type Node struct {
	ID     string
	Domain string // failure domain
	Region string
	VM     string

	CallerListen   string // [IP]:port
	PeerListen     string
	OperatorListen string
	MetricsListen  string

	PeerAdvertise     string // IP:port
	OperatorAdvertise string

	TableURL   string
	VMsURL     string
	TableToken Secret
	VMsToken   Secret

	PeerKey       Secret
	OperatorToken Secret

	TLS     TLSFiles // caller and operator listeners
	PeerTLS TLSFiles // both ends of links between nodes

	SeedPeers []string // IP:port

	Workers       int
	BodyBytes     int64
	HeaderBytes   int64
	StreamBytes   int64
	InFlightBytes int64
	Drain         time.Duration
	LogLevel      string // debug, info, warn or error
}

// TLSFiles are paths of PEM files, all empty for plain TCP.
type TLSFiles struct {
	Cert, Key, CA string
}

// Set reports whether TLS is to be used.
func (t TLSFiles) Set() bool { return t.Cert != "" }

// toNode converts the values of settings, which must have passed all checks.
func toNode(v map[string]any) (Node, error) {
	var s Settings
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	if err != nil {
		return Node{}, fmt.Errorf("settings: %w", err)
	}
	t, err := time.ParseDuration(s.Drain)
	if err != nil {
		return Node{}, fmt.Errorf("settings: drain: %w", err)
	}
	return Node{
		ID: s.NodeID, Domain: s.FailureDomain, Region: s.Region, VM: s.VM,
		CallerListen: s.CallerListen, PeerListen: s.PeerListen,
		OperatorListen: s.OperatorListen, MetricsListen: s.MetricsListen,
		PeerAdvertise: s.PeerAdvertise, OperatorAdvertise: s.OperatorAdvertise,
		TableURL: s.TableURL, VMsURL: s.VmsURL,
		TableToken: NewSecret(s.TableToken), VMsToken: NewSecret(s.VmsToken),
		PeerKey: NewSecret(s.PeerKey), OperatorToken: NewSecret(s.OperatorToken),
		TLS:       TLSFiles{Cert: s.TLSCertFile, Key: s.TLSKeyFile},
		PeerTLS:   TLSFiles{Cert: s.PeerTLSCertFile, Key: s.PeerTLSKeyFile, CA: s.PeerTLSCAFile},
		SeedPeers: s.SeedPeers, Workers: s.Workers,
		BodyBytes: int64(s.BodyBytes), HeaderBytes: int64(s.HeaderBytes),
		StreamBytes: int64(s.StreamBytes), InFlightBytes: int64(s.InFlightBytes),
		Drain: t, LogLevel: string(s.LogLevel),
	}, nil
}
