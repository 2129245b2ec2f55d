package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// HandleEvent applies a keeper's report about a worker.
func (p *Planner) HandleEvent(e proto.KeeperEvent) {
	w := p.workers[e.Worker]
	if w == nil {
		p.noteEarlier(e.Worker, EarlierNotListed)
		return
	}
	defer w.updateContact()
	switch e.Kind {
	case proto.EventListed, proto.EventStarted, proto.EventEnded, proto.EventStatus, proto.EventFound, proto.EventResponsive:
		w.lastContact = p.now()
	}
	switch e.Kind {
	case proto.EventListed:
		p.handleListed(w, e)
	case proto.EventStarted:
		p.handleStarted(w, e)
	case proto.EventNotStarted:
		p.handleNotStarted(w, e)
	case proto.EventEnded:
		p.accountLateCompletions(e)
		if len(e.Ended) > 0 && e.Ended[0].Number <= w.forgottenUpTo {
			p.orderForget(w) // First lists that are cut off are reported like this, and the last order may have been lost.
		}
		p.handleCompletions(w, e.Ended)
	case proto.EventVanished:
		p.handleVanished(w, runKey{e.Task, e.Run})
	case proto.EventStatus:
		p.handleStatus(w, e.Running)
	case proto.EventFound:
		p.handleFound(w, e.Running, EarlierListed)
	case proto.EventLost:
		w.replaced = e.Result == winch.StartOtherBoot && w.vm.Born != 0
		var carried []runKey
		switch {
		case w.replaced:
			carried = w.unconfirmedRuns()
		case e.Left > 0:
			// Lasting tasks must be back in time, and nothing shows that there is a next boot.
			carried = slices.DeleteFunc(w.unconfirmedRuns(), func(key runKey) bool { t := p.task(key.task); return t != nil && t.phase.spec.Lasting })
		}
		p.WorkerLost(e.Worker, e.Result == winch.StartOtherBoot)
		if w.replaced || p.workers[e.Worker] == w { // Otherwise it has left the list, and no next boot is to come.
			p.carryOver(w, carried)
		}
	case proto.EventKnownRuns:
		p.handleKnown(w, e)
	case proto.EventUnresponsive:
		w.unresponsive, w.respondsAgain = true, false
	case proto.EventResponsive:
		w.respondsAgain = true
	}
}

// handleKnown applies the runs of a worker that its keeper knows from the session of an earlier
// planner. All orders went through that keeper, so nothing else runs there. The worker gets no work
// until its own lists have been received. The report may be delayed until this planner has learned in
// another way what runs there; it is outdated then, and its runs may have ended with their boot.
func (p *Planner) handleKnown(w *worker, e proto.KeeperEvent) {
	if p.RunsKnown(w.vm.ID) {
		return
	}
	p.handleFound(w, e.Running, EarlierReported)
	p.noteEarlier(w.vm.ID, EarlierReported)
}

// handleListed applies the first lists of a worker in a session. They are complete: a run that is
// in neither does not exist, and no earlier order can start it any more.
func (p *Planner) handleListed(w *worker, e proto.KeeperEvent) {
	seen := make(map[runKey]bool)
	for _, x := range e.Running {
		seen[runKey{x.Task, x.Run}] = true
	}
	p.handleCompletions(w, e.Ended)
	for key, r := range w.runs {
		if !seen[key] {
			p.endRun(r, endNotListed)
			p.closeRun(w, key)
			p.handleLostRun(r)
		}
	}
	for _, r := range w.runs {
		p.noteListed(r) // The worker lists it, so it has started even if the confirmation was lost.
		if r.stopping {
			r.stopping = false // The stop order may have been lost with the last session.
			p.stopRun(r)
		}
	}
	p.handleFound(w, e.Running, EarlierListed)
	p.handleStatus(w, e.Running)
	w.ready, w.respondsAgain = true, true
	if w.listedAt.IsZero() {
		w.listedAt = p.now()
	}
	p.noteEarlier(w.vm.ID, EarlierListed)
	if w.forgottenUpTo > 0 {
		p.orderForget(w) // The order may have been lost.
	}
}

// handleFound handles runs that were not ordered in this session: it adopts those whose work is
// still needed and stops the others. How says how they came to be known.
func (p *Planner) handleFound(w *worker, list []winch.Running, how string) {
	for _, x := range list {
		key := runKey{x.Task, x.Run}
		if w.runs[key] != nil {
			continue
		}
		t := p.task(x.Task)
		adopt := t != nil && t.mayAdopt(w, x.Run) && !t.phase.job.cancelled && !t.phase.job.state.Final()
		if t != nil {
			t.phase.job.adopted = true
		}
		r := p.addRun(w, t, x.Task, x.Run)
		r.adopted, r.throttle = true, throttleUnknown
		if !x.Unlisted() {
			p.noteListed(r)
		}
		p.noteStray(r, how)
		if p.jobs[x.Task.Job] == nil {
			p.awaitJob(x.Task.Job, w)
			continue
		}
		if !adopt {
			p.stopRun(r)
			continue
		}
		t.adoptCheckpoint(x)
		if x.Checkpoint != "" {
			p.dropSaved(x.Task)
		}
		t.phase.adoptRun(x.Run)
		p.adoptCopy(t)
		t.phase.job.updateState()
	}
}

func (p *Planner) task(id winch.RunID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	s := j.phase(id.K, id.Phase)
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

func (p *Planner) handleStarted(w *worker, e proto.KeeperEvent) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	r.confirm()
	p.dropSaved(e.Task)
	r.task.phase.addParallelWait(WaitStart, p.now().Sub(r.since))
	r.since, r.progressedAt = p.now(), p.now()
	if r.task.checkpoint == "" {
		r.baseAt = r.since
	}
	p.counts.Started++
	r.task.phase.job.updateState()
}

func (p *Planner) handleNotStarted(w *worker, e proto.KeeperEvent) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	p.counts.NotStarted++
	p.endRun(r, endNotStarted)
	p.closeRun(w, r.key)
	if r.task == nil {
		return
	}
	r.task.phase.addParallelWait(WaitStart, p.now().Sub(r.since))
	switch e.Result {
	case winch.StartBadTicket:
		r.task.phase.advice.expireTicket(w)
	case winch.StartNoCapacity, winch.StartRefused, winch.StartUncertain:
		w.health.quarantine(p.now(), refusedQuarantine)
		r.task.phase.job.failedStarts++
	}
}

// handleLostRun notes that a run ended without an order to stop it.
func (p *Planner) handleLostRun(r *run) {
	p.counts.Lost++
	if r.task != nil {
		p.gangMemberFailed(r)
	}
}

func (p *Planner) handleVanished(w *worker, key runKey) {
	if r := w.runs[key]; r != nil {
		p.endRun(r, endVanished)
		p.closeRun(w, key)
		p.handleLostRun(r)
	}
}

// accountLateCompletions counts how long completions may have been delayed because responses of
// the worker were lost.
func (p *Planner) accountLateCompletions(e proto.KeeperEvent) {
	for _, x := range e.Ended {
		if t := p.task(x.Task); t != nil && e.Blind > 0 {
			t.phase.addParallelWait(WaitLostResponse, e.Blind)
		}
	}
}

func (p *Planner) handleCompletions(w *worker, list []winch.Completion) {
	for _, e := range list {
		if !w.handled(e) {
			p.handleCompletion(w, e)
		}
	}
	p.forgetRecorded(w)
}

// handled reports whether a completion was handled before. Its number alone does not show that: it may have been
// overtaken by a higher one. A completion that the worker was ordered to forget was handled unless its run still counts
// as running.
func (w *worker) handled(e winch.Completion) bool {
	if e.Number <= w.forgottenUpTo {
		return w.runs[runKey{e.Task, e.Run}] == nil
	}
	_, found := w.findCompletion(e.Number)
	return found
}

// findCompletion returns the position of a completion among those that were handled and not forgotten, or where it
// belongs.
func (w *worker) findCompletion(number uint64) (int, bool) {
	return slices.BinarySearchFunc(w.completions, number, func(x pendingCompletion, n uint64) int { return cmp.Compare(x.number, n) })
}

// handleCompletion applies one completion, whether or not this planner knew of the run: a
// completion that an earlier planner did not record is listed again.
func (p *Planner) handleCompletion(w *worker, e winch.Completion) {
	r := w.runs[runKey{e.Task, e.Run}]
	if r != nil {
		p.clearIfSurvived(r, p.now())
		r.noteStopped(e, p.now())
		p.endRun(r, string(e.Kind))
	}
	p.checkCompletion(w, p.task(e.Task), e)
	mark := pendingCompletion{number: e.Number, key: runKey{e.Task, e.Run}}
	p.settleCompletion(w, r, e, &mark)
	i, _ := w.findCompletion(e.Number)
	w.completions = slices.Insert(w.completions, i, mark)
	p.pendingWorkers[w] = true
}

// settleCompletion applies a completion to its task and sets in mark what must be recorded before the worker may forget
// it.
func (p *Planner) settleCompletion(w *worker, r *run, e winch.Completion, mark *pendingCompletion) {
	mark.unknown = nil
	t := p.task(e.Task)
	if t == nil {
		if p.jobs[e.Task.Job] == nil {
			mark.unknown = &e
			p.awaitJob(e.Task.Job, w)
		}
		return
	}
	t.saveCheckpoint(r, e.Checkpoint)
	p.noteSaved(t, e)
	j := t.phase.job
	if p.applyCompletion(w, t, r, e) {
		mark.job, mark.changes = j, j.changes
		if !slices.Contains(j.completionWorkers, w) {
			j.completionWorkers = append(j.completionWorkers, w)
		}
	}
	j.updateState()
}

// checkCompletion notes what is unusual about a completion.
func (p *Planner) checkCompletion(w *worker, t *task, e winch.Completion) {
	if n := len(w.completions); e.Number <= w.forgottenUpTo || n > 0 && e.Number < w.completions[n-1].number {
		p.noteAnomaly(AnomalyOvertaken, w, t, e)
	}
	switch {
	case e.Kind != winch.CompletionDone:
	case t == nil && p.jobs[e.Task.Job] == nil:
		p.noteAnomaly(AnomalyUnknownJob, w, nil, e)
	case t != nil && t.latestRun > e.Run && !t.phase.permitsCopies():
		p.noteAnomaly(AnomalyStartedAgain, w, t, e)
	}
}

// applyCompletion applies a completion to the task and reports whether it must be recorded.
func (p *Planner) applyCompletion(w *worker, t *task, r *run, e winch.Completion) bool {
	s := t.phase
	j := s.job
	if j.state.Final() {
		// Until the end of the job is recorded, a later planner would assume that this task still
		// has to run.
		return true
	}
	switch e.Kind {
	case winch.CompletionDone:
		w.health.succeeded()
		if t.done && s.permitsCopies() {
			return true // Its other run has completed it, which must be recorded first.
		}
		p.counts.Done++
		if s.spec.Lasting {
			p.gangMemberFailed(r)
			return false
		}
		s.recordRunTime(r)
		p.learnRunTime(r)
		p.endCopies(t, r)
		p.finishTask(t)
		p.observePhase(s)
	case winch.CompletionFailed:
		p.counts.Failed++
		w.health.failed(p.now(), j.rec.ID)
		t.avoidWorker = w.vm.ID
		if s.spec.Lasting {
			return false
		}
		p.failTask(t, e.Run)
		p.gangMemberFailed(r)
	default:
		p.gangMemberFailed(r)
		return false
	}
	p.markChanged(j)
	return true
}

// finishTask marks a task, or all members of its gang, as successfully completed and stops their
// other runs.
func (p *Planner) finishTask(t *task) {
	tasks := []*task{t}
	if t.phase.spec.Gang {
		tasks = t.phase.tasks
	}
	if x := t.suspicion(); x != nil {
		p.clearSuspicion(x)
	}
	for _, x := range tasks {
		x.finish()
		if t.phase.spec.Gang {
			continue // The worker stops the other members by itself.
		}
		for _, r := range x.runs {
			p.stopRun(r)
		}
	}
	t.phase.job.updateState()
}

// failTask counts a failure, once per run, and fails the job after the last attempt, unless another run of
// the task goes on.
func (p *Planner) failTask(t *task, run uint64) {
	j := t.phase.job
	key := t.failureKey()
	if !slices.Contains(j.failed[key], run) {
		j.failed[key] = append(j.failed[key], run)
	}
	if t.attemptsUsed() && !t.done && !t.goesOn() {
		j.finish(winch.JobFailed)
		p.stopJob(j)
	}
}

// recordRunTime adds the run time of a successful task to the phase's statistics.
func (s *phase) recordRunTime(r *run) {
	if r == nil || !r.started {
		return
	}
	took := s.job.planner.now().Sub(r.since)
	x := r.completed(took)
	s.keepCompleted(x)
	took = s.job.planner.usualTime(s, x)
	if s.job.queue != nil {
		s.job.queue.addUsualTime(took)
	}
	s.samples++
	s.meanTime += (took - s.meanTime) / time.Duration(s.samples)
	s.noteRunTime(r, took)
}

// handleStatus applies the reported progress of a worker's runs.
func (p *Planner) handleStatus(w *worker, list []winch.Running) {
	now := p.now()
	for _, x := range list {
		r := w.runs[runKey{x.Task, x.Run}]
		if r == nil {
			continue
		}
		p.noteListed(r)
		if r.percent != x.Percent {
			r.percent, r.progressedAt = x.Percent, now
		}
		if r.baseAt.IsZero() {
			r.basePercent, r.baseAt = x.Percent, now
		}
		r.load, r.reportedAt = x.Load, now
		if r.task != nil {
			if x.Checkpoint != "" && x.Checkpoint != r.task.checkpoint {
				r.savedAt = now
			}
			r.task.saveCheckpoint(r, x.Checkpoint)
		}
		p.clearIfSurvived(r, now)
		p.observeProgress(r, now)
	}
	p.throttle(w, now)
	p.checkProgress(w, now)
}
