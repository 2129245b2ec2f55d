package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/coord/copies"
	"plantainwinch/winch"
)

const (
	// maxCopies bounds how many copies one task gets in all, so that copies that cannot start or
	// fail are not repeated without end.
	maxCopies = 2
	// copyCheckInterval is the minimum time between two checks of the same phase for stragglers: the
	// progress that workers report changes less often.
	copyCheckInterval = 50 * time.Millisecond
	// minProgressTime is the minimum time over which progress is extrapolated: workers report it in
	// percent.
	minProgressTime = 200 * time.Millisecond
	// copyQuotaDivisor is the part of the quota of advice requests, at the start of Schedule, that must
	// be left when a request for a copy is sent, and at least two requests: one for the copy and one for
	// work that arrives meanwhile. Such a request must not delay others.
	copyQuotaDivisor = 2
)

// copyState is what the planner keeps of a phase whose tasks may have copies.
type copyState struct {
	// listed is set if the phase is in the planner's list of phases that may have stragglers.
	listed      bool
	checkedAt   time.Time
	requestedAt time.Time // requestedAt is when advice was last requested for a copy.
	// runTimes holds the run times of the tasks that completed successfully, divided by the factors
	// of their workers.
	runTimes []time.Duration
	usual    time.Duration // usual is the usual run time as of the last check.
}

// copyRun marks a run as a copy of another run of its task.
type copyRun struct {
	of *run
	// gain is by how much the task was expected to end earlier; zero if that is not known.
	gain time.Duration
}

// CopyStart is a copy that was started, with the ends expected of the first run and of the copy.
type CopyStart struct {
	Task               winch.RunID
	Run, Of            uint64
	Worker, OfWorker   string
	OfEnd, ExpectedEnd time.Duration
	// ProgressAge is the age of the first run's last progress report, or of its start if there is none.
	ProgressAge time.Duration
}

// CopyEnd is a copy that has ended, or whose task has.
type CopyEnd struct {
	Task   winch.RunID
	Run    uint64
	Worker string
	// Won is set if the copy completed the task, and Gain is by how much earlier it did so than the first
	// run was expected to; zero if the first run had ended without success.
	Won  bool
	Gain time.Duration
	// Age is how long the copy had existed.
	Age time.Duration
}

// CopyStarts returns the copies started since the last call.
func (p *Planner) CopyStarts() []CopyStart {
	out := p.copyStarts
	p.copyStarts = nil
	return out
}

// CopyEnds returns the copies that have ended since the last call.
func (p *Planner) CopyEnds() []CopyEnd {
	out := p.copyEnds
	p.copyEnds = nil
	return out
}

// permitsCopies reports whether two runs of a task of the phase may overlap.
func (s *phase) permitsCopies() bool {
	return s.spec.Copies && !s.spec.Gang && !s.spec.Lasting && !s.spec.Fills
}

// noteCopyable adds a phase whose tasks all run or have ended to the list of those that may have
// stragglers.
func (s *phase) noteCopyable() {
	if s.permitsCopies() && !s.copying.listed && s.live > 0 && s.job.planner.Policy.Copies {
		s.copying.listed = true
		s.job.planner.copyable = append(s.job.planner.copyable, s)
	}
}

// mayAdopt reports whether a run found at a worker may do the task's work beside the runs that are
// known.
func (t *task) mayAdopt(w *worker, number uint64) bool {
	if !t.phase.acceptsRun(number) {
		return false
	}
	return t.startable() || !t.done && t.phase.permitsCopies() && len(t.runs) == 1 && t.runs[0].worker != w && !t.suspicion().suspected()
}

// adoptCopy makes the later of two adopted runs the copy of the other. What the earlier planner
// expected of it is not known.
func (p *Planner) adoptCopy(t *task) {
	if len(t.runs) != 2 {
		return
	}
	first, second := t.runs[0], t.runs[1]
	if second.key.run < first.key.run {
		first, second = second, first
	}
	p.noteCopy(second, first, 0)
}

// noteCopy marks a run as a copy. Copies do not count as demand of urgent work, since other work must
// not leave capacity free for them.
func (p *Planner) noteCopy(r, of *run, gain time.Duration) {
	r.countUrgent(false)
	r.copyOf = &copyRun{of: of, gain: gain}
	p.copies = append(p.copies, r)
}

// copied reports whether the task has two runs that may exist.
func (t *task) copied() bool {
	return len(t.runs) > 1
}

// endCopies ends the copies of a task that the given run has completed.
func (p *Planner) endCopies(t *task, completedBy *run) {
	now := p.now()
	for _, r := range slices.Clone(p.copies) {
		if r.task != t {
			continue
		}
		gain := time.Duration(0)
		won := r == completedBy
		if won && r.copyOf.of.exists() {
			gain = t.phase.expectedGain(r, now)
		}
		if !won || r.copyOf.of.exists() {
			t.phase.job.queue.addCopyResult(now, copies.Result{Expected: r.copyOf.gain, Gained: gain})
		}
		p.endCopy(r, won, gain)
	}
}

// expectedGain returns by how much a copy that ends now has ended earlier than the first run would have.
func (s *phase) expectedGain(r *run, now time.Time) time.Duration {
	usual := s.copying.usual
	if len(s.tasks) <= maxCompared {
		usual, _ = s.usualRunTime()
	}
	end, _ := r.copyOf.of.projectedEnd(usual, now)
	return max(0, end.Sub(now))
}

func (q *queue) addCopyResult(now time.Time, r copies.Result) {
	if q != nil {
		q.copies.Add(now, r)
	}
}

// endCopy reports the end of a copy.
func (p *Planner) endCopy(r *run, won bool, gain time.Duration) {
	p.copies = slices.DeleteFunc(p.copies, func(x *run) bool { return x == r })
	p.copyEnds = append(p.copyEnds, CopyEnd{Task: r.key.task, Run: r.key.run, Worker: r.worker.vm.ID, Won: won, Gain: gain, Age: p.now().Sub(r.since)})
}

// exists reports whether the run is not known to have ended.
func (r *run) exists() bool {
	return r.worker.runs[r.key] == r
}

// dropEndedCopies reports the copies that ended without having completed their task.
func (p *Planner) dropEndedCopies() {
	for _, r := range slices.Clone(p.copies) {
		if !r.exists() || r.stopping {
			p.endCopy(r, false, 0)
		}
	}
}

// copyStragglers starts copies of straggling runs. It is called after all waiting work had its turn. While work of
// an earlier planner may be unknown, or this planner may have lost its office, it starts none.
func (p *Planner) copyStragglers(now time.Time, adopting bool) {
	p.dropEndedCopies()
	if len(p.copyable) == 0 {
		return
	}
	kept := p.copyable[:0]
	var due []waitingPhase
	for _, s := range p.copyable {
		if s.live == 0 || s.waiting > 0 || s.job.cancelled || s.job.state.Final() {
			s.copying.listed = false
			continue
		}
		kept = append(kept, s)
		if s.job.queue != nil && now.Sub(s.copying.checkedAt) >= s.copyCheckInterval() {
			s.copying.checkedAt = now
			due = append(due, waitingPhase{phase: s})
		}
	}
	clear(p.copyable[len(kept):])
	p.copyable = kept
	if len(due) == 0 || p.resumeAt != nil || adopting || !p.Policy.Copies || !p.LeaseExpiry.IsZero() {
		return
	}
	room := p.copyRoom()
	due = slices.DeleteFunc(due, func(e waitingPhase) bool { return !room.allows(e.phase) })
	for i := range due {
		due[i].rank = p.rank(due[i].phase, now)
	}
	slices.SortFunc(due, compareWaitingPhases)
	for _, e := range due {
		if e.rank.class < rankExcess {
			p.copyPhase(e.phase, room, now)
		}
	}
}

// copyCheckInterval returns the minimum time between two checks of the phase for stragglers. A check goes over
// all its tasks.
func (s *phase) copyCheckInterval() time.Duration {
	return copyCheckInterval * time.Duration(1+(len(s.tasks)-1)/maxCompared)
}

// copyPhase starts copies of the stragglers of a phase, or requests advice about workers for them.
func (p *Planner) copyPhase(s *phase, room *copyRoom, now time.Time) {
	if !room.allows(s) {
		return
	}
	usual, known := s.usualRunTime()
	if !known {
		return
	}
	s.copying.usual = usual
	stragglers, rest, ok := s.stragglers(usual, now)
	gain := copies.LeastGain(s.job.queue.Target)
	if !ok || len(stragglers) == 0 || stragglers[0].End.Sub(later(rest, now)) < gain {
		return
	}
	running := p.copiesOf(func(r *run) bool { return r.task.phase == s })
	ledger := &s.job.queue.copies
	limit := min(copies.MaxPerPhase(len(s.tasks))-running, ledger.Allows(now, p.copiesOf(func(r *run) bool { return r.task.phase.job.queue == s.job.queue })))
	if limit <= 0 {
		return
	}
	offers := p.copyOffers(s, now)
	for i := range stragglers {
		stragglers[i].choose(offers, usual, now)
	}
	n := choose(stragglers, rest, limit, gain)
	if n == 0 {
		p.requestForCopy(s, stragglers, rest, limit, usual, now)
		return
	}
	for _, x := range stragglers[:n] {
		if !room.allows(s) {
			return
		}
		room.service(s.job.queue.Service).budget.Take(s.spec.Charge())
		p.startCopy(x, now)
	}
}

// copiesOf counts the copies for which a condition holds.
func (p *Planner) copiesOf(match func(*run) bool) int {
	n := 0
	for _, r := range p.copies {
		if match(r) {
			n++
		}
	}
	return n
}

// startCopy starts the copy of a straggler.
func (p *Planner) startCopy(x straggler, now time.Time) {
	t, of := x.run.task, x.run
	t.copies++
	t.phase.job.copies++
	number := p.nextRunNumber()
	r := p.start(t, x.worker, number, t.checkpoint)
	p.noteCopy(r, of, x.End.Sub(x.CopyEnd))
	t.phase.job.queue.copies.Started(now)
	p.copyStarts = append(p.copyStarts, CopyStart{
		Task: r.key.task, Run: number, Of: of.key.run, Worker: x.worker.vm.ID, OfWorker: of.worker.vm.ID,
		OfEnd: x.End.Sub(now), ExpectedEnd: x.CopyEnd.Sub(now), ProgressAge: now.Sub(later(of.reportedAt, of.since)),
	})
}

// requestForCopy requests advice about a phase if copies at further workers of the usual speed would let it
// end earlier even after the response, and the request delays no other.
func (p *Planner) requestForCopy(s *phase, list []straggler, rest time.Time, limit int, usual time.Duration, now time.Time) {
	q := s.job.queue
	if q.Advice == nil || s.advice.pending || now.Before(s.advice.retryAt) || now.Sub(s.copying.requestedAt) < q.Advice.Valid {
		return
	}
	left := p.Quota.forPhase(s)
	if *left < max(2, *p.initialQuota.forPhase(s)/copyQuotaDivisor) || *left <= p.starvingQuota(s) {
		return
	}
	for i := range list {
		list[i].CopyEnd = copies.ExpectedEnd(now.Add(q.turnaround), usual, list[i].left, 1)
	}
	n := choose(list, rest, limit, copies.LeastGain(q.Target))
	if n == 0 {
		return
	}
	s.copying.requestedAt = now
	p.enqueueRequest(s, now, rank{class: rankAbandoned}, n+p.ticketedTasks(s, now))
}

// failExhausted fails the phase's job if a task has no run left and has used up its attempts, and reports
// whether it has. One of the task's two runs used up the last attempt while the other went on.
func (p *Planner) failExhausted(s *phase) bool {
	j := s.job
	if !s.permitsCopies() || len(j.failed) == 0 {
		return false
	}
	if !j.hasExhausted() || !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.startable() && t.attemptsUsed() }) {
		return false
	}
	j.finish(winch.JobFailed)
	p.markChanged(j)
	p.stopJob(j)
	return true
}

// attemptsUsed reports whether the task has failed as often as its queue permits.
func (t *task) attemptsUsed() bool {
	j := t.phase.job
	return len(j.failed[t.failureKey()]) >= j.attempts()
}

// attempts returns how often a task may fail.
func (j *job) attempts() int {
	if j.queue == nil {
		return 1
	}
	return max(1, j.queue.Attempts)
}

// hasExhausted reports whether any task of the job has used up its attempts.
func (j *job) hasExhausted() bool {
	for _, runs := range j.failed {
		if len(runs) >= j.attempts() {
			return true
		}
	}
	return false
}

// compareStragglers orders stragglers by descending end.
func compareStragglers(a, b straggler) int {
	return cmp.Or(b.End.Compare(a.End), cmp.Compare(a.run.key.task.Index, b.run.key.task.Index))
}
