package fleet

import (
	"slices"
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

const (
	// holdMargin is how long freed capacity is held beyond the time that a new ticket takes.
	holdMargin = 200 * time.Millisecond
	// maxStopDelay is how much later than expected a stop may end; after that its capacity is no
	// longer counted on.
	maxStopDelay = 500 * time.Millisecond
	// returnBonus is the amount by which the rank key of work that was stopped for urgent work is
	// reduced: it exceeds the differences between the keys of a class.
	returnBonus = 1e5
)

// eviction is the stop of a run for urgent work. The capacity is held until the urgent work has
// started, or until it no longer needs it.
type eviction struct {
	run *run
	// phase is the phase that the run was stopped for; nil if that is urgent work that is only
	// expected.
	phase *phase
	held  winch.Capacity
	tasks int // tasks is the number of the phase's tasks that held is for.
	// ordered is when the stop was ordered, due when it is expected to have ended, freedAt when it
	// did.
	ordered, due, freedAt time.Time
	saved                 bool // saved is set if the run's work was saved at the stop.
}

// Eviction describes a run that was stopped for urgent work.
type Eviction struct {
	Task   winch.RunID
	Run    uint64
	Worker string
	// For is the phase that waited; its job is empty if the demand was a forecast.
	For winch.RunID
	// AtRisk is the processor time since the last known checkpoint, Slack how much later the job
	// could end without missing its deadline, and Remaining the expected rest of the run.
	AtRisk, Slack, Remaining time.Duration
	Stops                    int           // Stops counts the task's evictions including this one.
	ProgressAge              time.Duration // ProgressAge is the age of the run's last progress.
	Stop                     time.Duration // Stop is how long the stop is expected to take.
}

// Evictions returns the runs that were stopped for urgent work since the last call.
func (p *Planner) Evictions() []Eviction {
	out := p.evictionLog
	p.evictionLog = nil
	return out
}

// EvictionLost returns the processor time for which tasks did not work because their runs were stopped
// for urgent work.
func (p *Planner) EvictionLost() time.Duration {
	return p.counts.EvictionLost
}

// evictRun stops a run and holds its capacity.
func (p *Planner) evictRun(r *run, s *phase, held winch.Capacity, tasks int, c evict.Run, now time.Time) {
	t := r.task
	t.stops++
	t.evicted, t.resumesAt = true, max(r.percent, t.resumesAt)
	p.stopRun(r)
	t.phase.accountWait(now, WaitEvicted)
	stop := p.evictCosts().Stop
	e := &eviction{run: r, phase: s, held: held, tasks: tasks, ordered: now, due: now.Add(stop)}
	r.eviction = e
	r.worker.evictions = append(r.worker.evictions, e)
	p.evictions = append(p.evictions, e)
	p.counts.Evicted++
	x := Eviction{
		Task: r.key.task, Run: r.key.run, Worker: r.worker.vm.ID, AtRisk: c.AtRisk(), Slack: c.Slack, Remaining: c.Remaining,
		Stops: t.stops, ProgressAge: now.Sub(r.progressedAt), Stop: stop,
	}
	if s != nil {
		x.For = s.id()
	}
	p.evictionLog = append(p.evictionLog, x)
}

// noteStopped records the completion of a run that was stopped for urgent work.
func (r *run) noteStopped(e winch.Completion, now time.Time) {
	if r.eviction == nil {
		return
	}
	r.eviction.saved = e.Checkpoint != "" || e.Kind == winch.CompletionDone
	if e.Kind == winch.CompletionStopped {
		r.worker.planner.stopTime.Observe(now.Sub(r.eviction.ordered))
	}
}

// evictionEnded records that a run that was stopped for urgent work no longer exists, and counts
// what the eviction cost: the processor time of the stop and, if it was not saved, the run time
// since the last checkpoint.
func (p *Planner) evictionEnded(r *run) {
	e := r.eviction
	if e == nil {
		return
	}
	e.freedAt = p.now()
	lost := e.freedAt.Sub(e.ordered)
	if !e.saved {
		lost += e.ordered.Sub(later(r.since, r.savedAt))
	}
	p.counts.EvictionLost += time.Duration(float64(lost) * float64(r.charge.Milli) / 1000)
}

// refreshEvictions releases capacity that is held after evictions and no longer needed.
func (p *Planner) refreshEvictions(now time.Time) {
	if len(p.evictions) == 0 {
		return
	}
	needed := make(map[*phase]int)
	kept := p.evictions[:0]
	for _, e := range p.evictions {
		if e.phase != nil {
			if _, counted := needed[e.phase]; !counted {
				needed[e.phase] = e.phase.mayNeed()
			}
			if e.tasks > needed[e.phase] {
				e.tasks = needed[e.phase]
				e.held = e.phase.spec.Charge().Times(e.tasks)
			}
			needed[e.phase] -= e.tasks
		}
		if p.stillHolds(e, now) {
			kept = append(kept, e)
			continue
		}
		w := e.run.worker
		w.evictions = slices.DeleteFunc(w.evictions, func(x *eviction) bool { return x == e })
	}
	clear(p.evictions[len(kept):])
	p.evictions = kept
}

// mayNeed returns how many tasks of the phase still wait for capacity and may be started.
func (s *phase) mayNeed() int {
	if !s.ready() {
		return 0
	}
	return s.waiting
}

// stillHolds reports whether the capacity of an eviction is still to be held.
func (p *Planner) stillHolds(e *eviction, now time.Time) bool {
	switch {
	case !e.run.worker.usable() || e.phase != nil && e.tasks == 0 || e.held.Milli <= 0 && e.held.Memory <= 0 && e.held.Accelerators <= 0:
		return false
	case e.freedAt.IsZero():
		return now.Sub(e.due) <= maxStopDelay
	case e.phase == nil:
		return now.Sub(e.freedAt) <= aheadHold
	}
	return now.Sub(e.freedAt) <= e.phase.job.queue.turnaround+holdMargin
}

// claimHeld uses the capacity held at a worker for a task of the phase that is started there.
func (w *worker) claimHeld(s *phase) {
	for _, mine := range []bool{true, false} {
		for _, e := range w.evictions {
			if mine && e.phase == s && e.tasks > 0 || !mine && e.phase == nil && s.job.urgent() && e.held.Milli > 0 {
				e.tasks--
				e.held = e.held.Sub(s.spec.Charge()).Positive()
				return
			}
		}
	}
}

// heldFromOthers returns the free capacity of the worker that is held for other work than the
// phase. Of a run that is still being stopped, the capacity is not free yet.
func (w *worker) heldFromOthers(s *phase) winch.Capacity {
	out := winch.Capacity{}
	for _, e := range w.evictions {
		switch {
		case e.phase == s || e.phase == nil && s.job.urgent():
		case e.freedAt.IsZero():
			out = out.Add(e.held.Sub(e.run.charge).Positive())
		default:
			out = out.Add(e.held)
		}
	}
	return out
}

// freeingTasks returns the number of the phase's tasks for which capacity is held or being freed.
func (p *Planner) freeingTasks(s *phase) int {
	n := 0
	for _, e := range p.evictions {
		if e.phase == s {
			n += e.tasks
		}
	}
	return n
}

// freeingTicketed counts the phase's tasks for which capacity is being freed at workers whose
// tickets are valid long enough.
func (p *Planner) freeingTicketed(s *phase) int {
	n := 0
	for _, e := range p.evictions {
		if e.phase == s && e.freedAt.IsZero() && s.advice.permitFor(e.run.worker).valid(e.due) {
			n += e.tasks
		}
	}
	return n
}

// freeingAt returns the number of the phase's tasks for which capacity is being freed at a worker,
// and when the last stop there is expected to have ended.
func (s *phase) freeingAt(w *worker) (tasks int, due time.Time) {
	for _, e := range w.evictions {
		if e.phase == s && e.freedAt.IsZero() {
			tasks, due = tasks+e.tasks, later(due, e.due)
		}
	}
	return tasks, due
}

// countEvictable adds a run to the worker's runs that may be stopped for urgent work if on is set,
// and otherwise removes it.
func (r *run) countEvictable(on bool) {
	on = on && r.task != nil && !r.stopping && isEvictable(r.task.phase.spec)
	if on == r.evictable {
		return
	}
	r.evictable = on
	w := r.worker
	if on {
		w.evictable = append(w.evictable, r)
		w.planner.evictable++
		return
	}
	w.evictable = slices.DeleteFunc(w.evictable, func(x *run) bool { return x == r })
	w.planner.evictable--
}

// returning changes the rank of a phase so that tasks that were stopped for urgent work start
// before new work of their class.
func (s *phase) returning(r rank) rank {
	if s.evicted.count > 0 && r.class != rankUrgent {
		r.key -= returnBonus
	}
	return r
}
