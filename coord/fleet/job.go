package fleet

import (
	"slices"
	"strconv"
	"time"

	"plantainwinch/winch"
)

// job is an accepted job that the planner still has in memory.
type job struct {
	planner *Planner
	rec     *winch.PhasedJob
	queue   *queue // queue is nil until a configuration contains it.
	team    *team
	steps   []*step
	// state is the current state as this planner knows it, visibleState the recorded one, which
	// callers may see.
	state     winch.JobState
	shown     winch.JobState
	cancelled bool
	begun     bool
	// excess is set if the job exceeded its team's share when it was accepted.
	excess bool
	// adopted is set if runs of an earlier planner were found.
	adopted bool
	// addedAt is when this planner learned of the job. endedAt is when it ended or, once that is
	// recorded, when the record was written.
	heard time.Time
	ended time.Time

	// changes counts the changes to be recorded, savedChanges those of them that are recorded.
	changes  uint64
	saved    uint64
	saving   bool
	revision uint64              // revision is that of the progress record; zero if there is none.
	failed   map[string][]uint64 // failed lists the failed runs by failureKey.
	// suspects holds the tasks whose workers crashed, by failureKey; crashes lists the crashes for
	// which the job was failed.
	suspects   map[string]*suspicion
	cleared    int // cleared counts the suspects that were shown not to crash their workers.
	crashes    []winch.Crash
	unanswered int  // unanswered counts the starts that got no response.
	pressing   bool // awaited is set while a caller, or the start of a task, waits for the record.
	dirty      bool // dirty is set if the record must be written.
	rest       bool // retained is set if the job has ended and the store still holds it.
	// completionWorkers holds the workers with completions that wait for the job's record.
	listing []*worker
}

// phase is one phase of one repetition of a job, with its scheduling state.
type step struct {
	job  *job
	spec *winch.Phase
	// repetition is the index of the repetition, index that of the phase within it.
	k     int
	phase int
	tasks []*task
	after []*step
	next  []*step // next holds the phases that name this one in after.
	// due is the earliest start; zero if the job is not repeated.
	due time.Time
	// enqueued is set if the phase is in the planner's ready list, readySince is when it became
	// ready.
	listed bool
	since  time.Time
	ahead  bool // ahead is set if advice may be requested before the dependencies are done.
	// waiting counts the tasks that neither run nor are done, done those that are done, and live
	// those that run.
	waiting int
	done    int
	live    int
	// finishedAt is when a task of the phase last completed successfully.
	finished time.Time
	// remainingPath is the longest chain of estimates from this phase to the end of the job,
	// criticalPath the longest chain of the whole repetition.
	tail  time.Duration
	whole time.Duration
	known advice
	gang  gangRun
	// slots are the places at which the waiting tasks are expected to start, as of the search at
	// slotsFoundAt.
	slots     []slot
	lookedFor time.Time
	// meanTime and maxTime are the mean and the longest run time of the tasks that completed
	// successfully.
	took    time.Duration
	longest time.Duration
	samples int
	// cachedRate is the median progress rate of cachedRateSamples tasks at cachedRateAt.
	usual   float64
	usualOf int
	usualAt time.Time
	// waited sums the time that tasks have waited, by reason; waitReason is why some have waited
	// since accountedAt.
	spent  map[Reason]time.Duration
	reason Reason
	judged time.Time
}

// task is one task of a phase.
type task struct {
	step  *step
	index int
	done  bool
	// runs holds the runs that may exist. There is more than one only while an unwanted one is
	// being stopped.
	runs       []*run
	checkpoint string
	// avoidWorker is the worker at which the task last failed or was slow.
	avoid string
	// restarts counts how often the task was restarted because it was slow.
	restarts int
	// lastWorkedAt is when a run that has since ended was last known to do the task's work.
	seen time.Time
}

func (t *task) id() winch.RunID {
	return winch.RunID{Job: t.step.job.rec.ID, K: t.step.k, Phase: t.step.phase, Index: t.index}
}

func (s *step) id() winch.RunID {
	return winch.RunID{Job: s.job.rec.ID, K: s.k, Phase: s.phase}
}

// ready reports whether the phase has waiting tasks that may be started now.
func (s *step) ready() bool {
	j := s.job
	if s.waiting == 0 || j.cancelled || j.state.Final() || j.queue == nil {
		return false
	}
	return s.turn()
}

// isDue reports whether the preceding phases are done and the phase's due time has come.
func (s *step) turn() bool {
	return s.unlocked() && (s.due.IsZero() || !s.job.planner.now().Before(s.due))
}

// dependenciesDone reports whether the preceding phases are done.
func (s *step) unlocked() bool {
	for _, a := range s.after {
		if a.done < len(a.tasks) {
			return false
		}
	}
	return true
}

// Add adds an accepted job with its recorded progress. A job that is already known is left
// unchanged.
func (p *Planner) Add(rec *winch.PhasedJob, progress *winch.Progress, revision uint64) {
	if p.jobs[rec.ID] != nil {
		return
	}
	j := &job{
		rec: rec, queue: p.queues[rec.Queue], team: p.team(rec.Team), state: winch.JobQueued, shown: winch.JobQueued,
		revision: revision, failed: make(map[string][]uint64), heard: p.now(),
		planner: p,
	}
	j.excess = p.Policy.Shares && !j.team.share.take(j.team.Weight, rec.Accepted)
	p.jobs[rec.ID], p.active[rec.ID] = j, j
	for k := range max(1, rec.Times) {
		j.addRun(k)
	}
	j.chains()
	if progress != nil {
		j.restore(progress)
	}
	j.update()
	j.shown = j.state
	if j.state.Final() {
		j.rest = true
		delete(p.active, rec.ID)
	}
	j.consider()
}

// enqueueReady adds the job's phases that may be ready to the planner's ready list.
func (j *job) consider() {
	for _, s := range j.steps {
		j.planner.consider(s)
	}
}

// enqueueIfReady adds a phase to the ready list if it has waiting tasks and no preceding phase
// delays it.
func (p *Planner) consider(s *step) {
	if !s.listed && s.waiting > 0 && s.job.queue != nil && s.unlocked() {
		s.listed, s.since = true, time.Time{}
		p.ready = append(p.ready, waiting{step: s})
	}
}

func (j *job) addRun(repetition int) {
	first := len(j.steps)
	for i := range j.rec.Phases {
		s := &step{job: j, spec: &j.rec.Phases[i], k: repetition, phase: i}
		if j.rec.Times > 0 {
			s.due = j.rec.First.Add(time.Duration(repetition) * j.rec.Every)
		}
		for _, a := range s.spec.After {
			before := j.steps[first+a]
			s.after = append(s.after, before)
			before.next = append(before.next, s)
		}
		for index := range s.spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: index})
		}
		s.waiting = len(s.tasks)
		j.steps = append(j.steps, s)
	}
}

// updateCriticalPaths computes the longest chain of estimates from each phase to the end of its
// repetition.
func (j *job) chains() {
	for _, s := range j.steps {
		s.tail = 0
	}
	for first := 0; first < len(j.steps); first += len(j.rec.Phases) {
		j.chain(first)
	}
}

// updateCriticalPath computes the chains of the repetition that starts at index first. A phase
// names only earlier phases, so one backward pass is enough.
func (j *job) chain(first int) {
	steps := j.steps[first : first+len(j.rec.Phases)]
	for i, s := range slices.Backward(steps) {
		s.tail += s.spec.Estimate + j.queue.adviceTime()
		for _, a := range s.spec.After {
			if a < i {
				steps[a].tail = max(steps[a].tail, s.tail)
			}
		}
	}
	longest := time.Duration(0)
	for _, s := range steps {
		longest = max(longest, s.tail)
	}
	for _, s := range steps {
		s.whole = longest
	}
}

// beginsAt returns when the phase's repetition starts to count: at the job's acceptance, or when
// it is due.
func (s *step) begin() time.Time {
	if s.due.IsZero() {
		return s.job.rec.Accepted
	}
	return s.due
}

// objective returns when the phase's repetition should have ended.
func (s *step) objective() time.Time {
	return s.begin().Add(s.job.allowance(s.whole))
}

// allowedTime returns how long a job may take whose longest chain of work takes the given time.
func (j *job) allowance(chain time.Duration) time.Duration {
	if j.queue == nil {
		return chain
	}
	return j.queue.Objective(chain)
}

func (j *job) step(repetition, index int) *step {
	i := repetition*len(j.rec.Phases) + index
	if repetition < 0 || index < 0 || index >= len(j.rec.Phases) || i >= len(j.steps) {
		return nil
	}
	return j.steps[i]
}

// restore applies the recorded progress.
func (j *job) restore(progress *winch.Progress) {
	j.state = progress.State
	if j.state == "" {
		j.state = winch.JobQueued
	}
	j.ended = progress.Ended
	for key, runs := range progress.Failed {
		j.failed[key] = runs
	}
	if len(progress.Crashes)+len(progress.Probes) > 0 {
		j.restoreCrashes(progress)
	}
	for _, s := range j.steps {
		var bits []byte
		if phases := progress.Done[s.k]; s.phase < len(phases) {
			bits = phases[s.phase]
		}
		for _, t := range s.tasks {
			if t.index/8 < len(bits) && bits[t.index/8]&(1<<(t.index%8)) != 0 {
				t.finish()
			}
		}
	}
}

// failureKey returns the key by which failures are counted: that of a task, or of a whole gang.
func (t *task) failKey() string {
	s := t.step
	key := strconv.Itoa(s.k) + "." + strconv.Itoa(s.phase)
	if s.spec.Gang {
		return key
	}
	return key + "." + strconv.Itoa(t.index)
}

// finish marks a task as successfully completed.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.done++
	t.step.finished = t.step.job.planner.now()
	t.recount()
	if t.step.done == len(t.step.tasks) {
		for _, s := range t.step.next {
			s.job.planner.consider(s)
		}
	}
}

// updateCounts recomputes the phase's counters after a change of the task.
func (t *task) recount() {
	s := t.step
	s.waiting, s.live = 0, 0
	for _, x := range s.tasks {
		if x.wanted() != nil {
			s.live++
		} else if !x.done {
			s.waiting++
		}
	}
	s.job.planner.consider(s)
	if s.waiting == 0 {
		s.anticipate()
	}
}

// activeRun returns the run that does the task's work, or nil.
func (t *task) wanted() *run {
	for _, r := range t.runs {
		if !r.stopping {
			return r
		}
	}
	return nil
}

// startable reports whether the task may be started: it is not done and has no run that may exist.
func (t *task) free() bool {
	return !t.done && len(t.runs) == 0
}

// updateState derives the job's state from its tasks.
func (j *job) update() {
	if j.state.Final() {
		return
	}
	allDone := true
	for _, s := range j.steps {
		if s.spec.Lasting || s.done < len(s.tasks) {
			allDone = false
		}
		if s.live > 0 || s.done > 0 {
			j.begun = true
		}
	}
	switch {
	case allDone:
		j.finish(winch.JobDone)
	case j.begun:
		j.state = winch.JobRunning
		j.shown = winch.JobRunning
	}
}

func (j *job) finish(state winch.JobState) {
	j.state = state
	j.ended = j.planner.now()
	j.pressing = true
	delete(j.planner.active, j.rec.ID)
}
