package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/coord/order"
	"plantainwinch/winch"
)

// shareBurst is how many seconds' worth of its share a team may submit at once. Jobs come in
// clusters; a team that keeps to its share only rarely submits more than one second's worth within
// a second.
const shareBurst = 1.0

// shareBucket is a token bucket that limits the jobs a team submits to its share of the region,
// which is its weight in jobs per second.
type shareBucket struct {
	tokens  float64
	updated time.Time
}

// take counts a job accepted at the given time and reports whether it is within the share. A
// weight of zero means no limit.
func (s *shareBucket) take(weight float64, at time.Time) bool {
	if weight <= 0 {
		return true
	}
	burst := max(1, weight*shareBurst)
	if s.updated.IsZero() {
		s.tokens = burst
	} else if at.After(s.updated) {
		s.tokens = min(burst, s.tokens+weight*at.Sub(s.updated).Seconds())
	}
	if at.After(s.updated) {
		s.updated = at
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// StoredJob is an accepted job with what the store holds of its progress.
type StoredJob struct {
	Job      *winch.PhasedJob
	Progress *winch.Progress
	Revision uint64
}

// AddAll adds accepted jobs in the order of their acceptance, so that they count against the
// shares of their teams in that order.
func (p *Planner) AddAll(jobs []StoredJob) {
	slices.SortFunc(jobs, func(a, b StoredJob) int {
		return cmp.Or(a.Job.Accepted.Compare(b.Job.Accepted), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	for _, s := range jobs {
		p.Add(s.Job, s.Progress, s.Revision)
	}
}

// measureShares updates what teams use of their shares.
func (p *Planner) measureShares(now time.Time) {
	if now.Sub(p.order.measuredAt) < shareInterval && !now.Before(p.order.measuredAt) {
		return
	}
	p.order.measuredAt = now
	if len(p.order.teams) != len(p.teams) {
		p.order.teams = p.order.teams[:0]
		for _, t := range p.teams {
			p.order.teams = append(p.order.teams, t)
		}
		slices.SortFunc(p.order.teams, func(a, b *team) int { return cmp.Compare(a.Name, b.Name) })
	}
	p.order.capacity = winch.Capacity{}
	for _, x := range p.pools {
		p.order.capacity = p.order.capacity.Add(x.capacity)
	}
	p.countShares()
	demands := make([]order.Demand, len(p.order.teams))
	for i, t := range p.order.teams {
		t.order.usage.Update(now, order.Dominant(t.order.running, p.order.capacity))
		demands[i] = order.Demand{Weight: t.Weight, Used: t.order.usage.Value(), Wanted: order.Dominant(t.order.limited(t.Cap), p.order.capacity)}
	}
	for i, share := range order.Shares(demands) {
		p.order.teams[i].order.standing = order.StandingOf(demands[i], share)
	}
}

// countsForShares reports whether the tasks of the phase count towards their team's share. Lasting tasks, which hold
// their capacity for good, and filling tasks, which use what others leave, do not.
func (s *phase) countsForShares() bool { return !s.spec.Lasting && !s.spec.Fills }

// countShares counts what waits, by team.
func (p *Planner) countShares() {
	for _, t := range p.order.teams {
		t.order.waiting = winch.Capacity{}
	}
	for i := range p.ready {
		if s := p.ready[i].phase; p.ready[i].rank.class != rankDeferred && s.countsForShares() {
			t := s.job.team
			t.order.waiting = t.order.waiting.Add(s.spec.Need.Times(s.startableNow()))
		}
	}
}

// limited returns what the team would use if nothing else ran, within its limit.
func (t *teamOrder) limited(limit winch.Capacity) winch.Capacity {
	out := t.running.Add(t.waiting)
	if limit.Milli > 0 {
		out.Milli = min(out.Milli, limit.Milli)
	}
	if limit.Memory > 0 {
		out.Memory = min(out.Memory, limit.Memory)
	}
	if limit.Accelerators > 0 {
		out.Accelerators = min(out.Accelerators, limit.Accelerators)
	}
	return out
}

// ShareLoad describes the teams' use of their shares.
type ShareLoad struct {
	// Binding is set if shares are binding in any service, Full is for how long they have been since
	// this planner began.
	Binding bool
	Full    time.Duration
	Age     time.Duration // Age is how long ago usage was last measured.
	// Above counts the teams that use much more than their share, Below those that use much less and
	// want more. Both are zero unless shares bind.
	Above, Below int
	// Worst is the part that WorstTeam, the team with the least of its share, has of it: 1 unless
	// shares bind and a team is below.
	Worst     float64
	WorstTeam string
}

func (p *Planner) shareLoad() ShareLoad {
	out := ShareLoad{Binding: p.order.wasFull, Full: p.order.full, Worst: 1}
	if !p.order.measuredAt.IsZero() {
		out.Age = p.now().Sub(p.order.measuredAt)
	}
	if !out.Binding {
		return out
	}
	for _, t := range p.order.teams {
		switch x := t.order.standing; {
		case x.Above:
			out.Above++
		case x.Below:
			out.Below++
			if x.Ratio < out.Worst {
				out.Worst, out.WorstTeam = x.Ratio, t.Name
			}
		}
	}
	return out
}
