package admit

import (
	"math"
	"time"
)

const (
	// defaultDeviation is the deviation of the logarithm of estimates that is assumed until a queue's jobs
	// show another one.
	defaultDeviation = 0.9
	// deviations is the number of deviations by which a job may take longer than estimated: one job in fifty
	// exceeds it.
	deviations = 2
	// estimateWeight is the weight of each observation once there are many, priorWeight the number of
	// observations that the default counts for.
	estimateWeight = 0.02
	priorWeight    = 10
	// maxLogRatio bounds one observation, so that a job that hung does not move the averages far.
	maxLogRatio = 2.0
	// maxStretch bounds the factor by which jobs are assumed to take longer than estimated; it is
	// deviations times the default.
	maxStretch = 6.0
	// minWorkFactor bounds the factor by which work is assumed to be smaller than estimated.
	minWorkFactor = 0.25
)

// Estimates holds what the ended jobs of a queue show of its estimates. The zero value assumes
// defaultDeviation.
type Estimates struct {
	samples       int
	mean, squares float64 // mean and squares are the moving averages of the logarithm and its square.
	// estimated and took are the moving averages of the estimates and of what they should have been.
	estimated, took float64
}

// Observe adds a job whose chain of work was estimated and took the given times.
func (e *Estimates) Observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x := min(maxLogRatio, max(-maxLogRatio, math.Log(took.Seconds()/estimate.Seconds())))
	if e.samples == 0 {
		e.squares = defaultDeviation * defaultDeviation
		e.estimated, e.took = estimate.Seconds(), estimate.Seconds()*defaultWorkFactor
	}
	e.samples++
	weight := max(estimateWeight, 1/float64(priorWeight+e.samples))
	e.mean += weight * (x - e.mean)
	e.squares += weight * (x*x - e.squares)
	e.estimated += weight * (estimate.Seconds() - e.estimated)
	e.took += weight * (math.Exp(x)*estimate.Seconds() - e.took)
}

// Stretch returns a factor by which few chains of work take longer than estimated; it is at least one.
func (e *Estimates) Stretch() float64 {
	deviation := defaultDeviation
	if e.samples > 0 {
		deviation = math.Sqrt(max(0, e.squares-e.mean*e.mean))
	}
	return min(maxStretch, max(1, math.Exp(e.mean+deviations*deviation)))
}

// defaultWorkFactor is the ratio of work to its estimate if estimates are off by defaultDeviation: the mean
// of such estimates is larger than their median.
var defaultWorkFactor = math.Exp(-defaultDeviation * defaultDeviation / 2)

// WorkFactor returns the factor by which to multiply the estimated work of many jobs; it is at most one.
// The mean of estimates with a large error exceeds the mean of the work, although their median does not.
func (e *Estimates) WorkFactor() float64 {
	if e.samples == 0 {
		return defaultWorkFactor
	}
	return min(1, max(minWorkFactor, e.took/e.estimated))
}
