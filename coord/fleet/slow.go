package fleet

import (
	"slices"
	"time"
)

const (
	// noProgressTimeout is how long a run may report no progress until it counts as stuck.
	noProgressTimeout = time.Second
	// slowFactor is how many times slower than its siblings a run may be, after division by the factors
	// of their workers.
	slowFactor = 3.0
	// minRateTime is the minimum time over which a run's rate of progress is measured.
	minRateTime = 700 * time.Millisecond
	// restartCost is what a restart costs in addition to the work: the stop and a new ticket.
	restartCost = time.Second
	// maxRestarts bounds how often one task is restarted because it was slow.
	maxRestarts = 2
	// medianRateTTL is how long the median rate of a phase's tasks is reused; minRates is the
	// number of tasks whose rates must be known.
	medianRateTTL = 200 * time.Millisecond
	minRates      = 3
	// slowQuarantine is how long a worker with slow or stuck runs gets no new work; the runs there
	// are still checked.
	slowQuarantine = 2 * time.Second
)

// checkProgress checks the progress of the runs at a worker. If at least half of those with a
// known rate are stuck or much slower than the other tasks of their phases, the worker gets no new
// work for a while, and tasks that would end sooner elsewhere are restarted at other workers.
func (p *Planner) checkProgress(w *worker, now time.Time) {
	if !p.Policy.Restart {
		return
	}
	rated := 0
	var slow []*run
	for _, r := range w.runs {
		known, isSlow := r.isSlow(now)
		if known {
			rated++
		}
		if isSlow {
			slow = append(slow, r)
		}
	}
	p.restartAtFaster(w, now)
	if len(slow) == 0 || 2*len(slow) < rated {
		return
	}
	w.health.quarantine(now, slowQuarantine)
	slices.SortFunc(slow, func(a, b *run) int { return a.since.Compare(b.since) })
	for _, r := range slow {
		p.restart(r, now)
	}
}

// isSlow reports whether a run's rate of progress is known, and whether it is stuck or much slower
// than the other tasks of its phase.
func (r *run) isSlow(now time.Time) (known, slow bool) {
	if r.task == nil || !r.started || r.stopping || r.task.phase.spec.Lasting || r.isFilling() || now.Sub(r.since) < minRateTime {
		return false, false
	}
	if now.Sub(r.progressedAt) >= noProgressTimeout {
		return true, true
	}
	rate, ok := r.rate(now)
	median, enough := r.task.phase.cachedMedianRate(r.task.index, now)
	if !ok || !enough {
		return ok, false
	}
	return true, rate*r.worker.planner.factor(r.worker)*slowFactor < median
}

// rate returns the progress of a run in percent per second, and whether it is known.
func (r *run) rate(now time.Time) (float64, bool) {
	elapsed := now.Sub(r.baseAt)
	if r.baseAt.IsZero() || elapsed < minRateTime {
		return 0, false
	}
	return (r.percent - r.basePercent) / elapsed.Seconds(), true
}

// cachedMedianRate returns the median rate of a phase's tasks at usual workers, including those that
// have ended, and whether enough rates are known. The rate is recomputed after medianRateTTL, of a wide phase
// by the tasks around the given one.
func (s *phase) cachedMedianRate(around int, now time.Time) (float64, bool) {
	if s.cachedRateAt.IsZero() || now.Sub(s.cachedRateAt) >= medianRateTTL {
		s.cachedRate, s.cachedRateSamples = s.medianRate(around, now)
		s.cachedRateAt = now
	}
	return s.cachedRate, s.cachedRateSamples >= minRates
}

// medianRate returns the median rate and the number of rates it is computed from.
func (s *phase) medianRate(around int, now time.Time) (float64, int) {
	var rates []float64
	for _, t := range s.tasksAround(around) {
		if r := t.activeRun(); r != nil {
			if rate, ok := r.rate(now); ok {
				rates = append(rates, rate*r.worker.planner.factor(r.worker))
			}
		}
	}
	for range min(s.samples, maxCompared) {
		rates = append(rates, 100/max(0.001, s.meanTime.Seconds()))
	}
	if len(rates) == 0 {
		return 0, 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2], len(rates)
}

// restart stops a slow run, so that its task starts elsewhere, if it would end sooner there and
// another worker has capacity for it.
func (p *Planner) restart(r *run, now time.Time) {
	t := r.task
	s := t.phase
	if r.stopping {
		return
	}
	if r.probe != nil {
		return // Each start of a suspect may cost a worker.
	}
	if t.copied() {
		return // The task already has another run.
	}
	if s.spec.Gang && len(s.tasks) > 1 || t.restarts >= maxRestarts || s.job.cancelled || s.job.state.Final() || s.job.queue == nil {
		return
	}
	rerun := s.spec.Estimate
	if s.samples > 0 {
		rerun = s.meanTime
	}
	if s.spec.Checkpoints {
		rerun = time.Duration(float64(rerun) * (100 - r.percent) / 100)
	}
	if rate, ok := r.rate(now); ok && rate > 0 && (100-r.percent)/rate < (rerun+restartCost).Seconds() {
		return
	}
	if !p.fitsElsewhere(s, r.worker, now) {
		return
	}
	p.restartTask(r)
}

// restartTask stops a run so that its task starts at another worker.
func (p *Planner) restartTask(r *run) {
	r.task.restarts++
	r.task.avoidWorker = r.worker.vm.ID
	p.counts.Restarted++
	p.stopRun(r)
}

// fitsElsewhere reports whether another worker, at which the phase is known to be allowed, has
// capacity for a task of it.
func (p *Planner) fitsElsewhere(s *phase, except *worker, now time.Time) bool {
	counts := s.runsPerWorker()
	fits := func(w *worker) bool {
		return w != except && p.factor(w) <= p.factor(except) && p.suits(s, w, now) && s.fitInto(p.availableCapacity(s, w, now), remainingPerVM(s.spec.MostPerVM, counts[w])) > 0
	}
	if s.job.queue.Advice != nil {
		return slices.ContainsFunc(s.advice.allowed, func(t permit) bool { return fits(t.worker) })
	}
	return slices.ContainsFunc(p.pool(s.job.queue.Service).workers, fits)
}
