package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

// WorkerContact is the state of the planner's contact with a worker. The worker counts as
// unresponsive while it is not listed, not ready, or does not respond to its keeper.
type WorkerContact struct {
	Worker     string
	Listed     bool // Listed is set if the worker is in the platform's list.
	Ready      bool // Ready is set once the worker's lists of runs have been received in this session.
	NoResponse bool // NoResponse is set if the worker does not respond to its keeper.
	// UnresponsiveSince is when this planner lost contact with the worker, and zero while it has
	// contact.
	UnresponsiveSince time.Time
}

// Offer counts the workers of the kind that a phase needs, by what prevents them from running it.
// The field names are written to the log.
type Offer struct {
	Workers   int // Workers counts those with the service and the label.
	Usable    int // Usable counts those of Workers that respond, are listed and are not draining.
	Evacuated int // Evacuated counts those of Workers that would be usable if their domain were not evacuated.
	Resting   int // Resting counts those of Usable that are in quarantine.
	Denied    int // Denied counts usable workers that the advice service does not allow.
	Unasked   int // Unasked counts usable workers with free capacity but without a valid ticket.
	Ticketed  int // Ticketed counts usable workers with a valid ticket, or where none is needed.
	Fits      int // Fits is the number of tasks that fit into the ticketed workers.
}

// WaitingTask is a lasting task that, as far as the planner knows, does not run.
type WaitingTask struct {
	Task   winch.RunID
	Reason Reason
	// Since is when a run of the task was last known to do its work, or when the task became ready
	// to start. It is never earlier than when this planner learned of the job.
	Since time.Time
	// Run is the run that is not confirmed or not known to have ended, Ordered is when its start
	// was ordered or confirmed, and Contact is the state of the contact with its worker.
	Run      uint64
	Ordered  time.Time
	Stopping bool
	Contact  WorkerContact
	// Unreported counts the workers of earlier planners that have not reported their runs yet.
	// Until is when the work there is guaranteed to have ended, or when a failed advice request is
	// retried.
	Unreported int
	Until      time.Time
	// Revision is the job's revision, AdoptedRevision that of the Planner. A job with a higher
	// revision does not wait for the workers of earlier planners.
	Revision, AdoptedRevision uint64
	// AdviceRequested is when the last request went to the advice service.
	AdviceRequested time.Time
	// Used and Limit are the team's use and limit; UsedAtUnresponsive is the part of Used at
	// unresponsive workers.
	Used, Limit, UsedAtUnresponsive winch.Capacity
	Offer                           Offer
}

// UnresponsiveWorker is an unresponsive worker that still has runs charged to it.
type UnresponsiveWorker struct {
	Contact WorkerContact
	Runs    int
}

// updateContact updates since when the worker has been unresponsive. It must be called after each
// change of the fields that this depends on.
func (w *worker) updateContact() {
	responsive := w.ready && !w.removed && (!w.unresponsive || w.respondsAgain)
	switch {
	case responsive:
		w.unresponsiveSince = time.Time{}
	case w.unresponsiveSince.IsZero():
		w.unresponsiveSince = w.planner.now()
	}
}

func (w *worker) contact() WorkerContact {
	return WorkerContact{Worker: w.vm.ID, Listed: !w.removed, Ready: w.ready, NoResponse: w.unresponsive && !w.respondsAgain, UnresponsiveSince: w.unresponsiveSince}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lastActive returns when the run was last known to do its task's work.
func (r *run) lastActive(now time.Time) time.Time {
	switch {
	case !r.started:
		return time.Time{}
	case !r.workedUntil.IsZero():
		return r.workedUntil
	case r.worker.unresponsiveSince.IsZero():
		return now
	}
	return later(r.worker.unresponsiveSince, r.since)
}

// confirmed reports whether a run does the task's work and its worker is responsive.
func (t *task) confirmed() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return !r.stopping && r.started && r.worker.unresponsiveSince.IsZero()
	})
}

// waitingSince returns the time from which the task has waited.
func (t *task) waitingSince(now time.Time) time.Time {
	s := t.phase
	at := later(later(s.job.addedAt, s.due), t.lastWorkedAt)
	for _, a := range s.after {
		at = later(at, a.finishedAt)
	}
	for _, r := range t.runs {
		at = later(at, r.lastActive(now))
	}
	return at
}

// WaitingTasks returns the lasting tasks that have waited longer than the given time, with the
// reasons, those that have waited longest first. It changes nothing.
func (p *Planner) WaitingTasks(minWait time.Duration) []WaitingTask {
	now := p.now()
	var out []WaitingTask
	for _, j := range p.active {
		if j.cancelled || j.state.Final() {
			continue
		}
		for _, s := range j.phases {
			if s.spec.Lasting && s.isDue() {
				out = append(out, p.waitingTasksOf(s, now, minWait)...)
			}
		}
	}
	slices.SortFunc(out, func(a, b WaitingTask) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.K, b.Task.K),
			cmp.Compare(a.Task.Phase, b.Task.Phase), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// waitingTasksOf returns the waiting tasks of a phase. A reason that applies to all of them is
// computed once.
func (p *Planner) waitingTasksOf(s *phase, now time.Time, minWait time.Duration) []WaitingTask {
	var out []WaitingTask
	var common *WaitingTask
	for _, t := range s.tasks {
		if t.done || t.confirmed() {
			continue
		}
		since := t.waitingSince(now)
		if now.Sub(since) <= minWait {
			continue
		}
		w, blocked := t.blockedByRun()
		if !blocked && t.suspicion().suspected() {
			w, blocked = WaitingTask{Reason: WaitProbe}, true
		}
		if !blocked {
			if common == nil {
				x := p.explainWait(s, now)
				common = &x
			}
			w = *common
		}
		w.Task, w.Since = t.id(), since
		out = append(out, w)
	}
	return out
}

// blockedByRun returns the run that prevents a task from being started, if there is one. Members
// of a gang wait until the previous runs of all members have ended.
func (t *task) blockedByRun() (WaitingTask, bool) {
	runs := slices.Clone(t.runs)
	if s := t.phase; len(runs) == 0 && s.spec.Gang && (s.gang.stopping || s.gang.number == 0) {
		for _, x := range s.tasks {
			runs = append(runs, x.runs...)
		}
	}
	if len(runs) == 0 {
		return WaitingTask{}, false
	}
	r := slices.MinFunc(runs, func(a, b *run) int { return cmp.Compare(a.key.run, b.key.run) })
	w := WaitingTask{Reason: WaitRun, Run: r.key.run, Ordered: r.since, Stopping: r.stopping, Contact: r.worker.contact()}
	if !r.started && !r.stopping && r.worker.unresponsiveSince.IsZero() {
		w.Reason = WaitStart
	}
	return w, true
}

// explainWait returns why tasks of a phase that have no run are not started.
func (p *Planner) explainWait(s *phase, now time.Time) WaitingTask {
	j := s.job
	deferred := p.deferReason(j, p.awaitsEarlier(now))
	switch {
	case j.queue == nil:
		return WaitingTask{Reason: WaitQueue}
	case deferred == WaitAdopting:
		return p.explainAdopting(j)
	case deferred != 0:
		return WaitingTask{Reason: deferred}
	case !j.team.allows(s.nextStartNeed()):
		return WaitingTask{Reason: WaitLimit, Used: j.team.used, Limit: j.team.Cap, UsedAtUnresponsive: p.usedAtUnresponsive(j.team)}
	}
	return s.explainOffer(p.countOffer(s, now), now)
}

// nextStartNeed returns what the next start of the phase needs: one task, or all missing members of
// a gang.
func (s *phase) nextStartNeed() winch.Capacity {
	if !s.spec.Gang {
		return s.spec.Need
	}
	return s.spec.Need.Times(s.waiting)
}

// explainAdopting returns the wait for the runs of earlier planners. It names one of the workers
// that have not reported their runs.
func (p *Planner) explainAdopting(j *job) WaitingTask {
	w := WaitingTask{Reason: WaitAdopting, Unreported: len(p.roster), Until: p.Barrier, Revision: j.rec.Revision, AdoptedRevision: p.AdoptedRevision}
	for id := range p.roster {
		if w.Contact.Worker == "" || id < w.Contact.Worker {
			w.Contact = WorkerContact{Worker: id}
		}
	}
	if x := p.workers[w.Contact.Worker]; x != nil {
		w.Contact = x.contact()
	}
	return w
}

// usedAtUnresponsive returns the part of a team's use at unresponsive workers.
func (p *Planner) usedAtUnresponsive(t *team) winch.Capacity {
	var out winch.Capacity
	for _, w := range p.workers {
		if w.unresponsiveSince.IsZero() {
			continue
		}
		for _, r := range w.runs {
			if r.team == t {
				out = out.Add(r.need)
			}
		}
	}
	return out
}

// countOffer counts the workers that could run a phase.
func (p *Planner) countOffer(s *phase, now time.Time) Offer {
	var out Offer
	counts := s.runsPerWorker()
	for _, w := range p.workers {
		if !s.ofKind(w) {
			continue
		}
		out.Workers++
		if !w.usable() {
			if w.available() {
				out.Evacuated++
			}
			continue
		}
		out.Usable++
		ticketed := s.job.queue.Advice == nil || s.advice.permitFor(w).valid(now)
		switch {
		case w.health.quarantined(now):
			out.Resting++
		case ticketed:
			out.Ticketed++
			out.Fits += s.fitInto(p.availableCapacity(s, w, now), remainingPerVM(s.spec.MostPerVM, counts[w]))
		case s.advice.isDenied(w):
			out.Denied++
		case s.fitInto(p.availableCapacity(s, w, now), remainingPerVM(s.spec.MostPerVM, counts[w])) > 0:
			out.Unasked++
		}
	}
	return out
}

// explainOffer returns what prevents the phase from being started, given the workers that could run
// it.
func (s *phase) explainOffer(o Offer, now time.Time) WaitingTask {
	w := WaitingTask{Offer: o, AdviceRequested: s.advice.requested}
	wants := 1
	if s.spec.Gang {
		wants = s.waiting
	}
	switch {
	case o.Usable == 0 && o.Evacuated > 0:
		w.Reason = WaitEvacuated
	case o.Usable == 0:
		w.Reason = WaitWorker
	case o.Usable == o.Resting:
		w.Reason = WaitQuarantine
	case o.Fits >= wants:
		w.Reason = WaitDecision
	case o.Unasked > 0 && s.advice.pending:
		w.Reason = WaitAdvice
	case o.Unasked > 0 && now.Before(s.advice.retryAt):
		w.Reason, w.Until = WaitAdviceRetry, s.advice.retryAt
	case o.Unasked > 0:
		w.Reason = WaitTicket
	case o.Denied == o.Usable-o.Resting:
		w.Reason = WaitDenied
	default:
		w.Reason = WaitCapacity
	}
	return w
}

// UnresponsiveWorkers returns the workers that have been unresponsive for longer than the given
// time and still have runs charged to them, the longest first.
func (p *Planner) UnresponsiveWorkers(minPeriod time.Duration) []UnresponsiveWorker {
	now := p.now()
	var out []UnresponsiveWorker
	for _, w := range p.workers {
		if len(w.runs) > 0 && !w.unresponsiveSince.IsZero() && now.Sub(w.unresponsiveSince) > minPeriod {
			out = append(out, UnresponsiveWorker{w.contact(), len(w.runs)})
		}
	}
	slices.SortFunc(out, func(a, b UnresponsiveWorker) int {
		return cmp.Or(a.Contact.UnresponsiveSince.Compare(b.Contact.UnresponsiveSince), cmp.Compare(a.Contact.Worker, b.Contact.Worker))
	})
	return out
}
