package admit

import (
	"math"
	"time"
)

const (
	// defaultDeviation is the deviation of the logarithm of estimates that is assumed until a queue's jobs
	// show another one.
	defaultDeviation = 0.9
	// estimateWeight is the weight of each observation once there are many, priorWeight the number of
	// observations that the default counts for.
	estimateWeight = 0.02
	priorWeight    = 10
	// maxLogRatio bounds one observation, so that a job that hung does not move the averages far.
	maxLogRatio = 2.0
	// maxStretch bounds the factor by which jobs are assumed to take longer than estimated.
	maxStretch = 4.0
)

// Estimates holds what the ended jobs of a queue show of its estimates. The zero value assumes
// defaultDeviation.
type Estimates struct {
	samples       int
	mean, squares float64 // mean and squares are the moving averages of the logarithm and its square.
}

// Observe adds a job whose chain of work was estimated and took the given times.
func (e *Estimates) Observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x := min(maxLogRatio, max(-maxLogRatio, math.Log(took.Seconds()/estimate.Seconds())))
	if e.samples == 0 {
		e.squares = defaultDeviation * defaultDeviation
	}
	e.samples++
	weight := max(estimateWeight, 1/float64(priorWeight+e.samples))
	e.mean += weight * (x - e.mean)
	e.squares += weight * (x*x - e.squares)
}

// Stretch returns a factor by which few chains of work take longer than estimated; it is at least one.
func (e *Estimates) Stretch() float64 {
	deviation := defaultDeviation
	if e.samples > 0 {
		deviation = math.Sqrt(max(0, e.squares-e.mean*e.mean))
	}
	return min(maxStretch, max(1, math.Exp(e.mean+deviation)))
}

// WorkFactor returns the factor by which to multiply estimated work for a forecast that is not too long;
// it is at most one.
func (e *Estimates) WorkFactor() float64 {
	return min(1, max(1/maxStretch, math.Exp(e.mean)))
}
