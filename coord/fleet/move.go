package fleet

import (
	"cmp"
	"slices"
	"time"
)

// moveLasting stops lasting tasks at workers that are about to leave, so that they start
// elsewhere. Otherwise they would end with the worker and, as the planner cannot know that, would
// be restarted only after the worker's lease had expired: their users would get no service for
// seconds although the leave was announced. A task is stopped only once other workers have
// capacity for it, and the advice service's permission where it is needed.
func (p *Planner) moveLasting(now time.Time) {
	leavingRuns := p.runsToMove()
	phases := make([]*phase, 0, len(leavingRuns))
	for s := range leavingRuns {
		phases = append(phases, s)
	}
	slices.SortFunc(phases, func(a, b *phase) int {
		return cmp.Or(cmp.Compare(a.job.rec.ID, b.job.rec.ID), cmp.Compare(a.index, b.index), cmp.Compare(a.repetition, b.repetition))
	})
	for _, s := range phases {
		runs := leavingRuns[s]
		slots := max(0, p.ticketedTasks(s, now)-s.waiting)
		for _, r := range runs[:min(slots, len(runs))] {
			p.stopRun(r)
		}
		if slots < len(runs) {
			p.requestAdvice(s, now, p.rank(s, now), len(runs)-slots)
		}
	}
}

// runsToMove returns the runs of lasting tasks at workers that are about to leave.
func (p *Planner) runsToMove() map[*phase][]*run {
	out := make(map[*phase][]*run)
	for _, w := range p.workers {
		if !w.vm.Draining || !w.ready || w.lasting == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.movable() {
				out[r.task.phase] = append(out[r.task.phase], r)
			}
		}
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.key.task.Index, b.key.task.Index) })
	}
	return out
}

// movable reports whether a run is to continue at another worker. Gangs are not moved, since all
// members would have to move.
func (r *run) movable() bool {
	if r.task == nil || r.stopping || !r.started {
		return false
	}
	s := r.task.phase
	return s.spec.Lasting && !s.spec.Gang && !s.job.cancelled && !s.job.state.Final() && s.job.queue != nil
}
