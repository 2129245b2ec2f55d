package fleet

import (
	"slices"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// HandleEvent applies a keeper's report about a worker.
func (p *Planner) Event(e proto.KeepEvent) {
	w := p.workers[e.Worker]
	if w == nil {
		delete(p.roster, e.Worker)
		return
	}
	defer w.noteSilence()
	switch e.Kind {
	case proto.EventListed, proto.EventStarted, proto.EventEnded, proto.EventStatus, proto.EventFound, proto.EventBack:
		w.told = p.now()
	}
	switch e.Kind {
	case proto.EventListed:
		p.listed(w, e)
	case proto.EventStarted:
		p.started(w, e)
	case proto.EventNotStarted:
		p.notStarted(w, e)
	case proto.EventEnded:
		p.unheard(e)
		p.endedAll(w, e.Ended)
	case proto.EventVanished:
		p.vanished(w, runKey{e.Task, e.Run})
	case proto.EventStatus:
		p.status(w, e.Running)
	case proto.EventFound:
		p.found(w, e.Running)
	case proto.EventLost:
		p.Lost(e.Worker, e.Result == winch.StartOtherBoot)
		w.over = e.Result == winch.StartOtherBoot && w.vm.Born != 0
	case proto.EventKnown:
		p.knew(w, e)
	case proto.EventSilent:
		w.quiet, w.answers = true, false
	case proto.EventBack:
		w.answers = true
	}
}

// handleKnown applies what the keeper of an earlier planner's session reported of a worker. All
// orders went through that keeper, so nothing else runs there. The worker gets no work until its
// own lists have been received.
func (p *Planner) knew(w *worker, e proto.KeepEvent) {
	if w.ready {
		return
	}
	p.found(w, e.Running)
	delete(p.roster, w.vm.ID)
}

// handleListed applies the first lists of a worker in a session. They are complete: a run that is
// in neither does not exist, and no earlier order can start it any more.
func (p *Planner) listed(w *worker, e proto.KeepEvent) {
	seen := make(map[runKey]bool)
	for _, x := range e.Running {
		seen[runKey{x.Task, x.Run}] = true
	}
	p.endedAll(w, e.Ended)
	for key, r := range w.runs {
		if !seen[key] {
			p.endRun(r)
			p.noteGone(w, key)
			p.requeued(r)
		}
	}
	for _, r := range w.runs {
		r.started = true // The worker lists it, so it has started even if the confirmation was lost.
		if r.stopping {
			r.stopping = false // The stop order may have been lost with the last session.
			p.stop(r)
		}
	}
	p.found(w, e.Running)
	p.status(w, e.Running)
	w.ready, w.answers = true, true
	delete(p.roster, w.vm.ID)
	// The order to forget recorded completions is repeated since it may have been lost.
	if w.forgot > 0 {
		p.orders = append(p.orders, proto.Order{Kind: proto.OrderForget, Worker: w.vm.ID, Forget: w.forgot})
	}
	p.forget(w)
}

// handleFound handles runs that were not ordered in this session: it adopts those whose work is
// still needed and stops the others.
func (p *Planner) found(w *worker, list []winch.Running) {
	for _, x := range list {
		key := runKey{x.Task, x.Run}
		if w.runs[key] != nil {
			continue
		}
		t := p.task(x.Task)
		adopt := t != nil && t.free() && !t.step.job.cancelled && !t.step.job.state.Final() && t.step.fits(x.Run)
		if t != nil {
			t.step.job.adopted = true
		}
		r := p.addRun(w, t, x.Task, x.Run)
		r.started, r.adopted, r.pace = true, true, paceUnknown
		if !adopt {
			p.stop(r)
			continue
		}
		t.checkpoint = x.Checkpoint
		t.step.adopt(x.Run)
		t.step.job.update()
	}
}

func (p *Planner) task(id winch.RunID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	s := j.step(id.K, id.Phase)
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

func (p *Planner) started(w *worker, e proto.KeepEvent) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	r.started = true
	r.task.step.spendMost(WaitStart, p.now().Sub(r.since))
	r.since, r.moved = p.now(), p.now()
	if r.task.checkpoint == "" {
		r.baseAt = r.since
	}
	p.counts.Started++
	r.task.step.job.update()
}

func (p *Planner) notStarted(w *worker, e proto.KeepEvent) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	p.counts.NotStarted++
	p.endRun(r)
	p.noteGone(w, r.key)
	if r.task == nil {
		return
	}
	r.task.step.spendMost(WaitStart, p.now().Sub(r.since))
	switch e.Result {
	case winch.StartTicket:
		r.task.step.known.expire(w)
	case winch.StartNoRoom, winch.StartRefused, winch.StartUncertain:
		w.health.rest(p.now(), refusedRest)
		r.task.step.job.unanswered++
	}
}

// handleLostRun notes that a run ended without an order to stop it.
func (p *Planner) requeued(r *run) {
	p.counts.Lost++
	if r.task != nil {
		p.gangBroken(r)
	}
}

func (p *Planner) vanished(w *worker, key runKey) {
	if r := w.runs[key]; r != nil {
		p.endRun(r)
		p.noteGone(w, key)
		p.requeued(r)
	}
}

// accountLateCompletions counts how long completions may have been delayed because responses of
// the worker were lost.
func (p *Planner) unheard(e proto.KeepEvent) {
	for _, x := range e.Ended {
		if t := p.task(x.Task); t != nil && e.Blind > 0 {
			t.step.spendMost(WaitUnheard, e.Blind)
		}
	}
}

func (p *Planner) endedAll(w *worker, list []winch.Ended) {
	for _, e := range list {
		if e.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Number
		p.ended(w, e)
	}
	p.forget(w)
}

// handleCompletion applies one completion, whether or not this planner knew of the run: a
// completion that an earlier planner did not record is listed again.
func (p *Planner) ended(w *worker, e winch.Ended) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		p.lives(r, p.now())
		p.endRun(r)
	}
	t := p.task(e.Task)
	mark := endMark{number: e.Number, key: runKey{e.Task, e.Run}}
	if t != nil {
		if e.Checkpoint != "" {
			t.checkpoint = e.Checkpoint
		}
		j := t.step.job
		if p.settle(w, t, r, e) {
			mark.job, mark.changes = j, j.changes
			if !slices.Contains(j.listing, w) {
				j.listing = append(j.listing, w)
			}
		}
		j.update()
	}
	w.ends = append(w.ends, mark)
	p.ending[w] = true
}

// applyCompletion applies a completion to the task and reports whether it must be recorded.
func (p *Planner) settle(w *worker, t *task, r *run, e winch.Ended) bool {
	s := t.step
	j := s.job
	if j.state.Final() {
		// Until the end of the job is recorded, a later planner would assume that this task still
		// has to run.
		return true
	}
	switch e.Kind {
	case winch.EndDone:
		p.counts.Done++
		w.health.good()
		if s.spec.Lasting {
			p.gangBroken(r)
			return false
		}
		s.learn(r)
		p.finishTask(t)
	case winch.EndFailed:
		p.counts.Failed++
		w.health.bad(p.now(), j.rec.ID)
		t.avoid = w.vm.ID
		if s.spec.Lasting {
			return false
		}
		p.failTask(t, e.Run)
		p.gangBroken(r)
	default:
		p.gangBroken(r)
		return false
	}
	p.change(j)
	return true
}

// finishTask marks a task, or a whole gang, as successfully completed and stops its other runs.
func (p *Planner) finishTask(t *task) {
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = t.step.tasks
	}
	if x := t.suspicion(); x != nil {
		p.clear(x)
	}
	for _, x := range tasks {
		x.finish()
		if t.step.spec.Gang {
			continue // The worker stops the other members by itself.
		}
		for _, r := range x.runs {
			p.stop(r)
		}
	}
	t.step.job.update()
}

// failTask counts a failure, once per run, and fails the job after the last attempt.
func (p *Planner) failTask(t *task, run uint64) {
	j := t.step.job
	key := t.failKey()
	if !slices.Contains(j.failed[key], run) {
		j.failed[key] = append(j.failed[key], run)
	}
	attempts := 1
	if j.queue != nil {
		attempts = max(1, j.queue.Attempts)
	}
	if len(j.failed[key]) >= attempts && !t.done {
		j.finish(winch.JobFailed)
		p.stopJob(j)
	}
}

// recordRunTime adds the run time of a successful task to the phase's statistics.
func (s *step) learn(r *run) {
	if r == nil || !r.started {
		return
	}
	took := s.job.planner.now().Sub(r.since)
	s.samples++
	s.longest = max(s.longest, took)
	s.took += (took - s.took) / time.Duration(s.samples)
}

// handleStatus applies the reported progress of a worker's runs.
func (p *Planner) status(w *worker, list []winch.Running) {
	now := p.now()
	for _, x := range list {
		r := w.runs[runKey{x.Task, x.Run}]
		if r == nil {
			continue
		}
		if r.percent != x.Percent {
			r.percent, r.moved = x.Percent, now
		}
		if r.baseAt.IsZero() {
			r.base, r.baseAt = x.Percent, now
		}
		r.load = x.Load
		if r.task != nil && x.Checkpoint != "" {
			r.task.checkpoint = x.Checkpoint
		}
		p.lives(r, now)
	}
	p.pace(w, now)
	p.judgeSpeed(w, now)
}
