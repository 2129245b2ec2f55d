package fleet

import (
	"math"
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

const (
	// aheadHold is how long capacity that was freed for expected urgent work is held for it. A burst
	// that has begun uses it within that time.
	aheadHold = time.Second
	// arrivalHalfLife is the half-life of the rate at which urgent work arrives: the forecast covers
	// the time of a stop, which is up to a second.
	arrivalHalfLife = time.Second
)

// arrivals is the rate at which urgent work becomes ready to start.
type arrivals struct {
	perSecond winch.Capacity
	updated   time.Time
}

// add counts work that became ready.
func (a *arrivals) add(now time.Time, need winch.Capacity) {
	a.perSecond = a.at(now).Add(scaleAll(need, math.Ln2/arrivalHalfLife.Seconds()))
	a.updated = now
}

// at returns the rate as of the given time.
func (a *arrivals) at(now time.Time) winch.Capacity {
	return scaleAll(a.perSecond, math.Exp2(-now.Sub(a.updated).Seconds()/arrivalHalfLife.Seconds()))
}

func scaleAll(c winch.Capacity, factor float64) winch.Capacity {
	return winch.Capacity{Milli: scale(c.Milli, factor), Memory: scale(c.Memory, factor), Accelerators: scale(c.Accelerators, factor)}
}

// noteArrival counts the tasks of a phase that has become ready.
func (p *Planner) noteArrival(s *phase, now time.Time) {
	if s.job.urgent() {
		p.pool(s.job.queue.Service).arrivals.add(now, s.spec.Charge().Times(s.startableNow()))
	}
}

// evictAhead stops runs while urgent work lacks capacity, for the work that cannot be placed yet: that
// whose advice is awaited, and that which will arrive, at the present rate, before a stop has ended.
// A job of one short phase has no time left for a stop once it is known where it may run.
func (k *evictionSearch) evictAhead(waiting []*phase) {
	seen := make(map[*pool]bool)
	for _, s := range waiting {
		x := k.planner.pool(s.job.queue.Service)
		if seen[x] || !k.affords(s) {
			continue
		}
		seen[x] = true
		short := k.shortage(x, waiting)
		need := s.spec.Charge()
		tasks := max(short.Milli/max(1, need.Milli), int64(short.Memory/max(1, need.Memory)))
		k.evict(nil, evict.Demand{Need: need, Tasks: int(tasks), Spare: k.costs.Stop, Hold: s.taskTime(), Partial: true}, k.suitable(s))
	}
}

// shortage returns how much capacity for urgent work will be missing when a stop ordered now has
// ended. If work that waits now lacks none, no burst is beginning and the result is zero.
func (k *evictionSearch) shortage(x *pool, waiting []*phase) winch.Capacity {
	wanted := winch.Capacity{}
	for _, s := range waiting {
		if k.planner.pool(s.job.queue.Service) == x && s.job.queue.Advice != nil && len(s.advice.allowed) == 0 {
			wanted = wanted.Add(s.spec.Charge().Times(s.waiting))
		}
	}
	if !k.lacking[x] && wanted.Fits(x.free) {
		return winch.Capacity{}
	}
	free := winch.Capacity{}
	for _, w := range x.workers {
		at := k.freeBy(w, k.costs.Stop)
		for _, e := range w.evictions {
			if e.phase == nil {
				at = at.Add(e.held)
			}
		}
		free = free.Add(at.Positive())
	}
	if !k.lacking[x] && wanted.Fits(free) {
		return winch.Capacity{}
	}
	wanted = wanted.Add(scaleAll(x.arrivals.at(k.now), k.costs.Stop.Seconds()))
	limit := scaleAll(x.capacity, maxPoolReserve).Sub(x.urgent.used)
	return winch.Capacity{Milli: min(wanted.Milli, limit.Milli), Memory: min(wanted.Memory, limit.Memory)}.Sub(free).Positive()
}
