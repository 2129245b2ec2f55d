package fleet

import (
	"slices"
	"time"

	"plantainwinch/winch"
)

// job is an accepted job that the planner still has in memory.
type job struct {
	planner *Planner
	rec     *winch.PhasedJob
	queue   *queue // queue is nil until the planner has the configuration by which the job was allowed.
	team    *team
	phases  []*phase
	// state is the current state as this planner knows it, visibleState the recorded one, which
	// callers may see.
	state        winch.JobState
	visibleState winch.JobState
	cancelled    bool
	begun        bool
	// unfinished counts the phases that have not ended, live and done the tasks that run and those that
	// are done, and runs the runs that may exist.
	unfinished, live, done, runs int
	// enqueued counts the phases in the planner's ready list, nextEnqueued is the first that has not had its turn.
	enqueued, nextEnqueued int
	home                   string // home is the failure domain that tasks prefer, see homeDomain.
	// excess is set if the job exceeded its team's share when it was accepted.
	excess bool
	// adopted is set if runs of an earlier planner were found.
	adopted bool
	order   jobOrder
	// addedAt is when this planner learned of the job. endedAt is when it ended or, once that is
	// recorded, when the record was written.
	addedAt time.Time
	endedAt time.Time

	// changes counts the changes to be recorded, savedChanges those of them that are recorded.
	changes      uint64
	savedChanges uint64
	saving       bool
	revision     uint64              // revision is that of the progress record; zero if there is none.
	failed       map[string][]uint64 // failed lists the failed runs by failureKey.
	// suspects holds the tasks whose workers crashed, by failureKey; crashes lists the crashes for
	// which the job was failed.
	suspects     map[string]*suspicion
	cleared      int // cleared counts the suspects that were shown not to crash their workers.
	crashes      []winch.Crash
	copies       int  // copies counts the copies of stragglers that were started.
	failedStarts int  // failedStarts counts the starts that a worker refused or did not respond to.
	awaited      bool // awaited is set while a caller, or the start of a task, waits for the record.
	dirty        bool // dirty is set if the record must be written.
	retained     bool // retained is set if the job has ended and the store still holds it.
	// completionWorkers holds the workers with completions that wait for the job's record.
	completionWorkers []*worker
}

// phase is one phase of one repetition of a job, with its scheduling state.
type phase struct {
	job  *job
	spec *winch.Phase
	// repetition is the index of the repetition, index that of the phase within it.
	repetition int
	index      int
	tasks      []*task
	after      []*phase
	next       []*phase // next holds the phases that name this one in after.
	// due is the earliest start; zero if the job is not repeated.
	due time.Time
	// enqueued is set if the phase is in the planner's ready list, readySince is when it became
	// ready.
	enqueued    bool
	readySince  time.Time
	anticipated bool // anticipated is set if advice may be requested before the dependencies are done.
	// waiting counts the tasks that neither run nor are done, done those that are done, and live
	// those that run.
	waiting int
	done    int
	live    int
	// evicted holds those of waiting that were stopped for urgent work, startable the tasks that may be
	// started, see task.startable.
	evicted, startable taskSet
	// finishedAt is when a task of the phase last completed successfully.
	finishedAt time.Time
	// remainingPath is the longest chain of estimates from this phase to the end of the repetition,
	// criticalPath the longest chain of the whole repetition.
	remainingPath time.Duration
	criticalPath  time.Duration
	advice        advice
	gang          gangRun
	parallel      parallelism
	// perWorker counts the runs that may exist at each worker if the phase has a limit per worker, and
	// racks those that do its work in each rack if its tasks prefer the same one.
	perWorker map[*worker]int
	racks     map[string]int
	copying   copyState
	// slots are where and when the waiting tasks are expected to start, as computed at
	// slotsFoundAt.
	slots        []slot
	slotsFoundAt time.Time
	// meanTime is the mean run time of the tasks that completed successfully, each divided by the
	// factor of its worker.
	meanTime time.Duration
	samples  int
	// completed lists runs that completed tasks, see keepCompleted, and longest is the longest of all.
	// toleratedFactor is the factor up to which a worker is fast enough, as of the last choice.
	completed       []completedRun
	longest         completedRun
	toleratedFactor float64
	// cachedRate is the median progress rate of cachedRateSamples tasks at cachedRateAt.
	cachedRate        float64
	cachedRateSamples int
	cachedRateAt      time.Time
	// waited sums the time that tasks have waited, by reason; waitReason is why some have waited
	// since accountedAt.
	waited      map[Reason]time.Duration
	waitReason  Reason
	accountedAt time.Time
	order       phaseOrder
}

func (t *task) id() winch.RunID {
	return winch.RunID{Job: t.phase.job.rec.ID, K: t.phase.repetition, Phase: t.phase.index, Index: t.index}
}

func (s *phase) id() winch.RunID {
	return winch.RunID{Job: s.job.rec.ID, K: s.repetition, Phase: s.index}
}

// ready reports whether the phase has waiting tasks that may be started now.
func (s *phase) ready() bool {
	j := s.job
	if s.waiting == 0 || j.cancelled || j.state.Final() || j.queue == nil {
		return false
	}
	return s.isDue()
}

// isDue reports whether the preceding phases are done and the phase's due time has come.
func (s *phase) isDue() bool {
	return s.dependenciesDone() && (s.due.IsZero() || !s.job.planner.now().Before(s.due))
}

// dependenciesDone reports whether the preceding phases are done.
func (s *phase) dependenciesDone() bool {
	for _, a := range s.after {
		if a.done < len(a.tasks) {
			return false
		}
	}
	return true
}

// Add adds an accepted job with its recorded progress. A job that is already known is left
// unchanged, unless it has ended and the record is that of a later job of the same ID.
func (p *Planner) Add(rec *winch.PhasedJob, progress *winch.Progress, revision uint64) {
	if p.EndedBefore(rec.ID, rec.Revision) {
		p.Forget(rec.ID)
	}
	if p.jobs[rec.ID] != nil {
		return
	}
	j := &job{
		rec: rec, queue: p.queueOf(rec), team: p.team(rec.Team), state: winch.JobQueued, visibleState: winch.JobQueued,
		revision: revision, failed: make(map[string][]uint64), addedAt: p.now(),
		planner: p,
	}
	j.excess = p.Policy.Shares && !j.team.share.take(j.team.Weight, rec.Accepted)
	p.forecastArrival(j, p.now())
	rec.Accepted = p.countsFrom(rec)
	p.jobs[rec.ID], p.active[rec.ID] = j, j
	for k := range max(1, rec.Times) {
		j.addRepetition(k)
	}
	j.updateCriticalPaths()
	if progress != nil {
		j.restore(progress)
	}
	j.restoreSaved()
	j.updateState()
	j.visibleState = j.state
	if j.state.Final() {
		j.retained = true
		delete(p.active, rec.ID)
	}
	p.orderAdded(j)
	j.enqueueReady()
	p.jobFound(rec.ID)
}

// maxEnqueued bounds the phases of one job that a decision ranks: a decision starts no more runs, and a job may have
// 100,000 repetitions.
const maxEnqueued = 2 * maxStarts

// enqueueReady adds the job's phases that may be ready to the planner's ready list.
func (j *job) enqueueReady() {
	for _, s := range j.phases[:j.nextEnqueued] {
		j.planner.enqueueIfReady(s)
	}
	j.enqueueNext()
}

// enqueueNext adds phases to the ready list in their order until it holds maxEnqueued of the job.
func (j *job) enqueueNext() {
	for j.enqueued < maxEnqueued && j.nextEnqueued < len(j.phases) {
		j.nextEnqueued++
		j.planner.enqueueIfReady(j.phases[j.nextEnqueued-1])
	}
}

// enqueueIfReady adds a phase to the ready list if it has waiting tasks and the preceding phases are
// done, unless its turn has not come yet, see enqueueNext.
func (p *Planner) enqueueIfReady(s *phase) {
	if s.repetition*len(s.job.rec.Phases)+s.index >= s.job.nextEnqueued {
		return
	}
	if !s.enqueued && s.waiting > 0 && s.job.queue != nil && s.dependenciesDone() {
		s.enqueued, s.readySince = true, time.Time{}
		s.job.enqueued++
		p.ready = append(p.ready, waitingPhase{phase: s})
	}
}

// dequeue notes that a phase has left the ready list.
func (s *phase) dequeue() {
	s.enqueued = false
	s.job.enqueued--
}

func (j *job) addRepetition(repetition int) {
	first := len(j.phases)
	for i := range j.rec.Phases {
		s := &phase{job: j, spec: &j.rec.Phases[i], repetition: repetition, index: i}
		if j.rec.Times > 0 {
			s.due = j.rec.First.Add(time.Duration(repetition) * j.rec.Every)
		}
		for _, a := range s.spec.After {
			before := j.phases[first+a]
			s.after = append(s.after, before)
			before.next = append(before.next, s)
		}
		all := make([]task, s.spec.Count)
		s.tasks = make([]*task, s.spec.Count)
		for index := range all {
			all[index] = task{phase: s, index: index, waiting: true}
			s.tasks[index] = &all[index]
		}
		s.waiting = len(s.tasks)
		s.startable.fill(len(s.tasks))
		j.phases = append(j.phases, s)
		j.unfinished++
	}
}

// updateCriticalPaths computes, for each phase, the longest chain of estimates from it to the end of
// its repetition.
func (j *job) updateCriticalPaths() {
	for _, s := range j.phases {
		s.remainingPath = 0
	}
	for first := 0; first < len(j.phases); first += len(j.rec.Phases) {
		j.updateCriticalPath(first)
	}
}

// updateCriticalPath computes the chains of the repetition that starts at index first. A phase
// names only earlier phases, so one backward pass is enough.
func (j *job) updateCriticalPath(first int) {
	phases := j.phases[first : first+len(j.rec.Phases)]
	for i, s := range slices.Backward(phases) {
		s.remainingPath += s.spec.Estimate + j.queue.adviceTime()
		for _, a := range s.spec.After {
			if a < i {
				phases[a].remainingPath = max(phases[a].remainingPath, s.remainingPath)
			}
		}
	}
	longest := time.Duration(0)
	for _, s := range phases {
		longest = max(longest, s.remainingPath)
	}
	for _, s := range phases {
		s.criticalPath = longest
	}
}

// beginsAt returns when the phase's repetition starts to count: at the job's acceptance, or when
// it is due.
func (s *phase) beginsAt() time.Time {
	if s.due.IsZero() {
		return s.job.rec.Accepted
	}
	return s.due
}

// objective returns when the phase's repetition should have ended.
func (s *phase) objective() time.Time {
	return s.beginsAt().Add(s.job.allowedTime(s.criticalPath))
}

// allowedTime returns how long a job may take whose longest chain of work takes the given time.
func (j *job) allowedTime(chain time.Duration) time.Duration {
	if j.queue == nil {
		return chain
	}
	return j.queue.Objective(chain)
}

func (j *job) phase(repetition, index int) *phase {
	i := repetition*len(j.rec.Phases) + index
	if repetition < 0 || index < 0 || index >= len(j.rec.Phases) || i >= len(j.phases) {
		return nil
	}
	return j.phases[i]
}

// restore applies the recorded progress.
func (j *job) restore(progress *winch.Progress) {
	j.state = progress.State
	if j.state == "" {
		j.state = winch.JobQueued
	}
	j.endedAt = progress.Ended
	for key, runs := range progress.Failed {
		j.failed[key] = runs
	}
	if len(progress.Crashes)+len(progress.Probes) > 0 {
		j.restoreCrashes(progress)
	}
	for _, s := range j.phases {
		var bits []byte
		if phases := progress.Done[s.repetition]; s.index < len(phases) {
			bits = phases[s.index]
		}
		for _, t := range s.tasks {
			if t.index/8 < len(bits) && bits[t.index/8]&(1<<(t.index%8)) != 0 {
				t.finish()
			}
		}
	}
}

// finish marks a task as successfully completed.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.phase.done++
	t.phase.job.done++
	t.phase.finishedAt = t.phase.job.planner.now()
	t.updateCounts()
	if t.phase.done == len(t.phase.tasks) {
		if !t.phase.spec.Lasting {
			t.phase.job.unfinished--
		}
		for _, s := range t.phase.next {
			s.job.planner.enqueueIfReady(s)
		}
	}
}

// updateState derives the job's state from its tasks.
func (j *job) updateState() {
	if j.state.Final() {
		return
	}
	j.begun = j.begun || j.live > 0 || j.done > 0
	switch {
	case j.unfinished == 0:
		j.finish(winch.JobDone)
	case j.begun:
		j.state = winch.JobRunning
		j.visibleState = winch.JobRunning
	}
}

func (j *job) finish(state winch.JobState) {
	j.state = state
	j.endedAt = j.planner.now()
	j.awaited = true
	delete(j.planner.active, j.rec.ID)
}
