package fleet

import (
	"time"

	"plantainwinch/winch"
)

// unreportedInterval is how long the charges for unreported runs are reused. They can only be too high then, since
// nothing of an earlier planner starts any more.
const unreportedInterval = 50 * time.Millisecond

// chargeUnreported charges the teams that have a limit for the runs of earlier planners that may exist at workers
// that have not reported yet, and for runs of jobs that are not known yet. Jobs that were accepted later start
// meanwhile and must not bring the team over its limit together with these runs.
func (p *Planner) chargeUnreported(now time.Time) {
	if len(p.roster) == 0 && len(p.awaited) == 0 {
		if p.unreportedCharged {
			p.unreportedCharged = false
			for _, t := range p.teams {
				t.unreported = winch.Capacity{}
			}
		}
		return
	}
	if p.unreportedCharged && now.Sub(p.unreportedAt) < unreportedInterval {
		return
	}
	p.unreportedCharged, p.unreportedAt = true, now
	var room winch.Capacity
	for id := range p.roster {
		if w := p.workers[id]; w != nil {
			room = room.Add(w.vm.Room)
		}
	}
	for _, t := range p.teams {
		t.unreported = winch.Capacity{}
	}
	filling := make(map[*team]int64)
	for _, j := range p.active {
		if j.rec.Revision <= p.AdoptedRevision && j.team.Cap != (winch.Capacity{}) {
			j.addUnreported(filling)
		}
	}
	unknown := p.unknownRunsCharge()
	for _, t := range p.teams {
		t.unreported = leastCapacity(t.unreported, room)
		// Filling tasks use processors beyond the capacity of their workers.
		t.unreported.Milli += filling[t]
		if t.Cap != (winch.Capacity{}) {
			t.unreported = t.unreported.Add(unknown)
		}
	}
}

// unknownRunsCharge returns the capacity that the runs of unknown jobs are charged with. They may belong to any team.
func (p *Planner) unknownRunsCharge() (sum winch.Capacity) {
	for job, workers := range p.awaited {
		for w := range workers {
			for key, r := range w.runs {
				if key.task.Job == job {
					sum = sum.Add(r.charge)
				}
			}
		}
	}
	return sum
}

// addUnreported adds what the job's tasks need of which an earlier planner may have started a run that is not known.
func (j *job) addUnreported(filling map[*team]int64) {
	for _, s := range j.phases {
		n := len(s.tasks) - s.done - s.live
		if n <= 0 {
			continue
		}
		need := s.spec.Need.Times(n)
		if s.spec.Fills {
			filling[j.team] += need.Milli
			need.Milli = 0
		}
		j.team.unreported = j.team.unreported.Add(need)
	}
}

// leastCapacity returns the lesser of two capacities in each kind.
func leastCapacity(a, b winch.Capacity) winch.Capacity {
	return winch.Capacity{Milli: min(a.Milli, b.Milli), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}
