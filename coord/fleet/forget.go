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
	p.change(j)
	p.stopJob(j)
}

func (p *Planner) stopJob(j *job) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			for _, r := range slices.Clone(t.runs) {
				p.stop(r)
			}
		}
	}
}

// HasJob reports whether the planner has the job.
func (p *Planner) Known(id string) bool {
	return p.jobs[id] != nil
}

// ExpiredJobs returns the jobs that ended before a time and whose end is recorded. Of jobs that
// ended later, it drops all state that callers cannot ask for.
func (p *Planner) Expired(before time.Time) []string {
	var out []string
	for id, j := range p.jobs {
		if !j.state.Final() || j.shown != j.state || j.hasRuns() {
			continue
		}
		if j.rest {
			if len(p.roster) > 0 {
				continue
			}
			p.note(j) // None of its runs is left, so the store need not hold it any longer.
			continue
		}
		j.steps, j.listing = nil, nil
		j.rec.Phases = nil
		if j.ended.Before(before) {
			out = append(out, id)
		}
	}
	return out
}

// Forget removes a job.
func (p *Planner) Forget(id string) {
	delete(p.jobs, id)
	delete(p.active, id)
}

func (j *job) hasRuns() bool {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}
