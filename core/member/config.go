package member

import "time"

// Source says where a version of the configuration was learnt.
type Source uint8

// The sources.
const (
	FromTable Source = iota + 1
	FromConfirmedPeer
	FromPeer // a peer that has not confirmed its version against the table lately
)

// ConfigState is how far a node may trust its version.
type ConfigState uint8

// The standings.
const (
	Confirmed   ConfigState = iota // table or confirmed peer within 5 s
	Unconfirmed                    // alarm; serves its own region for any length of time
	Isolated                       // for 60 s: sends no new work to other regions
)

// String returns the name used in logs and status.
func (s ConfigState) String() string {
	return [...]string{"confirmed", "unconfirmed", "isolated"}[min(int(s), 2)]
}

// The bounds of the standings.
const (
	UnconfirmedAfter = 5 * time.Second
	IsolatedAfter    = time.Minute
)

// Config is which version a node has in force and how sure it is of it. Times are
// on one monotonic time line. The version never falls.
type Config struct {
	Version   uint64
	Regressed bool // the table answers with an older version

	started   bool
	table     time.Duration // last read of the table that was not regressed
	tableSet  bool
	confirmed time.Duration // last confirmation by table or peer, or the start
}

// Start begins the time line: a node counts as unconfirmed 5 s after it.
func (c *Config) Start(now time.Duration) {
	if !c.started {
		c.started, c.confirmed = true, now
	}
}

// Offer takes a version that source has, and reports whether to install it, which
// is so only if it is higher than the one in force.
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
		c.table, c.tableSet = now, true
		c.confirmed = now
	case FromConfirmedPeer:
		if !install { // else confirmed once it is fetched
			c.confirmed = now
		}
	}
	return install
}

// Installed notes that version v is in force. A lower one is ignored.
func (c *Config) Installed(v uint64) bool {
	if v <= c.Version {
		return false
	}
	c.Version = v
	return true
}

// TableFresh reports whether the version was confirmed against the table within 5 s,
// which is what a digest tells peers.
func (c *Config) TableFresh(now time.Duration) bool {
	return c.tableSet && !c.Regressed && now-c.table <= UnconfirmedAfter
}

// State returns how far the version may be trusted at now.
func (c *Config) State(now time.Duration) ConfigState {
	switch d := now - c.confirmed; {
	case d >= IsolatedAfter:
		return Isolated
	case d > UnconfirmedAfter:
		return Unconfirmed
	}
	return Confirmed
}

// Start is the question of a starting node that cannot read the table: which
// version may it begin with?
type Start struct {
	Peers   []string // addresses of the nodes of its region in its settings
	answers map[string]answer
}

type answer struct {
	version   uint64
	confirmed bool
	dead      bool
}

// Answer notes the version that a peer has in force.
func (s *Start) Answer(peer string, version uint64, confirmed bool) {
	s.put(peer, answer{version: version, confirmed: confirmed})
}

// Dead notes that the node at an address is proven dead.
func (s *Start) Dead(peer string) { s.put(peer, answer{dead: true}) }

func (s *Start) put(peer string, a answer) {
	if s.answers == nil {
		s.answers = map[string]answer{}
	}
	s.answers[peer] = a
}

// Choose returns the peer whose version to begin with: a confirmed one, or the
// highest once every listed peer has answered or is dead. A version answered as 0
// means that the peer has none.
func (s *Start) Choose() (peer string, version uint64, ok bool) {
	all := len(s.Peers) > 0
	confirmed := false
	for _, p := range s.Peers {
		a, known := s.answers[p]
		all = all && known
		if a.version > 0 && (a.confirmed && !confirmed || a.confirmed == confirmed && a.version > version) {
			peer, version, confirmed = p, a.version, a.confirmed
		}
	}
	return peer, version, version > 0 && (confirmed || all)
}
