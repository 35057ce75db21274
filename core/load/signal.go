package load

import (
	"math"
	"time"
)

const (
	// meanTime is the time over which the mean and the variance of a signal are taken. It is longer than
	// the swings that choices by old information cause, so that the mean does not take part in them.
	meanTime = 10 * time.Second
	// minMemory and maxMemory bound the time in which a value loses its meaning. Values that never
	// change say nothing about how fast they might.
	minMemory = 10 * time.Millisecond
	maxMemory = 2 * time.Second
)

// signal is a figure that fluctuates around a mean, of which values arrive now and then. It is taken for
// a process that returns to its mean at a constant rate (Ornstein-Uhlenbeck); the rate is learned from
// the changes between values. The zero value is a signal without values.
type signal struct {
	last     float64
	at       time.Time // of the last value; zero: there is none
	mean     float64
	variance float64
	change   float64 // moving average of squared changes
	gap      float64 // moving average of the time between values, in seconds
	values   float64
}

// observe takes a value. One that is older than the last is ignored.
func (s *signal) observe(x float64, at time.Time) {
	if s.at.IsZero() {
		*s = signal{last: x, at: at, mean: x, variance: x + x*x, values: 1}
		return
	}
	d := at.Sub(s.at)
	if d < 0 {
		return
	}
	s.values++
	w := max(1/s.values, 1-math.Exp(-d.Seconds()/meanTime.Seconds()))
	c := x - s.last
	s.change += w * (c*c - s.change)
	s.gap += w * (d.Seconds() - s.gap)
	e := x - s.mean
	s.mean += w * e
	s.variance = (1 - w) * (s.variance + w*e*e)
	s.last, s.at = x, at
}

// memory returns the time in which a value loses most of its meaning.
func (s *signal) memory() time.Duration {
	if s.change <= 0 {
		return maxMemory
	}
	d := 2 * s.variance * s.gap / s.change
	return time.Duration(min(max(d, minMemory.Seconds()), maxMemory.Seconds()) * float64(time.Second))
}

// expected returns the value that is expected now, the variance of the error of that, and the weight
// that the last value has in it. The variance is at least that of a queue with random arrivals: few values
// show less of it than there is. A value from the future, as after a jump of the clock, counts as of now.
func (s *signal) expected(now time.Time) (value, variance, weight float64) {
	if s.at.IsZero() {
		return 0, 0, 0
	}
	w := math.Exp(-max(0, now.Sub(s.at).Seconds()) / s.memory().Seconds())
	v := max(s.variance, s.mean+s.mean*s.mean)
	return s.mean + (s.last-s.mean)*w, v * (1 - w*w), w
}
