package placement

// This file defines how starvation is avoided: requests are taken by priority, so a long
// overload of urgent ones could leave others without service.

import (
	"math"
	"strconv"
	"time"
)

const (
	// fairHalfLife is the half-life of the counts.
	fairHalfLife = 10 * time.Second
	// fairDecayInterval is how often counts are decayed.
	fairDecayInterval = time.Second
	// fairMinRequests is the number of counted requests from which an owner is compared.
	fairMinRequests = 5
	// fairMinRatio is the least served ratio of an owner, relative to that of all
	// requests. The users' platform requires a quarter.
	fairMinRatio = 0.5
	// fairMinRatioOver is that of an owner that asks for more than its share, see shares.go.
	fairMinRatioOver = 0.3
	// starvedPriority is more urgent than all priorities of requests.
	starvedPriority = -1
	// fairForgetBelow is the count of requests below which an owner is removed.
	fairForgetBelow = 0.1
)

// serviceCount counts the requests of an owner and how many of them were served.
type serviceCount struct {
	total  float64
	served float64
}

func (s *serviceCount) decay(factor float64) {
	s.total *= factor
	s.served *= factor
}

// ratio returns the share of the requests that were served.
func (s *serviceCount) ratio() float64 {
	if s.total == 0 {
		return 0
	}
	return s.served / s.total
}

// fairness compares the service that the owners of requests get: routes, organisations and
// prompt groups. The zero value is ready to use.
type fairness struct {
	all       serviceCount
	owners    map[string]*serviceCount
	decayedAt time.Time // last decay
}

// count records for the owners of a request that it was served, or that it was not: late,
// failed or withdrawn.
func (f *fairness) count(owners []string, served bool) {
	if f.owners == nil {
		f.owners = map[string]*serviceCount{}
	}
	n := 0.0
	if served {
		n = 1
	}
	f.all.total++
	f.all.served += n
	for _, o := range owners {
		s := f.owners[o]
		if s == nil {
			s = &serviceCount{}
			f.owners[o] = s
		}
		s.total++
		s.served += n
	}
}

// starved reports whether one of the owners has less than a ratio of the average service.
func (f *fairness) starved(owners []string, ratio float64) bool {
	for _, o := range owners {
		if s := f.owners[o]; s != nil && s.total >= fairMinRequests && s.ratio() < ratio*f.all.ratio() {
			return true
		}
	}
	return false
}

// fairnessKeys returns the keys of the owners that a request counts for: its route, its
// organisation and, if it has one, its prompt group.
func (a *Request) fairnessKeys() []string {
	l := []string{"route " + a.Route, "organisation " + a.Organisation}
	if g := a.promptGroup(); g != 0 {
		l = append(l, "prompt "+strconv.FormatUint(g, 16))
	}
	return l
}

// decay reduces the weight of earlier requests, and removes owners without recent ones.
func (f *fairness) decay(now time.Time) {
	d := now.Sub(f.decayedAt)
	if d < fairDecayInterval {
		return
	}
	f.decayedAt = now
	factor := math.Exp2(-d.Seconds() / fairHalfLife.Seconds())
	f.all.decay(factor)
	for o, s := range f.owners {
		if s.decay(factor); s.total < fairForgetBelow {
			delete(f.owners, o)
		}
	}
}
