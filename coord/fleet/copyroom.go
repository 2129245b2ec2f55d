package fleet

import (
	"plantainwinch/coord/copies"
	"plantainwinch/winch"
)

// copyRoom is where copies may be started.
type copyRoom struct {
	planner *Planner
	// full holds the services for which work waits for capacity, limited the teams whose work waits for
	// their limits.
	full    map[string]bool
	limited map[*team]bool
	// waiting is what the waiting work of each service needs, teams that of each team.
	waiting map[string]winch.Capacity
	teams   map[*team]winch.Capacity
	budgets map[string]*copies.Budget
}

// copyRoom returns where copies may be started, by the work that waits after it had its turn. Work that
// waits only for advice will take capacity that is free; it leaves room for copies only beyond that.
func (p *Planner) copyRoom() *copyRoom {
	out := &copyRoom{
		planner: p, full: make(map[string]bool), limited: make(map[*team]bool), waiting: make(map[string]winch.Capacity),
		teams: make(map[*team]winch.Capacity), budgets: make(map[string]*copies.Budget),
	}
	for _, e := range p.ready {
		s := e.phase
		if s.waiting == 0 || e.rank.class == rankDeferred || s.job.queue == nil {
			continue
		}
		service := s.job.queue.Service
		switch s.waitReason {
		case WaitCapacity, WaitUrgentCapacity:
			out.full[service] = true
		case WaitLimit:
			out.limited[s.job.team] = true
		}
		out.teams[s.job.team] = out.teams[s.job.team].Add(s.spec.Need.Times(s.waiting))
		out.waiting[service] = out.waiting[service].Add(s.spec.Charge().Times(s.waiting))
	}
	return out
}

// budget returns the capacity that copies in a service may use.
func (c *copyRoom) budget(service string) *copies.Budget {
	if c.budgets[service] != nil {
		return c.budgets[service]
	}
	x := c.planner.pool(service)
	out := &copies.Budget{Free: x.free.Sub(c.waiting[service])}
	if c.planner.Policy.UrgentRoom {
		out.Free = out.Free.Sub(x.urgent.reserve(x.capacity, maxPoolReserve))
	}
	for _, r := range c.planner.copies {
		if r.worker.vm.Service == service {
			out.Used = out.Used.Add(r.charge)
		}
	}
	c.budgets[service] = out
	return out
}

// allows reports whether a copy of a task of the phase may be started.
func (c *copyRoom) allows(s *phase) bool {
	p := c.planner
	t := s.job.team
	return !c.full[s.job.queue.Service] && !c.limited[t] && t.allows(s.spec.Need.Add(c.teams[t])) && p.sparesUrgent(s) &&
		c.budget(s.job.queue.Service).Allows(s.spec.Charge())
}
