package fleet

import "time"

// aheadPart is the part of a ticket's time that may pass until the step that it is asked for
// is expected to start.
const aheadPart = 0.5

// anticipate lists the steps of urgent work that come after a step all of whose tasks run
// or have ended. Questions about other work take lanes for longer than they save it time.
func (s *step) anticipate() {
	if !s.job.quick() || s.job.queue.Advice == nil {
		return
	}
	for _, next := range s.next {
		if !next.ahead && next.known.asked.IsZero() {
			next.ahead = true
			s.job.planner.ahead = append(s.job.planner.ahead, next)
		}
	}
}

// askAhead asks about steps that will start soon, with what openings are left: their
// tickets are there when the steps before have ended, and still good then.
func (p *Planner) askAhead(now time.Time) {
	kept := p.ahead[:0]
	for _, s := range p.ahead {
		if s.listed || s.unlocked() || s.job.cancelled || s.job.state.Final() || !s.known.asked.IsZero() {
			s.ahead = false
			continue
		}
		kept = append(kept, s)
		left, soon := s.startsIn(now)
		if !soon || left > time.Duration(aheadPart*float64(s.job.queue.Advice.Valid)) {
			continue
		}
		if p.wantsAdvice(s, now, 0) && *p.Openings.of(s) > p.starvingPart(s) {
			p.askFor(s, now, p.rank(s, now), 0)
		}
	}
	clear(p.ahead[len(kept):])
	p.ahead = kept
}

// startsIn returns after how long the steps before are expected to have ended, and whether
// all their tasks run or have ended.
func (s *step) startsIn(now time.Time) (time.Duration, bool) {
	left := time.Duration(0)
	for _, a := range s.after {
		for _, t := range a.tasks {
			if t.done {
				continue
			}
			r := t.wanted()
			if r == nil {
				return 0, false
			}
			at, ends := r.expectedEnd(now)
			if !ends {
				return 0, false
			}
			left = max(left, at.Sub(now))
		}
	}
	return left, true
}
