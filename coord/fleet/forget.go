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

func (p *Planner) stopJob(j *job) {
	for _, s := range j.phases {
		for _, t := range s.tasks {
			for _, r := range slices.Clone(t.runs) {
				p.stopRun(r)
			}
		}
	}
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
