package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotspring/core/record"
)

// FaultKind is what a stand-in does wrong with one call.
type FaultKind uint8

// The faults of an answer.
const (
	NoFault     FaultKind = iota
	CrossedID             // the answer carries the id of another call
	Late                  // the answer comes Delay after it was due
	Truncated             // the connection ends inside the answer
	NoEnd                 // the answer ends cleanly but without its end marker
	SilentAt              // nothing more is sent, and the connection stays open
	CrashAt               // the whole server crashes
	Doubled               // one token event is sent twice
	Skipped               // one token event is left out
	ErrorAnswer           // status 500
)

// String returns the name used in records.
func (k FaultKind) String() string {
	return [...]string{"none", "crossed id", "late", "truncated", "no end", "silent", "crash", "doubled", "skipped", "error answer"}[k]
}

// Fault is one injected fault. At is the number of tokens sent before it acts.
type Fault struct {
	Kind  FaultKind
	At    int
	Delay time.Duration
}

// Host is what every stand-in of a backend server has: load, cold state, crashes
// and the count of runs. The zero value is a warm server without limits.
type Host struct {
	Name, Domain string
	MaxColdCalls int // calls in flight above which a cold server crashes, 0: any
	ColdFactor   int // service times of a cold server are this many times longer
	Capacity     int // calls in flight above which all become slower in proportion, 0: any
	WarmAfter    int // answers after which a cold server is warm, 0: stays cold
	// Notice is how long a server that turned cold without warning still bears any
	// load: the fleet has to notice within it.
	Notice time.Duration
	// Crash is called when the server crashes, to cut and refuse connections; Back
	// when it comes back.
	Crash, Back func()
	// Record receives what the server saw. It must not call the server.
	Record func(record.Event)
	Now    func() time.Time
	Sleep  func(time.Duration)

	mu       sync.Mutex
	cold     bool
	weakAt   time.Time // since when a cold server bears only MaxColdCalls
	down     bool
	broke    bool // the last crash broke calls
	life     int  // rises with each crash
	visits   map[*visit]struct{}
	inflight int
	peak     int
	answers  int // since the server turned cold
	crashes  int
	runs     map[string]int
}

// SetCold puts the server in a cold start, or ends it.
func (h *Host) SetCold(c bool) { h.setCold(c, "") }

// TurnCold turns a warm server cold without warning.
func (h *Host) TurnCold() { h.setCold(true, record.Unannounced) }

// setCold records the change under the lock, so that a record shows it in order with
// the calls. Detail says what the fleet could know of it.
func (h *Host) setCold(c bool, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c != h.cold {
		k := record.ServerWarm
		if c {
			k = record.ServerCold
		}
		h.record(record.Event{Kind: k, Detail: detail})
	}
	h.cold = c
	h.answers = 0
	h.weakAt = h.now()
	if detail == record.Unannounced {
		h.weakAt = h.weakAt.Add(h.Notice)
	}
}

// Cold reports whether the server is in a cold start.
func (h *Host) Cold() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cold
}

// IsDown reports whether the server crashed and was not restarted.
func (h *Host) IsDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// Restart brings a crashed server back, cold. Of a crash in which no call broke the
// fleet could know nothing.
func (h *Host) Restart() {
	h.mu.Lock()
	h.down = false
	detail := record.Unannounced
	if h.broke {
		detail = ""
	}
	h.mu.Unlock()
	h.setCold(true, detail)
	if h.Back != nil {
		h.Back()
	}
}

// Runs returns how often a call with key started.
func (h *Host) Runs(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[key]
}

// Crashes returns how often the server crashed.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Load returns the calls in flight and the most there have been at once.
func (h *Host) Load() (inflight, peak int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inflight, h.peak
}

// Down takes the server down as a crash does.
func (h *Host) Down() {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	h.life++
	h.crashes++
	byCall := func(a, b *visit) int { return strings.Compare(a.call, b.call) }
	for _, v := range slices.SortedFunc(maps.Keys(h.visits), byCall) {
		h.record(record.Event{Kind: record.CallEnded, Call: v.call, Key: v.key, Detail: "crash"})
	}
	h.broke = len(h.visits) > 0
	h.visits, h.inflight = nil, 0
	h.mu.Unlock()
	h.record(record.Event{Kind: record.FaultInjected, Detail: "server crashed"})
	if h.Crash != nil {
		h.Crash()
	}
}

// visit is one call in progress at a server.
type visit struct {
	host      *Host
	call, key string
	life      int
}

// enter starts a call, or aborts the connection if the server is down. A cold
// server over what it bears crashes.
func (h *Host) enter(call, key, input string) *visit {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	h.inflight++
	h.peak = max(h.peak, h.inflight)
	if h.runs == nil {
		h.runs = map[string]int{}
	}
	if key != "" {
		h.runs[key]++
	}
	over := h.cold && h.MaxColdCalls > 0 && h.inflight > h.MaxColdCalls && !h.now().Before(h.weakAt)
	v := &visit{host: h, call: call, key: key, life: h.life}
	if h.visits == nil {
		h.visits = map[*visit]struct{}{}
	}
	h.visits[v] = struct{}{}
	h.record(record.Event{Kind: record.CallStarted, Call: call, Key: key, Detail: input})
	h.mu.Unlock()
	if over {
		h.Down()
	}
	return v
}

// leave ends a call. A crash has ended those that ran then.
func (v *visit) leave() {
	h := v.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.life != h.life {
		return
	}
	delete(h.visits, v)
	h.inflight--
	h.record(record.Event{Kind: record.CallEnded, Call: v.call, Key: v.key})
	if !h.cold {
		return
	}
	h.answers++
	h.cold = h.WarmAfter == 0 || h.answers < h.WarmAfter
	if !h.cold {
		h.record(record.Event{Kind: record.ServerWarm})
	}
}

// check aborts the call if the server crashed since it started.
func (v *visit) check() {
	v.host.mu.Lock()
	dead := v.host.down || v.life != v.host.life
	v.host.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
}

// work sleeps for the service time d, longer when cold.
func (v *visit) work(d time.Duration) {
	if v.host.Cold() && v.host.ColdFactor > 1 {
		d *= time.Duration(v.host.ColdFactor)
	}
	v.host.sleep(v.host.shared(d))
	v.check()
}

// shared returns the service time d when the calls over the capacity share it.
func (h *Host) shared(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Capacity <= 0 || h.inflight <= h.Capacity {
		return d
	}
	return d * time.Duration(h.inflight) / time.Duration(h.Capacity)
}

func (h *Host) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	if h.Sleep != nil {
		h.Sleep(d)
		return
	}
	time.Sleep(d)
}

func (h *Host) now() time.Time {
	if h.Now != nil {
		return h.Now()
	}
	return time.Now()
}

func (h *Host) record(e record.Event) {
	if h.Record == nil {
		return
	}
	e.At, e.Actor, e.Server, e.Domain = h.now(), h.Name, h.Name, h.Domain
	h.Record(e)
}
