package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/coord/order"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// runsPerTerm is the number of run numbers reserved for the term of one planner.
	runsPerTerm = 10_000_000
	// ticketMargin is how long a ticket must still be valid when a start is ordered: the order
	// takes a few milliseconds to reach the worker, more under load.
	ticketMargin = 60 * time.Millisecond
)

func (p *Planner) nextRunNumber() uint64 {
	p.assignedRuns++
	return p.Term*runsPerTerm + p.assignedRuns
}

// rank orders waiting phases; the lowest goes first.
type rank struct {
	class int
	group order.Group // group is zero unless shares bind.
	key   float64
}

// Classes of waiting phases.
const (
	rankPromoted = iota // rankPromoted is work that goes ahead of its rank for a small part of the capacity.
	rankUrgent
	rankLasting
	rankUrgentLate // rankUrgentLate is urgent work that will probably miss its objective.
	rankNormal
	rankExcess    // rankExcess is work beyond its team's share.
	rankAbandoned // rankAbandoned is work so late that its caller no longer waits for it; it still runs.
	rankDeferred  // rankDeferred is work that must not start yet.
)

// A phase counts as able to meet its objective if its remaining chain of estimates, multiplied by
// one of these factors, fits into the time left. Estimates and workers are off by a fifth in
// either direction. In an overload, the phases that are served are those that barely meet their
// objective, so work that has not begun needs that much spare time, while work that has begun is
// ranked as late only when it can hardly meet its objective any more.
const (
	newChainFactor   = 1.2
	begunChainFactor = 0.8
)

func (p *Planner) rank(s *phase, now time.Time) rank {
	if p.sharesBind(s) {
		return p.fairRank(s)
	}
	return p.slackRank(s, now)
}

// slackRank ranks a phase by its slack.
func (p *Planner) slackRank(s *phase, now time.Time) rank {
	j := s.job
	objective := s.objective()
	left := objective.Sub(now).Seconds()
	slack := left - s.remainingPath.Seconds()
	deadline := s.callerDeadline(objective)
	switch {
	case s.spec.Lasting:
		return rank{class: rankLasting, key: j.rec.Accepted.Sub(now).Seconds()}
	case p.Policy.LateLast && now.After(deadline):
		return rank{class: rankAbandoned, key: slack}
	case j.excess:
		return rank{class: rankExcess, key: slack}
	case p.Policy.Chance && j.urgent() && left < s.chainFactor()*s.remainingPath.Seconds():
		// In an overload, serving the work closest to its objective first makes all of it late.
		return rank{class: rankUrgentLate, key: slack}
	case j.urgent():
		return rank{class: rankUrgent, key: slack}
	case left < s.remainingPath.Seconds()/2 && p.Policy.LastCall:
		// It can no longer meet its objective, but its caller still waits.
		return rank{class: rankNormal, key: deadline.Sub(now).Seconds() - s.remainingPath.Seconds()}
	case left < s.remainingPath.Seconds()/2:
		return rank{class: rankNormal, key: 1e4 + slack}
	}
	return rank{class: rankNormal, key: slack}
}

// callerDeadline returns when the caller stops waiting for the job, given the objective of the
// phase.
func (s *phase) callerDeadline(objective time.Time) time.Time {
	begin := s.beginsAt()
	return begin.Add(winch.LateFactor * objective.Sub(begin))
}

// chainFactor returns the factor by which the phase's remaining chain is multiplied.
func (s *phase) chainFactor() float64 {
	if s.job.begun {
		return begunChainFactor
	}
	return newChainFactor
}

// maxExamined bounds the number of workers that one Schedule examines for waiting phases, so that a
// decision takes a few milliseconds however many phases wait. The next Schedule resumes where the
// last one stopped: one resumeDivisor-th of the limits is reserved for the phases from there on.
const (
	maxExamined   = 100_000
	resumeDivisor = 8
	// maxStarts bounds the runs that one Schedule starts. The planner sends its standby nothing while it
	// decides and sends the starts, and is replaced if that takes long. A gang of up to maxStarts members
	// is started as a whole, wider ones like other phases.
	maxStarts = 512
	// phaseDivisor: after the phase at which the last Schedule stopped, one phase gets at most this part
	// of the starts that are left, so that several wide phases do not keep small ones behind them waiting.
	phaseDivisor = 4
)

// budget bounds what one Schedule does.
type budget struct {
	examined, starts int
}

// spent reports whether Schedule has used up a budget.
func (p *Planner) spent(b budget) bool {
	return p.examined >= b.examined || p.starts >= b.starts
}

// waitingPhase is a phase that may have tasks to start, with its rank as of the last Schedule.
type waitingPhase struct {
	phase *phase
	rank  rank
}

// Schedule starts all tasks that can start. It is called after events, at most every few
// milliseconds.
func (p *Planner) Schedule() {
	now := p.now()
	adopting := p.Adopting()
	p.clearReservations()
	p.refreshSpeeds(now)
	p.chargeUnreported(now)
	p.plannedPhases, p.searchedPhases, p.examined, p.starts, p.unfinished, p.initialQuota = 0, 0, 0, 0, false, p.Quota
	p.stopEnded()
	p.endLongProbes(now)
	p.endCarried(now)
	p.refreshEvictions(now)
	p.measure(now, adopting)
	p.startReady(now)
	if !adopting && p.LeaseExpiry.IsZero() {
		p.evictForUrgent(now)
	}
	if p.Policy.Moves && !adopting && p.LeaseExpiry.IsZero() {
		p.moveLasting(now)
	}
	p.requestForStarving(now)
	p.copyStragglers(now, adopting)
	if p.Policy.Ahead && !adopting {
		p.requestAhead(now)
	}
	p.counts.Examined += int64(p.examined)
}

// startReady starts tasks of the ready phases in order of rank. For those that cannot start yet it
// requests advice and reserves capacity.
func (p *Planner) startReady(now time.Time) {
	resume := p.resumeAt
	p.resumeAt = nil
	limit := budget{maxExamined - maxExamined/resumeDivisor, maxStarts - maxStarts/resumeDivisor}
	resumed := false
	for _, e := range p.ready {
		if e.rank.class == rankDeferred {
			break
		}
		if e.phase == resume {
			limit, resume, resumed = budget{maxExamined, maxStarts}, nil, true
		}
		if p.spent(limit) {
			p.unfinished = p.unfinished || p.starts >= limit.starts
			if resume == nil {
				p.resumeAt = e.phase
				break
			}
			if p.resumeAt == nil {
				p.resumeAt = e.phase
			}
			continue // Skip to the phase at which the last Schedule stopped.
		}
		if p.failExhausted(e.phase) {
			continue
		}
		p.startLimit = limit.starts
		if resumed {
			p.startLimit = p.starts + max(1, (limit.starts-p.starts)/phaseDivisor)
		}
		p.placePhase(e.phase, now)
		p.reserve(e.phase, now, e.rank)
		p.requestAdvice(e.phase, now, e.rank, 0)
		e.phase.accountWait(now, p.waitReason(e.phase))
	}
}

// sortReady sorts the ready phases by rank, drops those that are no longer ready, and adds waiting
// tasks to the demand of urgent work.
func (p *Planner) sortReady(now time.Time, adopting bool) {
	kept := 0
	for i := 0; i < len(p.ready); i++ { // Other phases of a job may take the place of one that is dropped.
		e := p.ready[i]
		if !p.updateReady(&e, now, adopting) {
			e.phase.dequeue()
			e.phase.job.enqueueNext()
			continue
		}
		p.ready[kept] = e
		kept++
	}
	clear(p.ready[kept:])
	p.ready = p.ready[:kept]
	p.rankReady(now)
	slices.SortFunc(p.ready, compareWaitingPhases)
}

// updateReady determines whether a phase of the ready list is to be ranked or deferred, and reports whether it stays in
// the list.
func (p *Planner) updateReady(e *waitingPhase, now time.Time, adopting bool) bool {
	s := e.phase
	if !s.ready() {
		e.rank = rank{class: rankDeferred} // It may not be due yet.
		return s.waiting > 0 && s.dependenciesDone() && !s.job.cancelled && !s.job.state.Final()
	}
	blocked := s.blockedReason()
	if s.readySince.IsZero() {
		s.readySince = now
		if blocked == 0 {
			p.noteArrival(s, now)
			p.countArrival(s, now)
		}
	}
	if reason := cmp.Or(p.deferReason(s.job, adopting), blocked); reason != 0 {
		s.accountWait(now, reason)
		e.rank = rank{class: rankDeferred}
		return true
	}
	p.countWaiting(s)
	e.rank = rank{}
	return true
}

func compareWaitingPhases(a, b waitingPhase) int {
	if a.rank.class != b.rank.class {
		return cmp.Compare(a.rank.class, b.rank.class)
	}
	if a.rank.group != b.rank.group {
		return cmp.Compare(a.rank.group, b.rank.group)
	}
	if a.rank.key != b.rank.key {
		return cmp.Compare(a.rank.key, b.rank.key)
	}
	return cmp.Or(cmp.Compare(a.phase.job.rec.ID, b.phase.job.rec.ID), cmp.Compare(a.phase.index, b.phase.index), cmp.Compare(a.phase.repetition, b.phase.repetition))
}

func (p *Planner) placePhase(s *phase, now time.Time) {
	if s.spec.Gang {
		p.placeGang(s, now)
		return
	}
	if p.cannotStart(s) || s.job.suspects != nil && p.probeSuspects(s, now) {
		return
	}
	var pick *picker
	for t := range s.startOrder() {
		if p.startsSpent() {
			return
		}
		if t.suspicion().suspected() {
			continue
		}
		if pick == nil {
			pick = p.newPicker(s, now)
		}
		if !p.placeTask(t, pick, 0, t.checkpoint) {
			return
		}
	}
}

// startsSpent reports whether the phase that is being placed must leave its other tasks to the next
// Schedule.
func (p *Planner) startsSpent() bool {
	if p.starts < p.startLimit {
		return false
	}
	p.unfinished = true
	return true
}

// Unfinished reports whether the last Schedule has left tasks that it could have started, or runs that it should
// have stopped, as there were many.
func (p *Planner) Unfinished() bool { return p.unfinished }

// cannotStart reports whether it is known without examining workers that no task of the phase can
// start now.
func (p *Planner) cannotStart(s *phase) bool {
	return !s.job.team.allows(s.spec.Need) || !p.sparesUrgent(s) || !s.spec.Charge().Fits(p.pool(s.job.queue.Service).maxFree)
}

// allows reports whether the team's limit allows it more running work.
func (t *team) allows(more winch.Capacity) bool {
	after := t.used.Add(t.unreported).Add(more)
	limit := t.Cap
	return (limit.Milli == 0 || after.Milli <= limit.Milli) &&
		(limit.Memory == 0 || after.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || after.Accelerators <= limit.Accelerators)
}

// placeTask starts a task at the picker's best worker and reports whether there was one.
func (p *Planner) placeTask(t *task, pick *picker, number uint64, checkpoint string) bool {
	s := t.phase
	if !s.job.team.allows(s.spec.Need) || !p.sparesUrgent(s) {
		return false
	}
	i := pick.best(t.avoidWorker)
	if i < 0 {
		p.recordMiss(s)
		return false
	}
	if pick.awaitsFaster(pick.choices[i].w) {
		return false
	}
	if number == 0 {
		number = p.nextRunNumber()
	}
	p.start(t, pick.choices[i].w, number, checkpoint)
	pick.assigned(i)
	return true
}

// start orders the start of a task at a worker and returns the run.
func (p *Planner) start(t *task, w *worker, number uint64, checkpoint string) *run {
	p.starts++
	w.claimHeld(t.phase)
	r := p.addRun(w, t, t.id(), number)
	x := p.pool(t.phase.job.queue.Service)
	x.free = x.free.Sub(r.charge)
	p.orderStarted(t.phase)
	if checkpoint != "" {
		r.startPercent = t.checkpointPercent
	}
	t.phase.job.begun = true
	p.orders = append(p.orders, proto.Order{
		Kind: proto.OrderStart, Worker: w.vm.ID, Task: t.id(), Run: number,
		Checkpoint: checkpoint, Ticket: t.phase.advice.permitFor(w).ticket,
	})
	return r
}

// suits reports whether a worker may be given work and is of the kind that the phase needs.
func (p *Planner) suits(s *phase, w *worker, now time.Time) bool {
	return p.usableFor(s, w, now) && w.acceptsBesideProbe(s)
}

// usableFor is suits regardless of probes.
func (*Planner) usableFor(s *phase, w *worker, now time.Time) bool {
	return w.usable() && !w.health.quarantined(now) && s.ofKind(w)
}

// ofKind reports whether a worker has the service and the label that the phase needs.
func (s *phase) ofKind(w *worker) bool {
	return w.vm.Service == s.job.queue.Service && (s.spec.Label == "" || slices.Contains(w.vm.Labels, s.spec.Label))
}

// Penalties in a worker's score, in units of the worker's share of free processors (0 to 1).
const (
	// retryPenalty keeps a task away from the worker at which it last failed, if there is another.
	retryPenalty = 2.0
	// remotePenalty keeps a task near its data: elsewhere it takes several times as long.
	remotePenalty = 4.0
	// awayPenalty keeps a task in its job's home domain while that has capacity: shares of free
	// processors differ by less.
	awayPenalty = 1.0
	// coldPenalty keeps a task off a worker that is slow for all of the task's run time while
	// another has capacity, also outside the home domain.
	coldPenalty = 2.0
	// interferencePenalty keeps filling tasks off workers with tasks that have a latency target
	// and vice versa, because they slow each other down.
	interferencePenalty = 3.0
)

// score rates a worker for a task; the highest is best.
func (p *Planner) score(s *phase, w *worker, capacity winch.Capacity) float64 {
	free := float64(capacity.Milli)
	if s.spec.Fills {
		free -= float64(w.fillingMilli)
	}
	score := free / float64(max(1, w.vm.Room.Milli))
	if p.Policy.PackAccelerators && s.spec.Need.Accelerators > 0 {
		score = -float64(capacity.Accelerators) / float64(max(1, w.vm.Room.Accelerators))
	}
	if s.spec.Rack != "" && s.spec.Rack != w.vm.Rack {
		score -= remotePenalty
	}
	if home := p.homeDomain(s); home != "" && home != w.vm.Domain {
		score -= awayPenalty
	}
	score -= coldPenalty * w.coldShare(s)
	if s.spec.SameRack && s.usesOtherRack(w.vm.Rack) {
		score -= remotePenalty
	}
	if s.toleratedFactor > 0 {
		score += p.speedScore(s, w)
	}
	if s.spec.Fills && w.serving > 0 || s.spec.Target > 0 && w.fillingMilli > 0 {
		score -= interferencePenalty
	}
	return score
}

// usesOtherRack reports whether a task of the phase runs on a rack other than the given one.
func (s *phase) usesOtherRack(rack string) bool {
	return len(s.racks) > 1 || len(s.racks) == 1 && s.racks[rack] == 0
}
