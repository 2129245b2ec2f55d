package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/coord/copies"
	"plantainwinch/winch"
)

// straggler is a run that may be copied, with the part of the task's work that a copy has to do and the
// worker chosen for it.
type straggler struct {
	copies.Straggler
	run    *run
	left   float64
	worker *worker
}

// choose decides which of the stragglers get copies, see copies.Choose.
func choose(list []straggler, rest time.Time, limit int, gain time.Duration) int {
	times := make([]copies.Straggler, 0, len(list))
	for _, x := range list {
		times = append(times, x.Straggler)
	}
	return copies.Choose(times, rest, limit, gain)
}

// usualRunTime returns the usual run time of the phase's tasks at a worker of factor 1, by the tasks that
// are done and the progress of those that run, and whether it is known.
func (s *phase) usualRunTime() (time.Duration, bool) {
	times := slices.Clone(s.copying.runTimes)
	for _, t := range s.tasks {
		if r := t.activeRun(); r != nil {
			if rate, ok := r.reportedRate(percentStep / 2); ok {
				times = append(times, seconds(100/rate/s.job.planner.factor(r.worker)))
			}
		}
	}
	return copies.UsualRunTime(times, len(s.tasks))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// percentStep is the step in which workers report progress, rounded down.
const percentStep = 1

// reportedRate returns the progress of a run in percent per second up to the last report, given how much
// further it is than reported, and whether the rate is known. In contrast to rate, a worker that does not
// respond does not lower it.
func (r *run) reportedRate(further float64) (float64, bool) {
	elapsed := r.reportedAt.Sub(r.baseAt)
	if r.baseAt.IsZero() || elapsed < minProgressTime {
		return 0, false
	}
	return (r.percent - r.basePercent + further) / elapsed.Seconds(), true
}

// projectedEnd returns when a run is expected to end, by its own progress or else by the usual run time and
// the factor of its worker, and whether that is known. The run may be further than reported by almost
// percentStep, which early in a long run makes much of a difference, so it is assumed to be.
func (r *run) projectedEnd(usual time.Duration, now time.Time) (time.Time, bool) {
	earliest := now.Add(minRemainingTime)
	if rate, ok := r.reportedRate(percentStep); ok {
		return later(earliest, r.reportedAt.Add(seconds((100-percentStep-r.percent)/rate))), true
	}
	if r.adopted {
		return earliest, false // Its age is not known.
	}
	left := (100 - r.startPercent) / 100
	return later(earliest, r.since.Add(time.Duration(left*r.worker.planner.factor(r.worker)*float64(usual)))), true
}

// stragglers returns the runs of the phase that may be copied, those that are expected to end last first, and
// when the other tasks are expected to have ended. ok is false if that is not known of all.
func (s *phase) stragglers(usual time.Duration, now time.Time) (out []straggler, rest time.Time, ok bool) {
	rest = now
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		end, known := t.projectedEnd(usual, now)
		if !known {
			return nil, rest, false
		}
		if !t.copyable() {
			rest = later(rest, end)
			continue
		}
		out = append(out, straggler{Straggler: copies.Straggler{End: end, CopyEnd: end}, run: t.runs[0], left: t.workLeft()})
	}
	slices.SortFunc(out, compareStragglers)
	return out, rest, true
}

// projectedEnd returns when the first of the task's runs is expected to end, and whether that is known.
func (t *task) projectedEnd(usual time.Duration, now time.Time) (end time.Time, ok bool) {
	for _, r := range t.runs {
		if r.stopping {
			continue
		}
		if at, known := r.projectedEnd(usual, now); known && (!ok || at.Before(end)) {
			end, ok = at, true
		}
	}
	return end, ok
}

// copyable reports whether the task may have a copy now. Of two runs that may exist one may be
// stopping; a third must not be started.
func (t *task) copyable() bool {
	return len(t.runs) == 1 && !t.runs[0].stopping && t.runs[0].started && t.copies < maxCopies &&
		t.suspicion() == nil && !t.attemptsUsed()
}

// workLeft returns the part of the task's work that a run has to do which starts now.
func (t *task) workLeft() float64 {
	if t.checkpoint == "" {
		return 1
	}
	return 1 - t.checkpointPercent/100
}

// copyOffer is a worker that has capacity for copies.
type copyOffer struct {
	w      *worker
	slots  int
	factor float64
	score  float64
}

// copyOffers returns the workers that may run copies of the phase's tasks now, the fastest first. Workers
// away from the phase's data and workers that are slow after their start are left out: how long runs take
// there is not known.
func (p *Planner) copyOffers(s *phase, now time.Time) []copyOffer {
	var out []copyOffer
	if p.cannotStart(s) {
		return nil
	}
	counts := s.runsPerWorker()
	p.eachEligible(s, now, func(w *worker) {
		free := p.availableCapacity(s, w, now)
		slots := s.fitInto(free, remainingPerVM(s.spec.MostPerVM, counts[w]))
		if slots <= 0 || w.coldShare(s) > 0 || s.spec.Rack != "" && s.spec.Rack != w.vm.Rack || s.spec.SameRack && s.usesOtherRack(w.vm.Rack) {
			return
		}
		out = append(out, copyOffer{w, slots, p.factor(w), p.score(s, w, free)})
	})
	slices.SortFunc(out, func(a, b copyOffer) int {
		return cmp.Or(cmp.Compare(a.factor, b.factor), cmp.Compare(b.score, a.score), cmp.Compare(a.w.index, b.w.index))
	})
	return out
}

// choose takes the first slot at another worker for the copy.
func (x *straggler) choose(offers []copyOffer, usual time.Duration, now time.Time) {
	for i := range offers {
		o := &offers[i]
		if o.slots == 0 || o.w == x.run.worker || o.w.vm.ID == x.run.task.avoidWorker {
			continue
		}
		o.slots--
		x.worker, x.CopyEnd = o.w, copies.ExpectedEnd(now, usual, x.left, o.factor)
		return
	}
}

// noteRunTime adds the run time of a successful run to those that stragglers are compared with. A run that
// began at a checkpoint, or whose begin is not known, says nothing about a whole run.
func (s *phase) noteRunTime(r *run, took time.Duration) {
	if s.permitsCopies() && !r.adopted && r.startPercent == 0 {
		s.copying.runTimes = append(s.copying.runTimes, time.Duration(float64(took)/s.job.planner.factor(r.worker)))
	}
}

// saveCheckpoint takes over the checkpoint that a run of the task has written, unless another run of the task
// is further.
func (t *task) saveCheckpoint(r *run, checkpoint string) {
	if checkpoint == "" || checkpoint == t.checkpoint {
		return
	}
	for _, x := range t.runs {
		if r != nil && x != r && x.percent > r.percent && t.checkpoint != "" {
			return
		}
	}
	t.checkpoint = checkpoint
	if r != nil {
		t.checkpointPercent = r.percent
	}
}

// adoptCheckpoint takes over the checkpoint of a run that an earlier planner started, unless the task's other
// run is further.
func (t *task) adoptCheckpoint(x winch.Running) {
	percent := max(0, x.Percent) // It is negative for a start that is not confirmed.
	for _, r := range t.runs {
		if r.key.run != x.Run && t.checkpoint != "" && (x.Checkpoint == "" || r.percent > percent) {
			return
		}
	}
	t.checkpoint, t.checkpointPercent = x.Checkpoint, percent
}

// expectedCompletion returns when the first of the task's runs is expected to end, and whether one is.
func (t *task) expectedCompletion(now time.Time) (end time.Time, ok bool) {
	for _, r := range t.runs {
		if r.stopping {
			continue
		}
		if at, ends := r.expectedCompletion(now); ends && (!ok || at.Before(end)) {
			end, ok = at, true
		}
	}
	return end, ok
}

// goesOn reports whether a run does the task's work in a phase whose tasks may have two.
func (t *task) goesOn() bool {
	return t.phase.permitsCopies() && t.activeRun() != nil
}

// isolateCopy stops the other run of a task under one of whose runs a worker crashed, if the task is now
// suspected of crashing workers: a suspect runs only as a probe. A run that has lived long enough shows
// instead that the task is not the cause.
func (p *Planner) isolateCopy(t *task, crashed uint64) {
	x := t.suspicion()
	if !t.phase.permitsCopies() || !x.suspected() {
		return
	}
	for _, r := range t.runs {
		if r.key.run == crashed || r.probe != nil {
			continue
		}
		if p.clearIfSurvived(r, r.lastActive(p.now())); t.suspicion() == nil {
			return
		}
		p.stopRun(r)
	}
}
