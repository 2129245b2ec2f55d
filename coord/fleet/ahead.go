package fleet

import "time"

// aheadFraction is the largest fraction of a ticket's validity that may pass before the phase it is
// requested for is expected to start.
const aheadFraction = 0.5

// anticipate marks the phases that follow this one, whose tasks all run or have ended, as phases
// for which advice may be requested early. It does so only for urgent work: for other work, such
// requests would occupy lanes for longer than the time they save.
func (s *phase) anticipate() {
	if !s.job.inUrgentQueue() || s.job.queue.Advice == nil {
		return
	}
	for _, next := range s.next {
		if !next.anticipated && next.advice.requested.IsZero() {
			next.anticipated = true
			s.job.planner.anticipated = append(s.job.planner.anticipated, next)
		}
	}
}

// requestAhead enqueues requests about anticipated phases that will start soon, within what is left
// of the quota, so that their tickets arrive before the preceding phases end and are still valid
// then.
func (p *Planner) requestAhead(now time.Time) {
	kept := p.anticipated[:0]
	for _, s := range p.anticipated {
		if s.enqueued || s.dependenciesDone() || s.job.cancelled || s.job.state.Final() || !s.advice.requested.IsZero() {
			s.anticipated = false
			continue
		}
		kept = append(kept, s)
		left, soon := s.startsIn(now)
		if !soon || left > time.Duration(aheadFraction*float64(s.job.queue.Advice.Valid)) {
			continue
		}
		if p.needsAdvice(s, now, 0) && *p.Quota.forPhase(s) > p.starvingQuota(s) {
			p.enqueueRequest(s, now, p.rank(s, now), 0)
		}
	}
	clear(p.anticipated[len(kept):])
	p.anticipated = kept
}

// startsIn returns how long the preceding phases are expected to take from now, and whether that is
// known: all their tasks must run or have ended.
func (s *phase) startsIn(now time.Time) (time.Duration, bool) {
	left := time.Duration(0)
	for _, a := range s.after {
		if a.live > maxStarts {
			return 0, false // They hardly end at the same time.
		}
		for _, t := range a.tasks {
			if t.done {
				continue
			}
			at, ends := t.expectedCompletion(now)
			if !ends {
				return 0, false
			}
			left = max(left, at.Sub(now))
		}
	}
	return left, true
}
