package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptAfter is how long a gang or a large task has to wait for room yet, for
	// other work to be stopped for it.
	preemptAfter = time.Second
	// preemptMargin is how much more slack in seconds the work that is stopped must
	// have: it starts again behind the one it is stopped for.
	preemptMargin = 3.0
	// preemptLeft is the least that a run that is stopped had yet to do.
	preemptLeft = time.Second
	// preemptGap is the pause between two preemptions, so that what they lead to is
	// seen before the next.
	preemptGap = 250 * time.Millisecond
	// mostVictims bounds the runs that are stopped for one step, and mostYields how
	// often one task is stopped for others.
	mostVictims = 16
	mostYields  = 2
)

// preempt stops work with more time to spare for a step that waits long for places at
// workers that allow it. Only work that saves its progress is stopped: it resumes
// where it was.
func (p *Planner) preempt(s *step, now time.Time, r rank) {
	if !p.Policy.Preempt || len(s.slots) == 0 || now.Sub(p.preempted) < preemptGap {
		return
	}
	if s.slots[len(s.slots)-1].at.Sub(now) < preemptAfter || !s.spec.Gang && !s.large(s.slots[0].w) {
		return
	}
	victims := p.victims(s, now, r)
	if len(victims) == 0 {
		return
	}
	p.preempted = now
	for _, v := range victims {
		v.task.yields++
		p.counts.Preempted++
		p.stop(v)
	}
}

// victims returns the runs to stop so that all tasks of a step have room, or none if
// there is no such set.
func (p *Planner) victims(s *step, now time.Time, r rank) []*run {
	var out []*run
	wants := len(s.slots)
	for _, c := range p.clearings(s, now, r) {
		if wants <= 0 {
			break
		}
		out = append(out, c.victims...)
		wants -= c.places
	}
	if wants > 0 || len(out) > mostVictims {
		return nil
	}
	return out
}

// clearing is a worker with the runs whose stop makes room there for some tasks.
type clearing struct {
	w       *worker
	victims []*run
	places  int
}

// clearings returns the workers of a step, those that cost the fewest runs a place first.
func (p *Planner) clearings(s *step, now time.Time, r rank) []clearing {
	var out []clearing
	for _, w := range p.workers {
		if _, known := s.known.allowed[w.vm.ID]; !known && s.job.queue.Advice != nil || !p.suits(s, w, now) {
			continue
		}
		if c := p.clear(s, w, now, r); c.places > 0 {
			out = append(out, c)
		}
	}
	cost := func(c clearing) float64 { return float64(len(c.victims)) / float64(c.places) }
	slices.SortFunc(out, func(a, b clearing) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.w.vm.ID, b.w.vm.ID))
	})
	return out
}

// clear finds the runs whose stop makes room at a worker for a task of a step, those
// with the most time to spare first.
func (p *Planner) clear(s *step, w *worker, now time.Time, r rank) clearing {
	left := w.free().Sub(p.held[w].room)
	for _, e := range w.runs {
		if e.stopping {
			left = left.Add(e.charge)
		}
	}
	// What is kept there for the step itself is its own.
	for _, x := range s.slots {
		if x.w == w {
			left = left.Add(s.spec.Charge())
		}
	}
	out := clearing{w: w, places: p.fitInto(s, w, left)}
	if out.places > 0 {
		return out
	}
	for _, v := range p.yielding(w, now, r) {
		out.victims = append(out.victims, v)
		left = left.Add(v.charge)
		if out.places = p.fitInto(s, w, left); out.places > 0 {
			return out
		}
	}
	return clearing{}
}

// yielding returns the runs at a worker that may be stopped for work of a rank, those
// with the most time to spare first.
func (p *Planner) yielding(w *worker, now time.Time, r rank) []*run {
	type choice struct {
		run *run
		key float64
	}
	var all []choice
	for _, v := range w.runs {
		if !v.yields(now) {
			continue
		}
		other := p.rank(v.task.step, now)
		if other.class > r.class || other.class == r.class && other.key > r.key+preemptMargin {
			all = append(all, choice{v, float64(other.class)*1e6 + other.key})
		}
	}
	slices.SortFunc(all, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.key, a.key), cmp.Compare(a.run.key.run, b.run.key.run))
	})
	out := make([]*run, 0, len(all))
	for _, c := range all {
		out = append(out, c.run)
	}
	return out
}

// yields reports whether a run may be stopped for other work: it saves its progress,
// and has some time to go.
func (r *run) yields(now time.Time) bool {
	if r.task == nil || !r.started || r.stopping || r.task.yields >= mostYields {
		return false
	}
	s := r.task.step
	if !s.spec.Checkpoints || s.spec.Lasting || s.spec.Gang && len(s.tasks) > 1 || s.job.quick() || s.job.queue == nil {
		return false
	}
	end, ok := r.expectedEnd(now)
	return ok && end.Sub(now) >= preemptLeft
}
