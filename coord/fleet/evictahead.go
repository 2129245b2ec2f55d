package fleet

import (
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

// aheadHold is how long capacity that was freed for expected urgent work is held for it. A burst
// that has begun uses it within that time.
const aheadHold = time.Second

// evictAhead stops runs while urgent work waits, so that the capacity of the recent peak of urgent
// demand is free when the stops have ended. A job of one short phase has no time left for a stop
// once it is known where it may run.
func (p *Planner) evictAhead(waiting []*phase, now time.Time) {
	seen := make(map[*pool]bool)
	for _, s := range waiting {
		x := p.pool(s.job.queue.Service)
		if seen[x] {
			continue
		}
		seen[x] = true
		short := p.urgentShortage(x, now)
		need := s.spec.Charge()
		tasks := max(short.Milli/max(1, need.Milli), int64(short.Memory/max(1, need.Memory)))
		p.evict(nil, evict.Demand{Need: need, Tasks: int(tasks), Spare: p.evictCosts().Stop, Hold: s.taskTime(), Partial: true}, x.workers, now)
	}
}

// urgentShortage returns how much of the capacity that is reserved for urgent work will not be free
// when a stop ordered now has ended.
func (p *Planner) urgentShortage(x *pool, now time.Time) winch.Capacity {
	short := x.urgent.reserve(x.capacity, maxPoolReserve).Sub(x.free)
	stop := p.evictCosts().Stop
	for _, w := range x.workers {
		if short.Milli <= 0 && short.Memory <= 0 {
			break
		}
		for _, r := range w.runs {
			if left, known := r.timeLeft(now); known && left <= stop {
				short = short.Sub(r.charge)
			}
		}
	}
	return short.Positive()
}
