// Package memory accounts for the bytes that a node holds for callers, servers and other nodes, and decides what
// is refused, buffered less, or ended so that they stay within a bound. It does no I/O.
//
// This file defines the account and the thresholds. The decisions on readers are in reader.go.
package memory

import (
	"math"
	"sync"
	"time"
)

// Class is what bytes are held for.
type Class uint8

// The classes.
const (
	Bodies    Class = iota // request bodies
	Responses              // responses that were not delivered yet, and those of batches
	Streams                // events
	Peers                  // messages between nodes
	classes
)

func (c Class) String() string {
	return [...]string{"bodies", "responses", "streams", "peers"}[c]
}

const (
	// boundShare is the bound as a share of the memory of the VM. The garbage collector's soft limit is 0.7 of it; what
	// lies between is for tables, control state and garbage.
	boundShare = 0.5
	// pressureShare is the first threshold, as a share of the bound. Below it nothing is refused or buffered less. Above
	// it, there is room for the buffers of connections of many more callers, each as small as it can be.
	pressureShare = 0.25
	// largeShare is the share of the bound up to which bodies of any size are read.
	largeShare = 0.5
	// endShare is the share of the bound down to which readers are ended once it is exceeded, so that
	// they are not ended one at each growth.
	endShare = 0.95
	// hardShare is the share of the bound from which on also requests without a body are refused: many callers
	// may begin not to read at once, and none is ended before minWait.
	hardShare = 1.25
	// Bodies up to smallBody bytes are read until the bound is reached, those from largeBody bytes on until
	// largeShare is, and those between at a limit that falls with the logarithm of their size.
	smallBody = 16 << 10
	largeBody = 1 << 20
	// minBuffer and maxBuffer are the bounds of what a response may have buffered. Above the first threshold it is
	// a part of what is left up to bufferShare of the bound; the rest is for bodies, and for responses that
	// are only copied.
	minBuffer   = 4 << 10
	maxBuffer   = 1 << 20
	bufferShare = 0.75
	bufferParts = 256
)

// Bound returns the bound of a VM with so many bytes of memory, 0 if that is not known.
func Bound(vm int64) int64 { return int64(boundShare * float64(max(0, vm))) }

// Level is how much of the bound is used.
type Level uint8

// The levels.
const (
	Normal   Level = iota
	Pressure       // above the first threshold
	Full           // at the bound
)

func (l Level) String() string { return [...]string{"normal", "pressure", "full"}[l] }

// Account counts the bytes that are held. Its zero value has no bound. It is safe for concurrent use; the
// fields are set before its first use.
type Account struct {
	Bound int64            // of all classes together; 0: none
	Now   func() time.Time // nil: a clock that stands still

	mu       sync.Mutex
	held     [classes]int64
	total    int64
	ending   int64 // part of total that is held by readers that were told to end
	readers  map[*Holder]struct{}
	noReader time.Time // when too few were found to be ended
	refused  int64
	ended    int64
}

// Usage is a state of an account.
type Usage struct {
	Held    map[Class]int64
	Total   int64
	Bound   int64
	Level   Level
	Refused int64 // bodies
	Ended   int64 // readers
}

// Usage returns the present state.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := Usage{Held: map[Class]int64{}, Total: a.total, Bound: a.Bound, Level: a.level(), Refused: a.refused, Ended: a.ended}
	for c, n := range a.held {
		u.Held[Class(c)] = n
	}
	return u
}

// Level returns the present level.
func (a *Account) Level() Level {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.level()
}

// level returns the present level. The lock is held.
func (a *Account) level() Level {
	switch {
	case a.Bound <= 0 || a.total < int64(pressureShare*float64(a.Bound)):
		return Normal
	case a.total < a.Bound:
		return Pressure
	}
	return Full
}

func (a *Account) now() time.Time {
	if a.Now == nil {
		return time.Time{}
	}
	return a.Now()
}

// Buffer returns how many bytes of a response may be buffered before it is forwarded.
func (a *Account) Buffer() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.level() == Normal {
		return maxBuffer
	}
	return min(maxBuffer, max(minBuffer, (int64(bufferShare*float64(a.Bound))-a.total)/bufferParts))
}

// limit returns the total up to which a body of a size is read.
func (a *Account) limit(size int64) int64 {
	if size == 0 {
		return int64(hardShare * float64(a.Bound))
	}
	x := math.Log(float64(max(size, smallBody))/smallBody) / math.Log(largeBody/smallBody)
	return int64(float64(a.Bound) * (1 - (1-largeShare)*min(1, x)))
}

// Count adds bytes to a class without a holder, or removes them. The readers that it returns are to be ended.
func (a *Account) Count(c Class, n int64) []*Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[c] += n
	a.total += n
	return a.overBound()
}

// Open returns a holder of bytes of a class.
func (a *Account) Open(c Class) *Holder { return &Holder{account: a, class: c} }

// Holder holds bytes until it is closed.
type Holder struct {
	account *Account
	class   Class
	held    int64
	unread  int64 // part of held
	ending  bool
	closed  bool
	reader  reader
}

// Reserve decides whether a body may take n more bytes, and holds them if so. A body whose size is not known is judged
// by what it has so far. The readers that it returns are to be ended.
func (h *Holder) Reserve(n int64) (ok bool, end []*Holder) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Bound > 0 && a.total-a.ending+n > a.limit(h.held+n) {
		a.refused++
		return false, nil
	}
	h.add(n)
	return true, a.overBound()
}

// Add holds n more bytes, or fewer if n is negative. The readers that it returns are to be ended.
func (h *Holder) Add(n int64) []*Holder {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(n)
	if n <= 0 {
		return nil
	}
	return h.account.overBound()
}

// SetUnread replaces the bytes that were received for the holder and not read. The readers that it returns are to be
// ended.
func (h *Holder) SetUnread(n int64) []*Holder {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.closed || h.reader.since.IsZero() {
		return nil // it was read meanwhile
	}
	h.add(n - h.unread)
	h.unread = n
	return h.account.overBound()
}

// Close releases all that is held. Further calls do nothing.
func (h *Holder) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(-h.held)
	h.closed = true
	delete(h.account.readers, h)
}

// add changes what is held. The lock is held.
func (h *Holder) add(n int64) {
	if h.closed {
		return
	}
	n = max(n, -h.held)
	a := h.account
	h.held += n
	a.held[h.class] += n
	a.total += n
	if h.ending {
		a.ending += n
	}
}
