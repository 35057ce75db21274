package member

import "time"

// Source says where a version of the configuration was received from.
type Source uint8

// The sources.
const (
	FromTable Source = iota + 1
	FromConfirmedPeer
	FromPeer // a peer that has not confirmed its version against the table lately
)

// ConfigState says how far a node may trust its version.
type ConfigState uint8

// The configuration states.
const (
	Confirmed   ConfigState = iota // confirmed by the table or a confirmed peer within 5 s
	Unconfirmed                    // raises an alarm; serves its own region without a time limit
	Isolated                       // not confirmed for 60 s: sends no new work to other regions
)

// String returns the name used in logs and status.
func (s ConfigState) String() string {
	return [...]string{"confirmed", "unconfirmed", "isolated"}[min(int(s), 2)]
}

// Times without confirmation after which the configuration state changes.
const (
	UnconfirmedAfter = 5 * time.Second
	IsolatedAfter    = time.Minute
)

// Config is the version that a node has in force and when it was last confirmed.
// Times are on one monotonic time line. The version never decreases.
type Config struct {
	Version   uint64
	Regressed bool // the table responds with an older version

	started     bool
	tableReadAt time.Duration // last read of the table that was not regressed
	tableRead   bool
	confirmedAt time.Duration // last confirmation by table or peer, or the start
}

// Start sets the start of the time line: without a confirmation, a node counts as
// unconfirmed 5 s after it.
func (c *Config) Start(now time.Duration) {
	if !c.started {
		c.started, c.confirmedAt = true, now
	}
}

// Offer takes a version that s has, and reports whether to install it, which is so
// only if it is higher than the one in force.
func (c *Config) Offer(now time.Duration, v uint64, s Source) (install bool) {
	if s == FromTable {
		c.Regressed = v < c.Version
	}
	if v < c.Version {
		return false
	}
	install = v > c.Version
	switch s {
	case FromTable:
		c.tableReadAt, c.tableRead = now, true
		c.confirmedAt = now
	case FromConfirmedPeer:
		if !install { // a higher version is confirmed once it is fetched
			c.confirmedAt = now
		}
	}
	return install
}

// Installed records that version v is in force, and reports whether it is higher than
// the one before. Any other version is ignored.
func (c *Config) Installed(v uint64) bool {
	if v <= c.Version {
		return false
	}
	c.Version = v
	return true
}

// TableFresh reports whether the version was confirmed against the table within 5 s.
// Digests carry it to peers.
func (c *Config) TableFresh(now time.Duration) bool {
	return c.tableRead && !c.Regressed && now-c.tableReadAt <= UnconfirmedAfter
}

// State returns the configuration state at now.
func (c *Config) State(now time.Duration) ConfigState {
	switch d := now - c.confirmedAt; {
	case d >= IsolatedAfter:
		return Isolated
	case d > UnconfirmedAfter:
		return Unconfirmed
	}
	return Confirmed
}

// Start determines the version with which a node that cannot read the table may
// start, from the responses of its peers.
type Start struct {
	Peers     []string // addresses of the nodes of its region in its settings
	responses map[string]peerResponse
}

type peerResponse struct {
	version   uint64
	confirmed bool
	dead      bool
}

// OnResponse records the version that a peer has in force.
func (s *Start) OnResponse(peer string, version uint64, confirmed bool) {
	s.put(peer, peerResponse{version: version, confirmed: confirmed})
}

// Dead records that the node at an address is proven dead.
func (s *Start) Dead(peer string) { s.put(peer, peerResponse{dead: true}) }

func (s *Start) put(peer string, a peerResponse) {
	if s.responses == nil {
		s.responses = map[string]peerResponse{}
	}
	s.responses[peer] = a
}

// Choose returns the peer whose version to start with: a confirmed one, or the
// highest once every listed peer has responded or is dead. A version of 0 in a
// response means that the peer has none.
func (s *Start) Choose() (peer string, version uint64, ok bool) {
	all := len(s.Peers) > 0
	confirmed := false
	for _, p := range s.Peers {
		a, known := s.responses[p]
		all = all && known
		if a.version > 0 && (a.confirmed && !confirmed || a.confirmed == confirmed && a.version > version) {
			peer, version, confirmed = p, a.version, a.confirmed
		}
	}
	return peer, version, version > 0 && (confirmed || all)
}
