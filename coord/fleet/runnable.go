package fleet

import (
	"math"

	"plantainwinch/winch"
)

// parallelism is how many tasks of a phase could run at once, with what it was computed from.
type parallelism struct {
	tasks           int
	known           bool
	workers         uint64 // workers is the signature of the pool.
	denied, allowed int    // denied and allowed are the numbers of workers in the phase's advice.
}

// maxParallel returns how many tasks of the phase could run at once if nothing else ran: on the workers that may be
// given work now, and within its team's limit. It is zero for a phase of which nothing can run at present.
// Work that waits for something other than capacity must not keep other work waiting, so whatever
// is reserved, ranked, evicted or refused for waiting work goes by this number.
func (s *phase) maxParallel() int {
	n := min(s.parallelOnWorkers(), s.job.team.parallel(s.spec.Need))
	if s.spec.Gang && n < len(s.tasks) {
		return 0
	}
	return n
}

// startableNow returns how many of the phase's waiting tasks could run at once beside those that run.
func (s *phase) startableNow() int {
	return max(0, min(s.waiting, s.maxParallel()-s.live))
}

// parallelOnWorkers returns how many tasks of the phase fit into the workers that may be given work if nothing
// else runs there.
func (s *phase) parallelOnWorkers() int {
	p := s.job.planner
	x := p.poolOf(s.job.queue)
	key := parallelism{known: true, workers: x.signature, denied: len(s.advice.denied), allowed: len(s.advice.allowed)}
	if key.tasks = s.parallel.tasks; key == s.parallel {
		return key.tasks
	}
	if s.job.queue.Advice != nil {
		p.markByAdvice(s, p.now())
	}
	key.tasks = 0
	for _, w := range x.workers {
		denied := s.job.queue.Advice != nil && w.markedRound == p.markRound && w.markedAs == markDenied
		if !denied && s.ofKind(w) {
			key.tasks += s.fitInto(w.vm.Room, remainingPerVM(s.spec.MostPerVM, 0))
		}
		if key.tasks >= len(s.tasks) {
			break
		}
	}
	s.parallel = key
	return key.tasks
}

// parallel returns how many tasks of the given need the team's limit allows at once.
func (t *team) parallel(need winch.Capacity) int {
	n := math.MaxInt
	if t.Cap.Milli > 0 && need.Milli > 0 {
		n = min(n, int(t.Cap.Milli/need.Milli))
	}
	if t.Cap.Memory > 0 && need.Memory > 0 {
		n = min(n, int(t.Cap.Memory/need.Memory))
	}
	if t.Cap.Accelerators > 0 && need.Accelerators > 0 {
		n = min(n, t.Cap.Accelerators/need.Accelerators)
	}
	return n
}

// blockedReason returns why nothing of the phase can run at present, however much capacity is free, or zero. It is
// found anew in each Schedule, so that the phase can start as soon as a worker, a configuration or advice permits it.
func (s *phase) blockedReason() Reason {
	x := s.job.planner.poolOf(s.job.queue)
	switch {
	case s.maxParallel() > 0, s.spec.Gang && s.live > 0:
		return 0 // What runs of a gang that cannot be complete is stopped.
	case x.allEvacuated():
		return WaitEvacuated
	case s.job.team.parallel(s.spec.Need) == 0, s.spec.Gang && s.job.team.parallel(s.spec.Need) < len(s.tasks):
		return WaitLimit
	}
	return WaitWorker
}
