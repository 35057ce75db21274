package placement

// This file defines how the home sees that nobody is starved: requests are taken by rank,
// so a long overload by urgent ones could leave others without service.

import (
	"math"
	"strconv"
	"time"
)

const (
	// fairMemory is the time in which the requests that a share counts weigh half.
	fairMemory = 10 * time.Second
	// fairEvery is how often counts are decayed.
	fairEvery = time.Second
	// fairAsked is the least number of counted requests from which a share is judged.
	fairAsked = 5
	// fairShare of the part of all requests that is served is the least for each of those
	// that are compared. The users' platform asks for a quarter.
	fairShare = 0.5
	// starvedPriority goes before all ranks.
	starvedPriority = -1
	// fairGone is the count below which a share is forgotten.
	fairGone = 0.1
)

// share counts the requests that counted for somebody and those that were served.
type share struct {
	asked  float64
	served float64
}

func (s *share) decay(by float64) {
	s.asked *= by
	s.served *= by
}

// part returns the part that was served.
func (s *share) part() float64 {
	if s.asked == 0 {
		return 0
	}
	return s.served / s.asked
}

// fair compares the service that the owners of requests get: routes, organisations and
// groups of prompts. The zero value is ready to use.
type fair struct {
	all    share
	owners map[string]*share
	at     time.Time // of the last decay
}

// count notes that a request of some owners was served, or refused for want of time.
func (f *fair) count(owners []string, served bool) {
	if f.owners == nil {
		f.owners = map[string]*share{}
	}
	n := 0.0
	if served {
		n = 1
	}
	f.all.asked++
	f.all.served += n
	for _, o := range owners {
		s := f.owners[o]
		if s == nil {
			s = &share{}
			f.owners[o] = s
		}
		s.asked++
		s.served += n
	}
}

// starved reports whether one of the owners is served much less often than all.
func (f *fair) starved(owners []string) bool {
	for _, o := range owners {
		if s := f.owners[o]; s != nil && s.asked >= fairAsked && s.part() < fairShare*f.all.part() {
			return true
		}
	}
	return false
}

// owners returns whom a request counts for.
func (a *Request) owners() []string {
	l := []string{"route " + a.Route, "organisation " + a.Organisation}
	if g := a.group(); g != 0 {
		l = append(l, "prompt "+strconv.FormatUint(g, 16))
	}
	return l
}

// decay lets what was counted weigh less, and forgets owners without requests.
func (f *fair) decay(now time.Time) {
	d := now.Sub(f.at)
	if d < fairEvery {
		return
	}
	f.at = now
	by := math.Exp2(-d.Seconds() / fairMemory.Seconds())
	f.all.decay(by)
	for o, s := range f.owners {
		if s.decay(by); s.asked < fairGone {
			delete(f.owners, o)
		}
	}
}
