// Package load models the load of a backend server as one node sees it: how long one more request is
// expected to wait and to take there, and how certain that is.
//
// The model combines what the server reports of itself, which is out of date and counts the requests of
// all nodes, with what this node has sent since and with how long responses took. Servers that report
// nothing are modelled by the latter two alone.
package load

import (
	"cmp"
	"math"
	"time"
)

const (
	// DefaultTime is assumed for work that was never measured.
	DefaultTime = 20 * time.Millisecond
	// evidenceTTL is how long measured times are used without a new response.
	evidenceTTL = 4 * time.Second
	// minTypical is the least typical time: work that seems to take none must not become a divisor.
	minTypical = time.Microsecond
	// workWeight is the least weight of the newest response in the typical time of a kind of work, which
	// many servers contribute to.
	workWeight = 0.05
	// maxEvidence is the number of responses over which the speed of a server is averaged, and
	// priorEvidence the number that the assumption weighs that it is as fast as usual. What a
	// certain report says of the load explains the time of a response, and only lasting deviations are worth
	// learning beyond it; so both are larger with it.
	maxEvidence, reportedMaxEvidence     = 5, 40
	priorEvidence, reportedPriorEvidence = 1, 20
	// maxFactor bounds by how much one response may be slower or faster than expected, and how much a
	// server's report may say so: a stalled request is no evidence about its server's usual speed.
	maxFactor = 20
	// maxSlowness bounds the slowness of a report in percent, beyond which it is taken for nonsense.
	maxSlowness = 1e6
	// maxCount bounds the requests of a report, beyond which it is taken for nonsense.
	maxCount = 1 << 20
	// runningCost is the part of a request's time that it takes longer at a server that uses all of
	// its slots than at an idle one: servers share their VMs with others.
	runningCost = 1
	// roundingError is the variance of a count of requests that is otherwise exact: some are on their way.
	roundingError = 0.25
)

// Report is what a server states about its load.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes there now, in percent of the usual; 0: not stated.
	Slowness float64
	At       time.Time // when it was made
	// Counted is the number of this node's requests that the server has counted and that have not ended.
	Counted int
}

// Plausible reports whether the figures may be true.
func (r Report) Plausible() bool {
	for _, n := range []int{r.Running, r.Waiting, r.Slots, r.Counted} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return r.Slowness >= 0 && r.Slowness <= maxSlowness // false for NaN
}

// Work is the typical time of one kind of requests at a server of usual speed. The zero value is work
// that was never measured.
type Work struct {
	// Default is assumed before the first measurement, and counts as Prior measurements then. 0: DefaultTime, which
	// counts as one: a first server that is slow looks so.
	Default time.Duration
	Prior   int
	idle    typical // without what the reports of servers explain
	whole   typical
}

// typical is an average time.
type typical struct {
	time  float64 // in seconds
	count int     // of measurements, at most 1/workWeight
}

// Time returns the typical time at an idle server.
func (w *Work) Time() time.Duration { return w.typical(&w.idle) }

func (w *Work) typical(t *typical) time.Duration {
	if t.time == 0 {
		return cmp.Or(w.Default, DefaultTime)
	}
	return max(minTypical, time.Duration(t.time*float64(time.Second)))
}

// Observe takes the time of a request. One that is far from the others counts only in part.
func (w *Work) Observe(took time.Duration) { w.observe(&w.idle, took.Seconds()) }

// observe takes a time into an average, and returns by which factor it differs from that.
func (w *Work) observe(t *typical, took float64) float64 {
	f := bounded(took / w.typical(t).Seconds())
	t.count = min(t.count+1, int(1/workWeight)-1)
	n := t.count + w.Prior
	if w.Default == 0 {
		n = t.count + 1
	}
	t.time = w.typical(t).Seconds() * (1 + (f-1)/float64(n))
	return bounded(took / t.time)
}

// Server is the model of one server. The zero value is one of which nothing is known. It is not safe for
// concurrent use.
type Server struct {
	slots    int
	own      int    // requests of this node that have not ended
	others   signal // requests of other nodes
	slowness signal // as reported, 1: as usual
	beyond   speed  // measured, beyond what the reports explain
	whole    speed  // measured, with the waits there
}

// speed is a measured slowness.
type speed struct {
	factor   float64
	evidence float64   // number of responses that it rests on
	at       time.Time // of the last one; zero: never
}

func (p *speed) observe(f, most float64, now time.Time) {
	if p.at.IsZero() || now.Sub(p.at) >= evidenceTTL {
		p.factor, p.evidence = 0, 0
	}
	p.evidence = min(p.evidence+1, most)
	p.factor += (f - p.factor) / p.evidence
	p.at = now
}

// slowness returns the slowness, 1 without recent evidence.
func (p *speed) slowness(prior float64, now time.Time) float64 {
	if p.at.IsZero() || now.Sub(p.at) >= evidenceTTL {
		return 1
	}
	return (p.factor*p.evidence + prior) / (p.evidence + prior)
}

// Send is a request of this node that was sent.
type Send struct {
	server *Server
	work   *Work
	at     time.Time
	scale  float64 // time that was expected beyond the typical one of the work, as a factor
}

// Observe takes a report of the server, and returns false for one that is implausible.
func (s *Server) Observe(r Report, now time.Time) bool {
	if !r.Plausible() {
		return false
	}
	if r.At.After(now) {
		r.At = now
	}
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	s.others.observe(float64(max(0, r.Running+r.Waiting-r.Counted)), r.At)
	if r.Slowness > 0 {
		s.slowness.observe(bounded(r.Slowness/100), r.At)
	}
	return true
}

// Restart forgets what is known of the process: another one has its place.
func (s *Server) Restart() { *s = Server{own: s.own} }

// SetSlots sets the slots of a server that does not report them.
func (s *Server) SetSlots(n int) {
	if s.others.at.IsZero() {
		s.slots = n
	}
}

// Reports reports whether the server has reported its load.
func (s *Server) Reports() bool { return !s.others.at.IsZero() }

// InFlight returns the number of requests of this node that have not ended.
func (s *Server) InFlight() int { return s.own }

// Send counts a request.
func (s *Server) Send(w *Work, now time.Time) *Send {
	x := &Send{server: s, work: w, at: now, scale: s.explained(now)}
	s.own++
	return x
}

// explained returns the factor by which the server's reports explain that a request takes longer.
func (s *Server) explained(now time.Time) float64 {
	if !s.Reports() {
		return 1
	}
	return s.reportedSlowness(now) * (1 + s.Expect(now).Busy(0))
}

// End counts the end of a request. If it is evidence, the time that it took shows the server's speed.
func (x *Send) End(now time.Time, evidence bool) {
	s := x.server
	s.own = max(0, s.own-1)
	if s.others.at.After(x.at) { // what the response reports is closer to it than what was known before
		x.scale = s.explained(now)
	}
	if took := now.Sub(x.at).Seconds(); evidence && took >= 0 {
		s.observeTime(x.work, took/x.scale, now)
		s.whole.observe(x.work.observe(&x.work.whole, took), maxEvidence, now)
	}
}

// Measure takes the time of work that is not a whole request.
func (s *Server) Measure(w *Work, took time.Duration, now time.Time) {
	if took >= 0 {
		s.observeTime(w, took.Seconds()/s.reportedSlowness(now), now)
	}
}

// observeTime takes the time of a request, without the part that the server's report explains.
func (s *Server) observeTime(w *Work, took float64, now time.Time) {
	most, _ := s.weights(now)
	s.beyond.observe(w.observe(&w.idle, took), most, now)
}

// weights returns the most evidence that counts for the speed of the server, and that for the usual speed.
func (s *Server) weights(now time.Time) (most, prior float64) {
	_, _, w := s.others.expected(now)
	return maxEvidence + w*(reportedMaxEvidence-maxEvidence), priorEvidence + w*(reportedPriorEvidence-priorEvidence)
}

// reportedSlowness returns the slowness that the server is expected to have, by its reports.
func (s *Server) reportedSlowness(now time.Time) float64 {
	if x, _, _ := s.slowness.expected(now); x > 0 {
		return x
	}
	return 1
}

// Slowness returns by which factor work takes longer at the server than usual, by its reports and
// by what was measured beyond that.
func (s *Server) Slowness(now time.Time) float64 {
	_, prior := s.weights(now)
	x := s.reportedSlowness(now) * s.beyond.slowness(prior, now)
	return bounded(x)
}

// Expectation is what is expected of one more request at a server.
type Expectation struct {
	Requests  float64       // at the server, of all nodes
	Deviation float64       // standard deviation of the error of Requests
	Certainty float64       // weight of the last report, 0 to 1
	Others    float64       // requests of other nodes there on average
	Age       time.Duration // of the last report
	Slowness  float64
	Slots     int
	Reports   bool // the server reports its load

	own   int
	whole float64 // slowness with the waits there
}

// Expect returns what is expected of one more request.
func (s *Server) Expect(now time.Time) Expectation {
	n, v, w := s.others.expected(now)
	return Expectation{
		Requests: float64(s.own) + n, Deviation: math.Sqrt(v), Certainty: w, Others: s.others.mean,
		Age: max(0, now.Sub(s.others.at)), Slowness: s.Slowness(now), Slots: max(1, s.slots), Reports: s.Reports(),
		own: s.own, whole: bounded(s.whole.slowness(priorEvidence, now)),
	}
}

// Busy returns how much longer a request takes than at an idle server, as a part of its time there:
// for the requests ahead of it that no slot is free for, and for those that run beside it. The number
// of requests is taken to be off by z standard deviations.
func (e Expectation) Busy(z float64) float64 {
	n, c := max(0, e.Requests+z*e.Deviation), float64(e.Slots)
	wait := excess(n+1-c, math.Sqrt(roundingError)) / c
	return wait + runningCost*n/c
}

// Assumed is the slowness that a choice assumes. A server that reported it long ago is taken to be about as fast
// as others, so that it gets work and reports again.
func (e Expectation) Assumed() float64 {
	if !e.Reports {
		return e.Slowness
	}
	return math.Pow(e.Slowness, e.Certainty)
}

// Capacity is the rate at which the server does work, in requests per typical time.
func (e Expectation) Capacity() float64 { return float64(e.Slots) / e.Slowness }

// Sends returns how many requests other nodes are expected to have sent to the server since its last report.
func (e Expectation) Sends(w *Work) float64 {
	return e.Others * e.Age.Seconds() / (w.Time().Seconds() * e.Slowness)
}

// Unreported returns what would be expected if the server reported nothing: by the requests of this node and
// by how long its responses took, waits included.
func (e Expectation) Unreported() Expectation {
	return Expectation{Requests: float64(e.own), Slowness: e.whole, Slots: e.Slots, own: e.own, whole: e.whole}
}

// Time returns the time that one more request of some work is expected to wait and to take.
func (e Expectation) Time(w *Work, z float64) time.Duration {
	t := &w.idle
	if !e.Reports {
		t = &w.whole
	}
	return time.Duration(float64(w.typical(t)) * e.Assumed() * (1 + e.Busy(z)))
}

// excess returns the expected amount by which a normal variable exceeds 0.
func excess(mean, deviation float64) float64 {
	z := mean / deviation
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

func bounded(f float64) float64 { return min(max(f, 1.0/maxFactor), maxFactor) }
