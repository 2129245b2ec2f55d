package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// largePart is the part of a worker's room from which on a task counts as large:
	// at most one more of its kind fits beside it.
	largePart = 0.5
	// replanTime is how long the places that were found for a step are kept.
	replanTime = 20 * time.Millisecond
	// mostPlanned bounds the steps that places are kept for in one Schedule, mostSearched
	// those that places are looked for anew.
	mostPlanned  = 64
	mostSearched = 6
	// stopSoon is how long a stopped run is expected to hold its room.
	stopSoon = 300 * time.Millisecond
	// leastLeft is the least that a run is expected to take yet.
	leastLeft = 50 * time.Millisecond
)

// reservation is room of a worker that is kept for a step which waits for it.
type reservation struct {
	room winch.Room
	from time.Time // from is when the step is expected to use it.
}

// slot is a place for one task of a step.
type slot struct {
	w  *worker
	at time.Time // at is when there is expected to be room.
}

// reserve keeps room for a step that waits for several places at once, or for a large
// part of a worker: as small tasks end, others would take their room one by one, and the
// step would wait as long as any of them come. What ends before the step is expected to
// start may still use the room.
func (p *Planner) reserve(s *step, now time.Time, r rank) {
	if !p.Policy.Reserve || p.planned >= mostPlanned || s.waiting == 0 || r.class >= rankExcess || !s.job.team.allows(s.wantsAtOnce()) || !p.spare(s) {
		s.slots = nil
		return
	}
	p.planned++
	p.findSlots(s, now)
	if len(s.slots) > 0 && (s.spec.Gang || s.large(s.slots[0].w)) {
		p.keepRoom(s, now)
	}
}

// findSlots looks for places for all tasks of a step that wait; a gang takes all or none.
func (p *Planner) findSlots(s *step, now time.Time) {
	wants := s.waiting
	if s.spec.Gang && (s.gang.ending || s.gang.number == 0) {
		wants = len(s.tasks)
	}
	if now.Sub(s.lookedFor) < replanTime && len(s.slots) == wants {
		return
	}
	if p.searched < mostSearched {
		p.searched++
		s.lookedFor, s.slots = now, p.slots(s, now, wants)
	}
	if s.spec.Gang && len(s.slots) < wants {
		s.slots = nil
	}
	s.slots = s.slots[:min(wants, len(s.slots))]
}

// keepRoom keeps the room at a step's places from the steps that come after it, from
// when the last place is expected to come free and the step to have its tickets.
func (p *Planner) keepRoom(s *step, now time.Time) {
	from := s.slots[len(s.slots)-1].at
	if until := s.known.answerBy(s.job.queue, now); from.Before(until) {
		from = until
	}
	for _, x := range s.slots {
		h := &x.w.kept
		if h.from.IsZero() {
			p.kept = append(p.kept, x.w)
		}
		if h.from.IsZero() || from.Before(h.from) {
			h.from = from
		}
		h.room = h.room.Add(s.spec.Charge())
	}
}

// clearKept drops the room that was kept in the last Schedule.
func (p *Planner) clearKept() {
	for _, w := range p.kept {
		w.kept = reservation{}
	}
	clear(p.kept)
	p.kept = p.kept[:0]
}

// large reports whether a task of the step takes a large part of a worker.
func (s *step) large(w *worker) bool {
	need, room := s.spec.Charge(), w.vm.Room
	return float64(need.Milli) >= largePart*float64(room.Milli) ||
		float64(need.Memory) >= largePart*float64(room.Memory) ||
		need.Accelerators > 0 && float64(need.Accelerators) >= largePart*float64(room.Accelerators)
}

// slots returns places for up to some tasks of a step at workers that it is known to be
// allowed at, those that come free first first.
func (p *Planner) slots(s *step, now time.Time, most int) []slot {
	out := topK[slot]{most: most, before: earlier}
	counts := s.perWorker()
	look := func(w *worker) {
		if p.suits(s, w, now) {
			s.slotsAt(&out, w, now, roomFor(s.spec.MostPerVM, counts[w]))
		}
	}
	if s.job.queue.Advice == nil {
		workers := p.pool(s.job.queue.Service).workers
		p.looks += len(workers)
		for _, w := range workers {
			look(w)
		}
	} else {
		p.looks += len(s.known.allowed)
		for i := range s.known.allowed {
			look(s.known.allowed[i].worker)
		}
	}
	return out.list
}

// earlier reports whether a place comes free before another.
func earlier(a, b slot) bool {
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.w.order < b.w.order
}

// slotsAt adds the places at one worker, at most some.
func (s *step) slotsAt(out *topK[slot], w *worker, now time.Time, most int) {
	left := w.free().Sub(w.kept.room)
	n := 0
	add := func(at time.Time) {
		for fits := s.fitInto(left, most); n < fits; n++ {
			out.add(slot{w, at})
		}
	}
	add(now)
	for _, e := range w.expected(now) {
		left = left.Add(e.room)
		add(later(e.at, now.Add(leastLeft)))
	}
}

// expectedEnd is room that is expected to come free.
type expectedEnd struct {
	at   time.Time
	room winch.Room
}

// expected returns the ends that are expected at a worker, the first first. They are
// worked out anew when its runs have changed or after a while.
func (w *worker) expected(now time.Time) []expectedEnd {
	if w.endsOf == w.changes && now.Sub(w.endsAt) < replanTime {
		return w.expects
	}
	out := w.expects[:0]
	for _, r := range w.runs {
		if at, ok := r.expectedEnd(now); ok {
			out = append(out, expectedEnd{at, r.charge})
		}
	}
	slices.SortFunc(out, func(a, b expectedEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.room.Milli, b.room.Milli), cmp.Compare(a.room.Accelerators, b.room.Accelerators))
	})
	w.expects, w.endsOf, w.endsAt = out, w.changes, now
	return out
}

// expectedEnd returns when a run is expected to end: by its progress if it has told
// one, else by its estimate. Runs that last, and those of unknown jobs, are not
// expected to end.
func (r *run) expectedEnd(now time.Time) (time.Time, bool) {
	least := now.Add(leastLeft)
	switch {
	case r.stopping:
		return later(r.until.Add(stopSoon), least), true
	case r.task == nil || r.task.step.spec.Lasting:
		return time.Time{}, false
	}
	took := r.task.step.spec.Estimate
	if r.percent > 0 && r.moved.After(r.since) {
		took = time.Duration(float64(r.moved.Sub(r.since)) * 100 / r.percent)
	}
	return later(r.since.Add(took), least), true
}

// openRoom returns the room of a worker that a step may use now.
func (p *Planner) openRoom(s *step, w *worker, now time.Time) winch.Room {
	left := w.free()
	if w.kept.from.IsZero() || now.Add(s.spec.Estimate).Before(w.kept.from) {
		return left
	}
	return left.Sub(w.kept.room)
}

// answerBy is when an answer to a question about the step is expected; the zero time
// if it needs none now.
func (a *advice) answerBy(q *queue, now time.Time) time.Time {
	if q.Advice == nil {
		return time.Time{}
	}
	if slices.ContainsFunc(a.allowed, func(t permit) bool { return t.good(now) }) {
		return time.Time{}
	}
	if a.asking {
		return a.asked.Add(q.turnaround)
	}
	return now.Add(q.turnaround)
}
