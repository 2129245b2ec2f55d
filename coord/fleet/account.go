package fleet

import (
	"slices"
	"time"

	"plantainwinch/winch"
)

// JobSummary describes a job whose end has been recorded: how long it took and what it waited for.
type Ending struct {
	Job, Queue, Team string
	State            winch.JobState
	// Accepted is when the job started to count, Took the time from then until its end was
	// recorded, and Objective how long it should have taken given the observed run times.
	Accepted        time.Time
	Took, Objective time.Duration
	// Waited is the time during which a task was ready and did not run, by reason, summed over the
	// phases. Phases that wait at the same time are counted separately.
	Waited map[Reason]time.Duration
	// Unanswered counts the starts that got no response, Failed the runs that failed.
	Unanswered, Failed int
	// Crashes lists the worker crashes for which the job was failed.
	Crashes []winch.Crash
	// Excess is set if the job exceeded its team's share.
	Excess bool
}

// accountWait sets why the phase's tasks wait from now on, and adds the time since the last call
// to the reason that applied until now. A reason of zero means that no task waits.
func (s *step) account(now time.Time, reason Reason) {
	if s.reason != 0 {
		s.spend(s.reason, now.Sub(s.judged))
	}
	s.reason, s.judged = reason, now
}

func (s *step) spend(reason Reason, d time.Duration) {
	if s.spent == nil {
		s.spent = make(map[Reason]time.Duration)
	}
	s.spent[reason] += d
}

// addParallelWait adds a wait of one of several tasks that wait at the same time: of such waits
// only the longest counts.
func (s *step) spendMost(reason Reason, d time.Duration) {
	if d > s.spent[reason] {
		s.spend(reason, d-s.spent[reason])
	}
}

// deferReason returns why Schedule must skip a phase of the job, or zero.
func (p *Planner) heldBack(j *job, adopting bool) Reason {
	switch {
	case adopting && j.rec.Revision <= p.Fresh:
		return WaitAdopting
	case !p.KnownBefore.IsZero() && j.heard.After(p.KnownBefore):
		return WaitOffice
	}
	return 0
}

// waitReason returns why Schedule has just not started all tasks of a phase, or zero.
func (p *Planner) waitsFor(s *step) Reason {
	switch {
	case s.waiting == 0:
		return 0
	case !slices.ContainsFunc(s.tasks, (*task).free):
		return WaitRun
	case s.suspected():
		return WaitProbe
	case !s.job.team.allows(s.wantsAtOnce()):
		return WaitLimit
	case !p.spare(s):
		return WaitUrgentRoom
	case s.known.asking:
		return WaitAsked
	}
	return WaitRoom
}

// JobSummaries returns the summaries of the jobs whose end was recorded since the last call.
func (p *Planner) Endings() []Ending {
	out := p.endings
	p.endings = nil
	return out
}

// summary returns the summary of a job that has ended.
func (j *job) ending(now time.Time) Ending {
	first := j.steps[0]
	begin := first.begin()
	out := Ending{
		Job: j.rec.ID, Queue: j.rec.Queue, Team: j.rec.Team, State: j.state, Accepted: begin,
		Took: now.Sub(begin), Objective: j.allowance(j.seenChain()),
		Waited: make(map[Reason]time.Duration), Unanswered: j.unanswered, Crashes: j.crashes, Excess: j.excess,
	}
	for _, s := range j.steps {
		s.account(now, 0)
		for reason, d := range s.spent {
			out.Waited[reason] += d
		}
	}
	out.Waited[WaitRecord] = now.Sub(j.ended)
	for _, runs := range j.failed {
		out.Failed += len(runs)
	}
	return out
}

// observedCriticalPath returns the longest chain of the job's phases, by the longest observed run
// time of each phase, or by its estimate if no task of it has completed.
func (j *job) seenChain() time.Duration {
	longest := time.Duration(0)
	chain := make(map[*step]time.Duration, len(j.steps))
	for _, s := range j.steps {
		before := time.Duration(0)
		for _, a := range s.after {
			before = max(before, chain[a])
		}
		took := s.longest
		if s.samples == 0 {
			took = s.spec.Estimate
		}
		chain[s] = before + took + j.queue.adviceTime()
		longest = max(longest, chain[s])
	}
	return longest
}
