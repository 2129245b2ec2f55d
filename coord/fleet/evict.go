package fleet

import (
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

const (
	// evictInterval is the minimum time between two searches for runs to stop. Progress reports,
	// from which the ends of runs are forecast, arrive much less often.
	evictInterval = 20 * time.Millisecond
	// maxEvictingPhases bounds the phases that one search considers, so that its cost does not
	// depend on the number of waiting phases.
	maxEvictingPhases = 16
	// orderDelay is how long it takes from a decision until its orders have reached the workers.
	orderDelay = 30 * time.Millisecond
	// restoreTime is how long the platform takes to resume a task from its checkpoint.
	restoreTime = 100 * time.Millisecond
)

// evictForUrgent stops runs so that urgent phases that wait for capacity can start in time. It must
// be called after everything that fits has been started.
func (p *Planner) evictForUrgent(now time.Time) {
	if !p.Policy.Evict || p.evictable == 0 || now.Sub(p.evictedAt) < evictInterval {
		return
	}
	waiting := p.urgentWaiting()
	if len(waiting) == 0 {
		return
	}
	p.evictedAt = now
	p.claims = make(map[*worker]winch.Capacity)
	for _, s := range waiting {
		p.evictFor(s, now)
	}
	p.evictAhead(waiting, now)
	p.claims = nil
}

// urgentWaiting returns the urgent phases with waiting tasks that evictions may serve, in the order
// of their ranks. Work beyond its team's share and work that will be late has another class.
func (p *Planner) urgentWaiting() []*phase {
	var out []*phase
	for _, e := range p.ready {
		if e.rank.class != rankUrgent || len(out) == maxEvictingPhases {
			break
		}
		s := e.phase
		if s.waiting > 0 && !s.spec.Gang && !s.spec.Lasting && s.job.suspects == nil && s.job.team.allows(s.spec.Need.Times(s.waiting)) {
			out = append(out, s)
		}
	}
	return out
}

// evictFor stops runs for a phase if some of its tasks will not get capacity in time, but would if
// the runs are stopped now.
func (p *Planner) evictFor(s *phase, now time.Time) {
	wants := s.waiting - p.freeingTasks(s)
	spare := s.spareTime(now)
	workers := p.mayRun(s, now)
	counts := s.runsPerWorker()
	for _, w := range workers {
		if wants <= 0 {
			return
		}
		// Capacity that becomes free in time is claimed, so that phases of lower rank do not count
		// on it.
		n := min(wants, s.fitInto(p.freeBy(w, now, spare), remainingPerVM(s.spec.MostPerVM, counts[w])))
		if n > 0 {
			p.claims[w] = p.claims[w].Add(s.spec.Charge().Times(n))
			wants -= n
		}
	}
	p.evict(s, evict.Demand{
		Need: s.spec.Charge(), Tasks: wants, Spare: spare, Hold: s.taskTime(),
		PerWorker: func(i int) int { return remainingPerVM(s.spec.MostPerVM, counts[p.byID[i]]) },
	}, workers, now)
}

// evict stops the runs at the given workers that must be stopped for a demand, within the budget of
// the service. The phase is nil if the demand is a forecast.
func (p *Planner) evict(s *phase, d evict.Demand, workers []*worker, now time.Time) {
	costs := p.evictCosts()
	if d.Tasks <= 0 || d.Spare < costs.Stop || len(workers) == 0 {
		return
	}
	var runs []*run
	var candidates []evict.Run
	for _, w := range workers {
		if !w.unresponsiveSince.IsZero() {
			continue
		}
		for _, r := range w.evictable {
			if x, ok := r.evictionCandidate(now); ok {
				runs, candidates = append(runs, r), append(candidates, x)
			}
		}
	}
	chosen := evict.Choose(d, candidates, costs, func(i int) winch.Capacity { return p.freeBy(p.byID[i], now, d.Spare) })
	freed := winch.Capacity{}
	for _, c := range chosen {
		freed = freed.Add(candidates[c.Run].Frees)
	}
	x := p.pool(workers[0].vm.Service)
	for len(chosen) > 0 && !x.evictions.Allows(now, freed, x.capacity, costs) {
		if !d.Partial {
			return
		}
		last := len(chosen) - 1
		freed = freed.Sub(candidates[chosen[last].Run].Frees)
		chosen = chosen[:last]
	}
	if len(chosen) == 0 {
		return
	}
	x.evictions.Spend(now, freed, x.capacity, costs)
	for _, c := range chosen {
		p.evictRun(runs[c.Run], s, d.Need.Times(c.Tasks), c.Tasks, candidates[c.Run], now)
	}
}

// evictCosts returns the times that an eviction is expected to take.
func (p *Planner) evictCosts() evict.Costs {
	return evict.Costs{Stop: p.stopTime.Expected() + orderDelay, Restore: restoreTime}
}

// mayRun returns the workers that are known to be allowed to run the phase. Where a ticket has
// expired, a new one is requested when the capacity becomes free.
func (p *Planner) mayRun(s *phase, now time.Time) []*worker {
	var out []*worker
	if s.job.queue.Advice == nil {
		for _, w := range p.pool(s.job.queue.Service).workers {
			if p.suits(s, w, now) {
				out = append(out, w)
			}
		}
		return out
	}
	for i := range s.advice.allowed {
		if w := s.advice.allowed[i].worker; p.suits(s, w, now) {
			out = append(out, w)
		}
	}
	return out
}

// spareTime returns how long the start of the phase's waiting tasks may still be delayed without
// the job missing its objective.
func (s *phase) spareTime(now time.Time) time.Duration {
	return s.objective().Sub(now) - s.pathAfter() - s.taskTime()
}

// taskTime returns how long a task of the phase takes, as far as it is known.
func (s *phase) taskTime() time.Duration {
	if s.samples > 0 {
		return s.meanTime
	}
	return s.spec.Estimate
}

// pathAfter returns the longest chain of estimates after the phase.
func (s *phase) pathAfter() time.Duration {
	return max(0, s.remainingPath-s.spec.Estimate-s.job.queue.adviceTime())
}

// freeBy returns the capacity of a worker that is expected to be free after the given time, without
// what is held after evictions or claimed for phases of higher rank.
func (p *Planner) freeBy(w *worker, now time.Time, in time.Duration) winch.Capacity {
	free := w.free().Sub(p.claims[w])
	for _, r := range w.runs {
		if left, known := r.timeLeft(now); known && left <= in {
			free = free.Add(r.charge)
		}
	}
	for _, e := range w.evictions {
		free = free.Sub(e.held)
	}
	return free
}

// timeLeft returns how long a run is expected to take from now, and whether that is known. It is not
// known for a run that has exceeded its estimate without reporting progress.
func (r *run) timeLeft(now time.Time) (time.Duration, bool) {
	if r.stopping {
		return max(0, r.workedUntil.Add(r.worker.planner.stopTime.Expected()).Sub(now)), true
	}
	if r.task == nil || r.task.phase.spec.Lasting {
		return 0, false
	}
	if progress := r.percent - r.basePercent; progress > 0 && !r.baseAt.IsZero() && r.progressedAt.After(r.baseAt) {
		left := time.Duration(float64(r.progressedAt.Sub(r.baseAt)) * (100 - r.percent) / progress)
		return max(0, left-now.Sub(r.progressedAt)), true
	}
	full := float64(r.task.phase.taskTime()) * r.worker.planner.factor(r.worker)
	left := time.Duration(full*(100-max(r.percent, r.task.resumesAt))/100) - now.Sub(r.since)
	return left, left > 0
}

// evictionCandidate returns what decides whether a run is stopped, and whether it may be stopped at
// all.
func (r *run) evictionCandidate(now time.Time) (evict.Run, bool) {
	t := r.task
	s := t.phase
	j := s.job
	left, known := r.timeLeft(now)
	if !known || !r.started || r.probe != nil || t.suspicion().suspected() || j.queue == nil || j.queue.Priority == 0 || j.cancelled || j.state.Final() {
		return evict.Run{}, false
	}
	return evict.Run{
		Worker: r.worker.index, Frees: r.charge, Remaining: left, Unsaved: now.Sub(later(r.since, r.savedAt)),
		Slack: s.slackOf(left, now), Ticket: j.queue.turnaround, Stops: t.stops,
	}, true
}

// noSlackLimit is the slack of work that its caller no longer waits for.
const noSlackLimit = time.Duration(1<<63 - 1)

// slackOf returns how much later a run of the phase that takes the given time may end. The deadline
// is the job's objective or, if it cannot be met in any case, the time until which the caller waits.
func (s *phase) slackOf(left time.Duration, now time.Time) time.Duration {
	after := time.Duration(newChainFactor * float64(s.pathAfter()))
	needs := left + after
	if s.waiting > 0 {
		needs = max(needs, s.taskTime()+after)
	}
	objective := s.objective()
	for _, deadline := range []time.Time{objective, s.callerDeadline(objective)} {
		if !now.Add(needs).After(deadline) {
			return deadline.Sub(now) - left - after
		}
	}
	return noSlackLimit
}

// isEvictable reports whether runs of the phase may be stopped for urgent work, as far as that
// depends on the phase alone.
func isEvictable(spec *winch.Phase) bool {
	return spec.Checkpoints && !spec.Gang && !spec.Lasting && !spec.Fills
}
