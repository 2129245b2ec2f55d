package place

import (
	"fmt"
	"time"

	"plantainwinch/winch"
)

// Status is the scheduling status of a job.
type Status struct {
	// Why is the reason why tasks of the job wait, if there are any.
	Why     string
	Running int
	Ended   int
	Started time.Time
	// Forecast is the expected time until the start of a job with a reservation.
	Forecast time.Duration
}

// explainWait returns the reason why a job that could not be placed waits.
func (p *Planner) explainWait(j *job) string {
	fitsNow, largeEnough, evacuated := 0, 0, 0
	for _, n := range p.nodes {
		if !j.need.Fits(n.vm.Size) {
			continue
		}
		largeEnough++
		if n.vm.Evacuated {
			evacuated++
		}
		if n.reconciled && n.vm.AcceptsWork() && j.need.Fits(n.free) {
			fitsNow++
		}
	}
	switch {
	case largeEnough == 0:
		return "no worker of the domain is large enough for a task"
	case evacuated == largeEnough:
		return "the failure domain is evacuated"
	case j.gang():
		return fmt.Sprintf("gang of %d tasks, %d workers have room for one now", len(j.pending), fitsNow)
	case fitsNow > 0:
		return fmt.Sprintf("%d workers with room are reserved, set aside, or have failed it", fitsNow)
	default:
		return fmt.Sprintf("none of the %d workers that are large enough has room", largeEnough)
	}
}

// Status returns the status of a job. The result ok is false if the job is unknown.
func (p *Planner) Status(id string, now time.Time) (s Status, ok bool) {
	j := p.jobs[id]
	if j == nil {
		return s, false
	}
	s.Running, s.Ended, s.Started = len(j.running), len(j.ended), j.started
	switch {
	case j.held:
		s.Why = "a new placer is waiting for all workers to answer, since the job may have been started before"
	case len(j.pending) == 0:
		s.Why = ""
	case j.waitReason != "":
		s.Why = j.waitReason
	case j.shape != nil && j.shape.failedVersion == p.capacityVersion && j.shape.jobs[0] == j:
		s.Why = p.explainWait(j)
	case j.shape != nil && j.shape.jobs[0] != j:
		s.Why = "behind job " + j.shape.jobs[0].rec.ID + " of the same team and size"
	default:
		s.Why = "next to be placed"
	}
	if len(j.pending) > 0 && p.reserved != nil && p.reserved.job == j {
		s.Forecast = max(0, p.reserved.forecastStart.Sub(now))
	}
	return s, true
}

// Load returns the total and the committed resources of the domain and the numbers of
// waiting and of running tasks.
func (p *Planner) Load() (size, used winch.Resources, waiting, running int) {
	for _, n := range p.nodes {
		used = used.Add(n.vm.Size.Sub(n.free))
		running += len(n.tasks)
	}
	for _, j := range p.jobs {
		waiting += len(j.pending)
	}
	return p.size, used, waiting, running
}

// Dump describes the planner's state of a job, for debugging.
func (p *Planner) Dump(id string) string {
	j := p.jobs[id]
	if j == nil {
		return "job " + id + " is unknown to the planner"
	}
	out := fmt.Sprintf("job %s: state %s, pending %v, ended %v, held %v, delayed %v, queued %v, barrier %v", id, j.rec.State, j.pending,
		j.rec.EndedTasks, j.held, j.delayed, j.shape != nil, p.barrierOpen)
	for i, t := range j.running {
		out += fmt.Sprintf("; task %d on %s since %s, confirmed %v, uncertain %v, stopping %v", i, t.node.vm.ID, t.started.Format(time.TimeOnly), t.confirmed, t.uncertain, t.stopping)
	}
	return out
}

// Occupancy describes how the domain is used at one moment.
type Occupancy struct {
	// Total, OnBusyWorkers and Committed count processors: those of all workers, those of
	// workers with a task, and those committed to tasks. Stranded counts free processors
	// that cannot be used for lack of free memory on their worker.
	Total, OnBusyWorkers, Committed, Stranded int
	// Waiting is the number of waiting tasks.
	Waiting int
	Teams   map[string]TeamUsage
}

// TeamUsage holds a team's dominant fractions of the domain's resources: Used for its
// running tasks, Wanted for its waiting ones.
type TeamUsage struct {
	Used, Wanted float64
}

// Occupancy returns the current use of the domain.
func (p *Planner) Occupancy() Occupancy {
	out := Occupancy{Teams: make(map[string]TeamUsage)}
	for _, n := range p.nodes {
		out.Total += n.vm.Size.Processors
		out.Committed += n.vm.Size.Processors - n.free.Processors
		if len(n.tasks) > 0 {
			out.OnBusyWorkers += n.vm.Size.Processors
		}
		memoryPerCPU := n.vm.Size.Memory / winch.Bytes(max(1, n.vm.Size.Processors))
		if usable := int(n.free.Memory / max(1, memoryPerCPU/2)); usable < n.free.Processors {
			out.Stranded += n.free.Processors - usable
		}
	}
	wanted := make(map[string]winch.Resources)
	for _, j := range p.jobs {
		out.Waiting += len(j.pending)
		for range j.pending {
			wanted[j.rec.Team] = wanted[j.rec.Team].Add(j.need)
		}
	}
	for team := range p.used {
		out.Teams[team] = TeamUsage{Used: p.dominantFraction(p.used[team]), Wanted: p.dominantFraction(wanted[team])}
	}
	for team, need := range wanted {
		out.Teams[team] = TeamUsage{Used: p.dominantFraction(p.used[team]), Wanted: p.dominantFraction(need)}
	}
	return out
}
