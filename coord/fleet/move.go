package fleet

import (
	"cmp"
	"slices"
	"time"
)

// move stops tasks that last at workers that are about to leave, so that they start
// elsewhere. Left there they would end with the worker, and as far as anybody knows
// they could run on until its lease had lapsed: nobody would serve their users for
// seconds, though the leave was announced. A task is stopped only once other workers
// have room for it, and permits where they need them.
func (p *Planner) move(now time.Time) {
	leaving := p.leaving()
	steps := make([]*step, 0, len(leaving))
	for s := range leaving {
		steps = append(steps, s)
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.job.rec.ID, b.job.rec.ID), cmp.Compare(a.phase, b.phase), cmp.Compare(a.k, b.k))
	})
	for _, s := range steps {
		runs := leaving[s]
		places := max(0, p.covered(s, now)-s.waiting)
		for _, r := range runs[:min(places, len(runs))] {
			p.stop(r)
		}
		if places < len(runs) {
			p.advise(s, now, p.rank(s, now), len(runs)-places)
		}
	}
}

// leaving returns the runs of tasks that last at workers that are about to leave.
func (p *Planner) leaving() map[*step][]*run {
	out := make(map[*step][]*run)
	for _, w := range p.workers {
		if !w.vm.Draining || !w.ready || w.lasting == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.moves() {
				out[r.task.step] = append(out[r.task.step], r)
			}
		}
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.key.task.Index, b.key.task.Index) })
	}
	return out
}

// moves reports whether a run is to go on at another worker. The members of a gang
// would all have to move.
func (r *run) moves() bool {
	if r.task == nil || r.stopping || !r.started {
		return false
	}
	s := r.task.step
	return s.spec.Lasting && !s.spec.Gang && !s.job.cancelled && !s.job.state.Final() && s.job.queue != nil
}
