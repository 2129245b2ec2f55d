package fleet

import "time"

// gangStartTimeout bounds how long a gang may be incomplete before its members are stopped.
// Workers end a member that is alone after three seconds or more.
const gangStartTimeout = 1500 * time.Millisecond

// gangRun is the run that the members of a gang share, with one number and one checkpoint.
type gangRun struct {
	number     uint64
	checkpoint string
	begun      time.Time
	stopping   bool
}

// acceptsRun reports whether a run found at a worker can belong to the phase: members of a gang
// share one run, other tasks have runs of their own.
func (s *phase) acceptsRun(number uint64) bool {
	return !s.spec.Gang || s.gang.number == 0 || s.gang.number == number && !s.gang.stopping
}

// adoptRun makes the run of a gang member that an earlier planner started the run of the gang.
func (s *phase) adoptRun(number uint64) {
	if s.spec.Gang && s.gang.number == 0 {
		s.gang.number = number
		s.gang.begun = s.job.planner.now()
	}
}

// gangMemberFailed handles a member's run that did not end successfully: the gang's run is over,
// and the remaining members are stopped.
func (p *Planner) gangMemberFailed(r *run) {
	if r == nil || r.task == nil || !r.task.phase.spec.Gang {
		return
	}
	s := r.task.phase
	if s.gang.number != r.key.run || s.done > 0 {
		return
	}
	s.gang.stopping = true
	if s.gang.checkpoint == "" || r.task.checkpoint != "" {
		s.gang.checkpoint = r.task.checkpoint
	}
	for _, t := range s.tasks {
		for _, x := range t.runs {
			p.stopRun(x)
		}
	}
}

// placeGang starts all members of a gang or none, and retries members of the current run that were
// refused.
func (p *Planner) placeGang(s *phase, now time.Time) {
	if s.done > 0 {
		return
	}
	if s.gang.stopping || s.gang.number == 0 {
		p.startGang(s, now)
		return
	}
	if s.live == len(s.tasks) {
		return
	}
	if now.Sub(s.gang.begun) > gangStartTimeout || s.job.adopted && s.gang.number < p.Term*runsPerTerm {
		p.stopGang(s)
		return
	}
	pick := p.newPicker(s, now)
	for t := range s.startOrder() {
		if s.wideGang() && p.startsSpent() {
			return
		}
		p.placeTask(t, pick, s.gang.number, s.gang.checkpoint)
	}
}

// stopGang stops the gang's current run because not all members have started.
func (p *Planner) stopGang(s *phase) {
	s.gang.stopping = true
	for _, t := range s.tasks {
		for _, r := range t.runs {
			p.stopRun(r)
		}
	}
}

func (p *Planner) startGang(s *phase, now time.Time) {
	if s.startable.count < len(s.tasks) {
		return // A member of the last run is not known to have ended.
	}
	x := s.tasks[0].suspicion()
	if x.suspected() && !p.mayProbe(x) {
		return
	}
	picked := p.pickGang(s, now)
	if picked == nil {
		return
	}
	checkpoint := s.gang.checkpoint
	for _, t := range s.tasks {
		if checkpoint == "" {
			checkpoint = t.checkpoint
		}
	}
	number := p.nextRunNumber()
	if x.suspected() {
		number = x.probe
	}
	s.gang = gangRun{number: number, checkpoint: checkpoint, begun: now}
	for i, t := range s.tasks {
		if s.wideGang() && p.startsSpent() {
			return
		}
		p.start(t, picked[i], s.gang.number, checkpoint)
	}
}

// wideGang reports whether a gang has too many members to start all of them in one Schedule.
func (s *phase) wideGang() bool {
	return len(s.tasks) > maxStarts
}

// pickGang chooses a worker for each member, or returns nil if not all members fit.
func (p *Planner) pickGang(s *phase, now time.Time) []*worker {
	if !s.spec.Charge().Fits(p.pool(s.job.queue.Service).maxFree) || !s.job.team.allows(s.nextStartNeed()) {
		return nil
	}
	pick := p.newPicker(s, now)
	out := make([]*worker, 0, len(s.tasks))
	for range s.tasks {
		i := pick.best("")
		if i < 0 {
			return nil
		}
		out = append(out, pick.choices[i].w)
		pick.assigned(i)
	}
	return out
}
