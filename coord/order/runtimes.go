package order

import (
	"math"
	"time"
)

const (
	// maxLogRatio bounds the influence of one run: a run of many times its estimate is an
	// exception, not a measure of the queue.
	maxLogRatio = 2.0
	// memory is the weight of past phases against a new one, priorWeight the number of phases that
	// the assumption of exact estimates counts as.
	memory      = 200.0
	priorWeight = 3.0
	// priorVariance is the variance of log estimates that the assumption corresponds to.
	priorVariance = 0.25
)

// RunTimes learns the true run times of a queue's tasks by their estimates. Where estimates are
// widely off, a high estimate is more likely to be too high, so the expected run time is closer to
// the queue's mean than the estimate is. Before any run has ended, estimates are taken as they are.
type RunTimes struct {
	weight, meanX, meanD float64 // meanX is the mean log estimate, meanD that of log(run time/estimate).
	varX, covXD          float64 // varX and covXD are sums over the weight.
}

// Add adds a run that has ended. Tasks of a phase share its estimate, so each counts with the weight
// of one divided by their number.
func (r *RunTimes) Add(estimate, took time.Duration, weight float64) {
	if estimate <= 0 || took <= 0 || weight <= 0 {
		return
	}
	x := math.Log(estimate.Seconds())
	d := min(maxLogRatio, max(-maxLogRatio, math.Log(took.Seconds())-x))
	keep := 1 - weight/memory
	r.weight, r.varX, r.covXD = keep*r.weight+weight, keep*r.varX, keep*r.covXD
	part := weight / r.weight
	dx := x - r.meanX
	r.meanX += part * dx
	dd := d - r.meanD
	r.meanD += part * dd
	r.varX += weight * dx * (x - r.meanX)
	r.covXD += weight * dx * (d - r.meanD)
}

// Expected returns the run time to be expected of a task with the given estimate.
func (r *RunTimes) Expected(estimate time.Duration) time.Duration {
	if estimate <= 0 || r.weight == 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	slope := r.covXD / (r.varX + priorWeight*priorVariance)
	offset := r.meanD * r.weight / (r.weight + priorWeight)
	d := min(maxLogRatio, max(-maxLogRatio, offset+min(0, max(-1, slope))*(x-r.meanX)))
	return time.Duration(float64(estimate) * math.Exp(d))
}

// Known returns the number of phases that the expectation rests on; older ones count less.
func (r *RunTimes) Known() float64 { return r.weight }
