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

// FaultKind is a kind of fault that a stand-in injects into one call.
type FaultKind uint8

// The kinds of fault.
const (
	NoFault       FaultKind = iota
	CrossedID               // the response carries the id of another call
	Late                    // the response is delayed by Delay
	Truncated               // the connection closes in the middle of the response
	NoEnd                   // the response ends cleanly but without its end marker
	SilentAt                // nothing more is sent, and the connection stays open
	CrashAt                 // the whole server crashes
	Doubled                 // one token event is sent twice
	Skipped                 // one token event is omitted
	ErrorResponse           // status 500
)

// String returns the name used in records.
func (k FaultKind) String() string {
	return [...]string{"none", "crossed id", "late", "truncated", "no end", "silent", "crash", "doubled", "skipped", "error answer"}[k]
}

// Fault is one injected fault. At is the number of tokens that a model server sends in the
// call before the fault takes effect; ErrorResponse and NoEnd ignore it. The JSON stand-in
// ignores At, Doubled and Skipped, and adds Delay to the service time whatever the kind.
type Fault struct {
	Kind  FaultKind
	At    int
	Delay time.Duration
}

// Host holds the state common to the stand-ins of backend servers: load, cold state,
// crashes and the number of runs per key. The zero value is a warm server without limits.
type Host struct {
	Name, Domain string
	MaxColdCalls int // calls in flight above which a cold server crashes, 0: any
	ColdFactor   int // service times of a cold server are multiplied by it; 0 and 1: no effect
	Capacity     int // calls in flight above which service times grow in proportion, 0: any
	WarmAfter    int // responses after which a cold server is warm, 0: stays cold
	// ColdNotice is how long a server that turned cold without warning still sustains
	// any load: the fleet has to detect the change within it.
	ColdNotice time.Duration
	// OnCrash is called when the server crashes, to reset and refuse connections;
	// OnRestart is called when it restarts.
	OnCrash, OnRestart func()
	// Record receives the events of the server. It must not call the server.
	Record func(record.Event)
	Now    func() time.Time
	Sleep  func(time.Duration)

	mu            sync.Mutex
	cold          bool
	coldLimitFrom time.Time // when MaxColdCalls starts to apply to a cold server
	down          bool
	brokeCalls    bool // whether the last crash aborted calls
	generation    int  // number of crashes so far; tells calls from before a crash apart
	active        map[*activeCall]struct{}
	inflight      int
	peak          int
	coldResponses int // since the server turned cold
	crashes       int
	runs          map[string]int
}

// SetCold starts or ends a cold start that the fleet can know of.
func (h *Host) SetCold(c bool) { h.setCold(c, "") }

// TurnCold turns a warm server cold without warning.
func (h *Host) TurnCold() { h.setCold(true, record.Unannounced) }

// setCold records the change under the lock, so that it is ordered with the calls in the
// record. Detail is record.Unannounced if the fleet had no way to know of the change.
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
	h.coldResponses = 0
	h.coldLimitFrom = h.now()
	if detail == record.Unannounced {
		h.coldLimitFrom = h.coldLimitFrom.Add(h.ColdNotice)
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

// Restart restarts a crashed server, cold. The fleet cannot know of a crash that
// aborted no call.
func (h *Host) Restart() {
	h.mu.Lock()
	h.down = false
	detail := record.Unannounced
	if h.brokeCalls {
		detail = ""
	}
	h.mu.Unlock()
	h.setCold(true, detail)
	if h.OnRestart != nil {
		h.OnRestart()
	}
}

// Runs returns how many calls with key started.
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

// Load returns the current and the highest number of calls in flight.
func (h *Host) Load() (inflight, peak int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inflight, h.peak
}

// TakeDown crashes the server, unless it is down already.
func (h *Host) TakeDown() {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	h.generation++
	h.crashes++
	byCall := func(a, b *activeCall) int { return strings.Compare(a.call, b.call) }
	for _, v := range slices.SortedFunc(maps.Keys(h.active), byCall) {
		h.record(record.Event{Kind: record.CallEnded, Call: v.call, Key: v.key, Detail: "crash"})
	}
	h.brokeCalls = len(h.active) > 0
	h.active, h.inflight = nil, 0
	h.mu.Unlock()
	h.record(record.Event{Kind: record.FaultInjected, Detail: "server crashed"})
	if h.OnCrash != nil {
		h.OnCrash()
	}
}

// activeCall is one call in progress at a server.
type activeCall struct {
	host       *Host
	call, key  string
	generation int
}

// startCall starts a call, or aborts the connection if the server is down. A cold
// server crashes if the call raises its calls in flight above MaxColdCalls, from
// coldLimitFrom on.
func (h *Host) startCall(call, key, input string) *activeCall {
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
	over := h.cold && h.MaxColdCalls > 0 && h.inflight > h.MaxColdCalls && !h.now().Before(h.coldLimitFrom)
	v := &activeCall{host: h, call: call, key: key, generation: h.generation}
	if h.active == nil {
		h.active = map[*activeCall]struct{}{}
	}
	h.active[v] = struct{}{}
	h.record(record.Event{Kind: record.CallStarted, Call: call, Key: key, Detail: input})
	h.mu.Unlock()
	if over {
		h.TakeDown()
	}
	return v
}

// end ends a call, unless a crash of the server has ended it before.
func (v *activeCall) end() {
	h := v.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.generation != h.generation {
		return
	}
	delete(h.active, v)
	h.inflight--
	h.record(record.Event{Kind: record.CallEnded, Call: v.call, Key: v.key})
	if !h.cold {
		return
	}
	h.coldResponses++
	h.cold = h.WarmAfter == 0 || h.coldResponses < h.WarmAfter
	if !h.cold {
		h.record(record.Event{Kind: record.ServerWarm})
	}
}

// abortIfCrashed aborts the call if the server crashed since it started.
func (v *activeCall) abortIfCrashed() {
	v.host.mu.Lock()
	dead := v.host.down || v.generation != v.host.generation
	v.host.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
}

// work sleeps for the service time d, longer if the server is cold or over capacity.
func (v *activeCall) work(d time.Duration) {
	if v.host.Cold() && v.host.ColdFactor > 1 {
		d *= time.Duration(v.host.ColdFactor)
	}
	v.host.sleep(v.host.serviceTime(d))
	v.abortIfCrashed()
}

// serviceTime returns d, extended in proportion to the calls in flight above the capacity.
func (h *Host) serviceTime(d time.Duration) time.Duration {
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
