package fleet

import (
	"time"

	"plantainwinch/winch"
)

// JobSummary describes a job whose end has been recorded: how long it took and what it waited for.
type JobSummary struct {
	Job, Queue, Team string
	State            winch.JobState
	// Accepted is when the job started to count, Took the time from then until its end was
	// recorded, and Objective how long it should have taken given the observed run times.
	Accepted        time.Time
	Took, Objective time.Duration
	// Waited is the time during which a task was ready and did not run, by reason, summed over the
	// phases. Phases that wait at the same time are counted separately.
	Waited map[Reason]time.Duration
	// FailedStarts counts the starts that a worker refused or did not respond to, Failed the runs
	// that failed.
	FailedStarts, Failed int
	// Crashes lists the worker crashes for which the job was failed.
	Crashes []winch.Crash
	// Copies counts the copies of straggling runs.
	Copies int
	// Excess is set if the job exceeded its team's share.
	Excess bool
}

// accountWait sets why the phase's tasks wait from now on, and adds the time since the last call
// to the reason that applied until now. A reason of zero means that no task waits.
func (s *phase) accountWait(now time.Time, reason Reason) {
	if s.waitReason != 0 {
		s.addWait(s.waitReason, now.Sub(s.accountedAt))
	}
	s.waitReason, s.accountedAt = reason, now
}

func (s *phase) addWait(reason Reason, d time.Duration) {
	if s.waited == nil {
		s.waited = make(map[Reason]time.Duration)
	}
	s.waited[reason] += d
}

// addParallelWait adds a wait of one of several tasks that wait at the same time: of such waits
// only the longest counts.
func (s *phase) addParallelWait(reason Reason, d time.Duration) {
	if d > s.waited[reason] {
		s.addWait(reason, d-s.waited[reason])
	}
}

// deferReason returns why Schedule must skip a phase of the job, or zero.
func (p *Planner) deferReason(j *job, adopting bool) Reason {
	switch {
	case adopting && j.rec.Revision <= p.AdoptedRevision:
		return WaitAdopting
	case !p.LeaseExpiry.IsZero() && j.addedAt.After(p.LeaseExpiry):
		return WaitOffice
	}
	return 0
}

// waitReason returns why Schedule has just not started all tasks of a phase, or zero.
func (p *Planner) waitReason(s *phase) Reason {
	switch {
	case s.waiting == 0:
		return 0
	case s.evicted.count > 0:
		return WaitEvicted
	case s.startable.count == 0:
		return WaitRun
	case s.suspected():
		return WaitProbe
	case p.pool(s.job.queue.Service).allEvacuated():
		return WaitEvacuated
	case !s.job.team.allows(s.nextStartNeed()):
		return WaitLimit
	case !p.sparesUrgent(s):
		return WaitUrgentCapacity
	case s.advice.pending:
		return WaitAdvice
	case p.waitsForShare(s):
		return WaitShare
	}
	return WaitCapacity
}

// JobSummaries returns the summaries of the jobs whose end was recorded since the last call.
func (p *Planner) JobSummaries() []JobSummary {
	out := p.summaries
	p.summaries = nil
	return out
}

// summary returns the summary of a job that has ended.
func (j *job) summary(now time.Time) JobSummary {
	first := j.phases[0]
	begin := first.beginsAt()
	out := JobSummary{
		Job: j.rec.ID, Queue: j.rec.Queue, Team: j.rec.Team, State: j.state, Accepted: begin,
		Took: now.Sub(begin), Objective: j.allowedTime(j.observedCriticalPath()),
		Waited: make(map[Reason]time.Duration), FailedStarts: j.failedStarts, Crashes: j.crashes, Copies: j.copies, Excess: j.excess,
	}
	for _, s := range j.phases {
		s.accountWait(now, 0)
		for reason, d := range s.waited {
			out.Waited[reason] += d
		}
		if lost := s.timeLostToSpeed(); lost > 0 {
			out.Waited[WaitSlowWorker] += lost
		}
	}
	out.Waited[WaitRecord] = now.Sub(j.endedAt)
	for _, runs := range j.failed {
		out.Failed += len(runs)
	}
	return out
}

// observedCriticalPath returns the longest chain of the job's phases, by the longest observed run
// time of each phase at usual workers near its data, or by its estimate if no task of it has completed.
func (j *job) observedCriticalPath() time.Duration {
	return j.criticalPathWith(nil, 0)
}

// criticalPathWith returns the observed critical path, given how long the longest run of one phase takes
// at least.
func (j *job) criticalPathWith(running *phase, atLeast time.Duration) time.Duration {
	longest := time.Duration(0)
	chain := make(map[*phase]time.Duration, len(j.phases))
	for _, s := range j.phases {
		before := time.Duration(0)
		for _, a := range s.after {
			before = max(before, chain[a])
		}
		took := s.usualMaxTime()
		switch {
		case s == running:
			took = max(took, atLeast)
		case s.samples == 0:
			took = s.spec.Estimate
		}
		chain[s] = before + took + j.queue.adviceTime()
		longest = max(longest, chain[s])
	}
	return longest
}
