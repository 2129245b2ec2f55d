package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// largeFraction is the fraction of a worker's capacity from which a task counts as large: at
	// most one more task of its kind fits beside it.
	largeFraction = 0.5
	// slotsTTL is how long computed slots and expected releases are reused.
	slotsTTL = 20 * time.Millisecond
	// maxPlannedPhases bounds the phases for which one Schedule plans slots, maxSearchedPhases those
	// whose slots it computes again.
	maxPlannedPhases  = 64
	maxSearchedPhases = 6
	// expectedStopTime is how long a run that is being stopped is expected to hold its capacity.
	expectedStopTime = 300 * time.Millisecond
	// minRemainingTime is the minimum time that a run is expected to take from now.
	minRemainingTime = 50 * time.Millisecond
)

// reservation is capacity of one worker that is reserved for waiting phases.
type reservation struct {
	capacity winch.Capacity
	from     time.Time // from is when the first of the phases is expected to use it.
}

// slot is space for one task of a phase at a worker.
type slot struct {
	w  *worker
	at time.Time // at is when the slot is expected to be free.
}

// reserve reserves capacity for a phase that waits for several slots at once or for a large part of
// a worker. Otherwise small tasks would take the capacity piece by piece as it becomes free, and
// the phase would wait for as long as small tasks keep arriving. Tasks that end before the phase is
// expected to start may still use the capacity.
func (p *Planner) reserve(s *phase, now time.Time, r rank) {
	if !p.Policy.Reserve || s.wideGang() || p.plannedPhases >= maxPlannedPhases || s.waiting == 0 || r.class >= rankExcess || !s.job.team.allows(s.nextStartNeed()) || !p.sparesUrgent(s) {
		s.slots = nil
		return
	}
	if s.job.queue.Advice == nil && !s.spec.Gang && !s.largeSomewhere() {
		s.slots = nil // Nothing would use them.
		return
	}
	p.plannedPhases++
	p.findSlots(s, now)
	if len(s.slots) > 0 && (s.spec.Gang || s.large(s.slots[0].w)) {
		p.reserveSlots(s, now)
	}
}

// findSlots finds slots for the waiting tasks of a phase, as many as one Schedule starts; a gang takes all
// or none.
func (p *Planner) findSlots(s *phase, now time.Time) {
	wants := min(s.waiting, maxStarts)
	if s.spec.Gang && (s.gang.stopping || s.gang.number == 0) {
		wants = len(s.tasks)
	}
	if now.Sub(s.slotsFoundAt) < slotsTTL && (len(s.slots) == wants || s.slots == nil && s.spec.Gang && p.sharesBind(s)) {
		return
	}
	if p.searchedPhases < maxSearchedPhases {
		p.searchedPhases++
		s.slotsFoundAt, s.slots = now, p.earliestSlots(s, now, wants)
	}
	if s.spec.Gang && len(s.slots) < wants {
		s.slots = nil
	}
	s.slots = s.slots[:min(wants, len(s.slots))]
}

// reserveSlots reserves the capacity of a phase's slots against the phases ranked after it, from
// when the last slot is expected to be free and the phase to have its tickets.
func (p *Planner) reserveSlots(s *phase, now time.Time) {
	from := s.slots[len(s.slots)-1].at
	if response := s.advice.responseExpected(s.job.queue, now); from.Before(response) {
		from = response
	}
	for _, x := range s.slots {
		reserved := &x.w.reserved
		if reserved.from.IsZero() {
			p.reservedWorkers = append(p.reservedWorkers, x.w)
		}
		if reserved.from.IsZero() || from.Before(reserved.from) {
			reserved.from = from
		}
		reserved.capacity = reserved.capacity.Add(s.spec.Charge())
	}
}

// clearReservations drops the reservations of the last Schedule.
func (p *Planner) clearReservations() {
	for _, w := range p.reservedWorkers {
		w.reserved = reservation{}
	}
	clear(p.reservedWorkers)
	p.reservedWorkers = p.reservedWorkers[:0]
}

// large reports whether a task of the phase takes a large part of a worker.
func (s *phase) large(w *worker) bool {
	need, capacity := s.spec.Charge(), w.vm.Room
	return float64(need.Milli) >= largeFraction*float64(capacity.Milli) ||
		float64(need.Memory) >= largeFraction*float64(capacity.Memory) ||
		need.Accelerators > 0 && float64(need.Accelerators) >= largeFraction*float64(capacity.Accelerators)
}

// largeSomewhere reports whether the phase may be large at some worker.
func (s *phase) largeSomewhere() bool {
	return slices.ContainsFunc(s.job.planner.pool(s.job.queue.Service).workers, s.large)
}

// earliestSlots returns a slot for each of at most limit tasks of the phase, at workers where it is
// known to be allowed, those that become free earliest first.
func (p *Planner) earliestSlots(s *phase, now time.Time, limit int) []slot {
	out := topK[slot]{limit: limit, before: earlierSlot}
	counts := s.runsPerWorker()
	add := func(w *worker) {
		if p.suits(s, w, now) {
			s.addSlots(&out, w, now, remainingPerVM(s.spec.MostPerVM, counts[w]))
		}
	}
	if s.job.queue.Advice == nil {
		workers := p.pool(s.job.queue.Service).workers
		p.examined += len(workers)
		for _, w := range workers {
			add(w)
		}
	} else {
		p.examined += len(s.advice.allowed)
		for i := range s.advice.allowed {
			add(s.advice.allowed[i].worker)
		}
	}
	return out.values
}

// earlierSlot reports whether slot a becomes free before slot b.
func earlierSlot(a, b slot) bool {
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.w.index < b.w.index
}

// addSlots adds the slots at one worker, at most limit.
func (s *phase) addSlots(out *topK[slot], w *worker, now time.Time, limit int) {
	free := w.free().Sub(w.reserved.capacity)
	n := 0
	add := func(at time.Time) {
		for fits := s.fitInto(free, limit); n < fits; n++ {
			out.add(slot{w, at})
		}
	}
	add(now)
	for _, release := range w.expectedReleases(now) {
		free = free.Add(release.capacity)
		add(later(release.at, now.Add(minRemainingTime)))
	}
}

// expectedRelease is capacity that is expected to become free.
type expectedRelease struct {
	at       time.Time
	capacity winch.Capacity
}

// expectedReleases returns the capacity that is likely to become free at the worker, with the
// times, the earliest first. The list is computed again when the worker's runs have changed or
// after slotsTTL.
func (w *worker) expectedReleases(now time.Time) []expectedRelease {
	if w.cachedReleasesChanges == w.changes && now.Sub(w.cachedReleasesAt) < slotsTTL {
		return w.cachedReleases
	}
	out := w.cachedReleases[:0]
	for r, times := range w.sampledRuns() {
		if at, ok := r.expectedCompletion(now); ok {
			out = append(out, expectedRelease{at, r.charge.Times(times)})
		}
	}
	slices.SortFunc(out, func(a, b expectedRelease) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.capacity.Milli, b.capacity.Milli), cmp.Compare(a.capacity.Accelerators, b.capacity.Accelerators))
	})
	w.cachedReleases, w.cachedReleasesChanges, w.cachedReleasesAt = out, w.changes, now
	return out
}

// expectedCompletion returns when a run is expected to end: extrapolated from its progress if it
// has reported any, otherwise from its estimate. Runs of lasting tasks and of unknown jobs are not
// expected to end.
func (r *run) expectedCompletion(now time.Time) (time.Time, bool) {
	earliest := now.Add(minRemainingTime)
	switch {
	case r.stopping:
		return later(r.workedUntil.Add(expectedStopTime), earliest), true
	case r.task == nil || r.task.phase.spec.Lasting:
		return time.Time{}, false
	}
	duration := r.worker.planner.expectedRunTime(r.task.phase, r.worker)
	if r.percent > 0 && r.progressedAt.After(r.since) {
		duration = time.Duration(float64(r.progressedAt.Sub(r.since)) * 100 / r.percent)
	}
	return later(r.since.Add(duration), earliest), true
}

// availableCapacity returns the capacity of a worker that a phase may use now.
func (p *Planner) availableCapacity(s *phase, w *worker, now time.Time) winch.Capacity {
	free := w.free()
	if len(w.evictions) > 0 {
		free = free.Sub(w.heldFromOthers(s))
	}
	if w.reserved.from.IsZero() || now.Add(p.expectedRunTime(s, w)).Before(w.reserved.from) {
		return free
	}
	return free.Sub(w.reserved.capacity)
}

// responseExpected returns when the response to an advice request about the phase is expected, or
// the zero time if the phase needs none now.
func (a *advice) responseExpected(q *queue, now time.Time) time.Time {
	if q.Advice == nil {
		return time.Time{}
	}
	if slices.ContainsFunc(a.allowed, func(t permit) bool { return t.valid(now) }) {
		return time.Time{}
	}
	if a.pending {
		return a.requested.Add(q.turnaround)
	}
	return now.Add(q.turnaround)
}
