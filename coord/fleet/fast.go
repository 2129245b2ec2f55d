package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// slowPenalty, in units of the worker's share of free processors, is what a worker loses for work
	// with little slack if it takes twice as long there. It outweighs the home domain from a factor of
	// 1.35 on, and stays below remotePenalty.
	slowPenalty = 3.0
	// maxSlowness bounds the slowness that the penalty is multiplied by.
	maxSlowness = 1.0
	// slackBonus is what a worker that takes twice as long gains for work that tolerates that.
	slackBonus = 0.5
	// slackMargin is how many times its estimate the remaining chain is assumed to take, on usual workers,
	// by work with slack.
	slackMargin = 1.3
	// maxFasterSearches bounds the phases for which one Schedule searches faster workers that become
	// free soon.
	maxFasterSearches = 16
)

// toleratedFactor returns the factor up to which a worker is fast enough for the phase, 0 if no worker's
// speed matters. Estimates of urgent work do not show whether it has slack, so it always needs usual
// workers. Other work may take as many times its estimate as fit into the time left with slackMargin, and
// lasting work any time.
func (p *Planner) toleratedFactor(s *phase, now time.Time) float64 {
	switch {
	case !p.Policy.Speeds || !p.speeds.uneven:
		return 0
	case s.spec.Lasting:
		return math.MaxFloat64
	case s.job.inUrgentQueue():
		return 1
	}
	return max(1, s.objective().Sub(now).Seconds()/(slackMargin*max(time.Millisecond, s.remainingPath).Seconds()))
}

// speedScore returns what a worker's speed adds to its score for the phase. Work that tolerates a slow
// worker leaves the others to work that does not.
func (p *Planner) speedScore(s *phase, w *worker) float64 {
	slowness := p.slowness(w)
	if slowness > 0 && p.factor(w) <= s.toleratedFactor {
		return slackBonus * slowness
	}
	return -slowPenalty * slowness
}

// slowness returns by how much a worker's factor exceeds 1, bounded.
func (p *Planner) slowness(w *worker) float64 {
	return max(0, min(maxSlowness, p.factor(w)-1))
}

// awaitsFaster reports whether a task waits rather than start at the worker chosen for it, because the
// worker is slow and a faster one is expected to become free so soon that the task ends earlier there.
// Only urgent work that would miss its objective at the slow worker waits, and never for longer than
// the slow worker would cost it.
func (k *picker) awaitsFaster(w *worker) bool {
	p, s := k.planner, k.phase
	f := p.factor(w)
	if f <= 1 || f <= s.toleratedFactor || !s.job.inUrgentQueue() || s.spec.Gang {
		return false
	}
	usual := s.expectedUsualTime()
	slow := time.Duration(f * float64(usual))
	if k.now.Sub(s.readySince) >= slow-usual || !s.wouldMiss(usual, slow, k.now) {
		return false
	}
	if s.waiting > maxStarts {
		return false // There are hardly as many faster workers, and to list them would take long.
	}
	if !k.searchedFaster {
		k.searchedFaster = true
		k.faster = p.fasterSlots(s, w, k.now)
	}
	gaining := 0
	for _, at := range k.faster {
		if at.Add(usual).Before(k.now.Add(slow)) {
			gaining++
		}
	}
	if s.waiting > gaining-p.speeds.awaitingFaster {
		return false
	}
	p.speeds.awaitingFaster += s.waiting
	return true
}

// expectedUsualTime returns how long a task of the phase takes at a usual worker, by what the queue's
// runs took, or by the estimate if none has ended.
func (s *phase) expectedUsualTime() time.Duration {
	switch q := s.job.queue; {
	case s.samples > 0:
		return s.meanTime
	case q.usualTime > 0:
		return q.usualTime
	}
	return s.spec.Estimate
}

// wouldMiss reports whether the job misses its objective if the phase's tasks take the given time
// rather than the usual one. All estimates of the job are assumed to be off by the same factor.
func (s *phase) wouldMiss(usual, slow time.Duration, now time.Time) bool {
	scale := usual.Seconds() / max(time.Millisecond, s.spec.Estimate).Seconds()
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	end := now.Add(slow + scaled(s.remainingPath-s.spec.Estimate))
	return end.After(s.beginsAt().Add(s.job.allowedTime(scaled(s.criticalPath))))
}

// fasterSlots returns when capacity for tasks of the phase is expected to become free at workers that
// are faster than the given one, the earliest first and at most one per waiting task.
func (p *Planner) fasterSlots(s *phase, than *worker, now time.Time) []time.Time {
	if p.speeds.fasterSearches >= maxFasterSearches {
		return nil
	}
	p.speeds.fasterSearches++
	out := topK[slot]{limit: s.waiting + p.speeds.awaitingFaster, before: earlierSlot}
	counts := s.runsPerWorker()
	p.eachEligible(s, now, func(w *worker) {
		if p.factor(w) < p.factor(than) && p.slowness(w) == 0 {
			s.addSlots(&out, w, now, remainingPerVM(s.spec.MostPerVM, counts[w]))
		}
	})
	times := make([]time.Time, 0, len(out.values))
	for _, x := range out.values {
		times = append(times, x.at)
	}
	return times
}

// queueTimeWeight is the weight of one run in a queue's moving average of usual run times.
const queueTimeWeight = 0.02

// addUsualTime counts a run that ended in the queue's moving average.
func (q *queue) addUsualTime(took time.Duration) {
	if q.usualTime == 0 {
		q.usualTime = took
	}
	q.usualTime += time.Duration(queueTimeWeight * float64(took-q.usualTime))
}

// restartAtFaster stops runs at a slow worker that, by the factors, end sooner if they continue at a
// faster one, in time for their objective, which they miss otherwise. Only runs that checkpoint are
// stopped, so that no work is lost.
func (p *Planner) restartAtFaster(w *worker, now time.Time) {
	if p.factor(w) == 1 {
		return
	}
	var late []*run
	for _, r := range w.runs {
		if p.endsInTimeElsewhere(r, now) {
			late = append(late, r)
		}
	}
	slices.SortFunc(late, func(a, b *run) int { return a.since.Compare(b.since) })
	for _, r := range late {
		if s := r.task.phase; p.faster(s, now) {
			p.restartTask(r)
		}
	}
}

// endsInTimeElsewhere reports whether a run that checkpoints misses its objective at its worker, and
// would meet it if it were stopped now and continued at a usual one.
func (p *Planner) endsInTimeElsewhere(r *run, now time.Time) bool {
	if r.task == nil || r.stopping || r.probe != nil || !r.task.phase.spec.Checkpoints || r.task.phase.spec.Gang || r.task.restarts >= maxRestarts {
		return false
	}
	s := r.task.phase
	rate, ok := r.rate(now)
	if s.job.cancelled || s.job.state.Final() || s.job.queue == nil || !ok || rate <= 0 {
		return false
	}
	left := time.Duration((100 - r.percent) / rate * float64(time.Second))
	elsewhere := restartCost + divide(left, p.factor(r.worker))
	rest := s.remainingPath - s.spec.Estimate - s.job.queue.adviceTime() // The phases after this one take as long as estimated.
	usual := divide(time.Duration(100/rate*float64(time.Second)), p.factor(r.worker))
	objective := s.beginsAt().Add(s.job.allowedTime(s.job.criticalPathWith(s, usual)))
	return elsewhere < left && now.Add(left+rest).After(objective) && now.Add(elsewhere+rest).Before(objective)
}

// faster reports whether a usual worker, at which the phase is known to be allowed, has capacity for a task
// of it. A new ticket is requested once the run has been stopped.
func (p *Planner) faster(s *phase, now time.Time) bool {
	counts := s.runsPerWorker()
	fits := func(w *worker) bool {
		return p.slowness(w) == 0 && p.suits(s, w, now) && s.fitInto(p.availableCapacity(s, w, now), remainingPerVM(s.spec.MostPerVM, counts[w])) > 0
	}
	if s.job.queue.Advice != nil {
		return slices.ContainsFunc(s.advice.allowed, func(t permit) bool { return fits(t.worker) })
	}
	return slices.ContainsFunc(p.pool(s.job.queue.Service).workers, fits)
}
