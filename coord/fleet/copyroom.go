package fleet

import (
	"plantainwinch/coord/copies"
	"plantainwinch/winch"
)

// copyRoom is where copies may be started, by the work that waits after it had its turn. Work that waits only for
// advice will take capacity that is free; it leaves room for copies only beyond that.
type copyRoom struct {
	planner *Planner
	// services holds what is known of each service, teams the teams with waiting work.
	services map[string]*copyService
	teams    map[*team]*copyTeam
}

// copyService says what copies in a service may use.
type copyService struct {
	full   bool // full is set if work waits for capacity.
	budget copies.Budget
}

// copyTeam is the waiting work of a team.
type copyTeam struct {
	limited bool // limited is set if some of it waits for the team's limit.
	need    winch.Capacity
}

func (p *Planner) copyRoom() *copyRoom {
	return &copyRoom{planner: p, services: make(map[string]*copyService)}
}

// eachWaiting calls f for the phases with tasks that might have been started, until f returns false.
func (c *copyRoom) eachWaiting(f func(*phase) bool) {
	for _, e := range c.planner.ready {
		if s := e.phase; s.waiting > 0 && e.rank.class != rankDeferred && s.job.queue != nil && !f(s) {
			return
		}
	}
}

// service returns what copies in a service may use. With many waiting phases, one of the first waits for capacity,
// so that the others need not be looked at.
func (c *copyRoom) service(name string) *copyService {
	if x := c.services[name]; x != nil {
		return x
	}
	out := &copyService{}
	c.services[name] = out
	waiting := winch.Capacity{}
	c.eachWaiting(func(s *phase) bool {
		if s.job.queue.Service == name {
			out.full = s.waitReason == WaitCapacity || s.waitReason == WaitUrgentCapacity
			waiting = waiting.Add(s.spec.Charge().Times(s.waiting))
		}
		return !out.full
	})
	if out.full {
		return out
	}
	x := c.planner.pool(name)
	out.budget.Free = x.free.Sub(waiting)
	if c.planner.Policy.UrgentRoom {
		out.budget.Free = out.budget.Free.Sub(x.urgent.reserve(x.capacity, maxPoolReserve))
	}
	for _, r := range c.planner.copies {
		if r.worker.vm.Service == name {
			out.budget.Used = out.budget.Used.Add(r.charge)
		}
	}
	return out
}

// team returns the waiting work of a team.
func (c *copyRoom) team(t *team) *copyTeam {
	if c.teams == nil {
		c.teams = make(map[*team]*copyTeam)
		c.eachWaiting(func(s *phase) bool {
			x := c.teams[s.job.team]
			if x == nil {
				x = &copyTeam{}
				c.teams[s.job.team] = x
			}
			x.limited = x.limited || s.waitReason == WaitLimit
			x.need = x.need.Add(s.spec.Need.Times(s.waiting))
			return true
		})
	}
	if x := c.teams[t]; x != nil {
		return x
	}
	return &copyTeam{}
}

// allows reports whether a copy of a task of the phase may be started.
func (c *copyRoom) allows(s *phase) bool {
	x := c.service(s.job.queue.Service)
	if x.full || !x.budget.Allows(s.spec.Charge()) || !c.planner.sparesUrgent(s) {
		return false
	}
	waiting := c.team(s.job.team)
	return !waiting.limited && s.job.team.allows(s.spec.Need.Add(waiting.need))
}
