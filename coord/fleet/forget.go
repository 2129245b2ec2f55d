package fleet

import (
	"slices"
	"time"

	"plantainwinch/winch"
)

// Cancel stops all work of a job whose cancellation is recorded.
func (p *Planner) Cancel(id string) {
	j := p.jobs[id]
	if j == nil || j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	j.finish(winch.JobCancelled)
	p.markChanged(j)
	p.stopJob(j)
}

// maxStops bounds the runs that one step stops because their jobs have ended. The next Schedule goes on.
const maxStops = 2000

// stopJob stops all runs of a job that has ended.
func (p *Planner) stopJob(j *job) {
	p.ending = append(p.ending, stopCursor{job: j})
	if len(p.ending) == 1 {
		p.stopEnded()
	}
}

// stopCursor is a job whose runs are being stopped, with the first task that may have some.
type stopCursor struct {
	job         *job
	phase, task int
}

// stopEnded stops runs of jobs that have ended.
func (p *Planner) stopEnded() {
	stops := 0
	for len(p.ending) > 0 {
		c := &p.ending[0]
		for ; c.phase < len(c.job.phases); c.phase, c.task = c.phase+1, 0 {
			for tasks := c.job.phases[c.phase].tasks; c.task < len(tasks); c.task++ {
				if stops >= maxStops {
					p.unfinished = true
					return
				}
				for _, r := range slices.Clone(tasks[c.task].runs) {
					p.stopRun(r)
					stops++
				}
			}
		}
		p.ending = p.ending[1:]
	}
	p.ending = nil
}

// HasJob reports whether the planner has the job.
func (p *Planner) HasJob(id string) bool {
	return p.jobs[id] != nil
}

// EndedBefore reports whether the planner's job of an ID has ended and a record of the given revision is that of another job:
// an ID is accepted again only once the records of the job before have been removed.
func (p *Planner) EndedBefore(id string, revision uint64) bool {
	j := p.jobs[id]
	return j != nil && j.state.Final() && j.visibleState == j.state && !j.hasRuns() && j.rec.Revision < revision
}

// ExpiredJobs returns the jobs without runs that ended before a time and whose end is recorded. Of
// jobs that ended later, it drops all state that callers cannot request.
func (p *Planner) ExpiredJobs(before time.Time) []string {
	var out []string
	for id, j := range p.jobs {
		if !j.state.Final() || j.visibleState != j.state || j.hasRuns() {
			continue
		}
		if j.retained {
			if len(p.roster) > 0 {
				continue
			}
			p.markDirty(j) // None of its runs is left, so the store need not hold it any longer.
			continue
		}
		j.phases, j.completionWorkers = nil, nil
		j.rec.Phases = nil
		if j.endedAt.Before(before) {
			out = append(out, id)
		}
	}
	return out
}

// Forget removes an ended job.
func (p *Planner) Forget(id string) {
	if j := p.jobs[id]; j != nil && j.state.Final() {
		delete(p.jobs, id)
		delete(p.active, id)
	}
}

func (j *job) hasRuns() bool { return j.runs > 0 }
