package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// initialAllowedShare is the share of workers assumed to be allowed before a queue's first
	// response from the advice service.
	initialAllowedShare = 0.4
	// allowedShareWeight is the weight of one response in a queue's moving average of the share of
	// workers allowed.
	allowedShareWeight = 0.2
	// turnaroundWeight is the weight of one response in a queue's moving average of the
	// turnaround.
	turnaroundWeight = 0.2
	// minRequestWorkers and maxRequestWorkers bound the number of workers in one request; the
	// service takes at most 100.
	minRequestWorkers = 8
	maxRequestWorkers = 100
	// capacityFactor is the ratio of the capacity that a request covers to the capacity that the
	// phase needs, since other work takes some of it before the response arrives.
	capacityFactor = 2.0
	// objectiveWorkers is the number of workers in the advice request whose time is included in a
	// job's objective.
	objectiveWorkers = 30
	// adviceRetryDelay is the time after which a failed request is retried.
	adviceRetryDelay = 100 * time.Millisecond
	// starvationThreshold is the time without a request after which a phase counts as starving. One
	// in starvingDivisor of the requests in the quota is reserved for such phases.
	starvationThreshold = 3 * time.Second
	starvingDivisor     = 8
)

// RequestQuota is the number of requests that may be sent to the advice service now, for urgent
// and for other work.
type RequestQuota struct {
	Urgent, Normal int
}

// unlimitedQuota sets no limit on requests.
var unlimitedQuota = RequestQuota{math.MaxInt, math.MaxInt}

// forPhase returns the quota that a phase's requests count against.
func (q *RequestQuota) forPhase(s *phase) *int {
	if s.job.inUrgentQueue() {
		return &q.Urgent
	}
	return &q.Normal
}

// requestAdvice requests advice on which workers may run a phase, if the workers with free capacity
// and a valid ticket do not suffice for its waiting tasks and the given number of tasks that are to
// move.
func (p *Planner) requestAdvice(s *phase, now time.Time, r rank, moving int) {
	if !p.needsAdvice(s, now, moving) {
		return
	}
	if left := *p.Quota.forPhase(s); left > p.starvingQuota(s) || moving > 0 && left > 0 {
		p.enqueueRequest(s, now, r, moving)
	} else if now.Sub(later(s.readySince, s.advice.requested)) > starvationThreshold {
		p.starving = append(p.starving, waitingPhase{s, r})
	}
}

// needsAdvice reports whether a request about a phase is due.
func (p *Planner) needsAdvice(s *phase, now time.Time, moving int) bool {
	if s.job.queue.Advice == nil || s.waiting+moving == 0 || s.advice.pending || now.Before(s.advice.retryAt) {
		return false
	}
	// Tasks that move are charged to their team already.
	return (moving > 0 || s.job.team.allows(s.spec.Need)) && p.sparesUrgent(s)
}

// starvingQuota returns how much of the quota is reserved for starving phases.
func (p *Planner) starvingQuota(s *phase) int {
	if *p.initialQuota.forPhase(s) == math.MaxInt {
		return 0
	}
	return *p.initialQuota.forPhase(s) / starvingDivisor
}

// requestForStarving enqueues requests about starving phases, the longest waiting first. With few
// lanes, ordering by rank alone would never reach those that rank last.
func (p *Planner) requestForStarving(now time.Time) {
	slices.SortFunc(p.starving, func(a, b waitingPhase) int {
		return cmp.Or(later(a.phase.readySince, a.phase.advice.requested).Compare(later(b.phase.readySince, b.phase.advice.requested)), compareWaitingPhases(a, b))
	})
	for _, e := range p.starving {
		if *p.Quota.forPhase(e.phase) > 0 {
			p.enqueueRequest(e.phase, now, e.rank, 0)
		}
	}
	clear(p.starving)
	p.starving = p.starving[:0]
}

// enqueueRequest enqueues a request about a phase, unless the workers with free capacity and valid
// tickets suffice.
func (p *Planner) enqueueRequest(s *phase, now time.Time, r rank, moving int) {
	cost := s.job.queue.Advice
	wanted := s.waiting + moving
	covered := p.ticketedTasks(s, now) + p.freeingTicketed(s)
	if covered >= wanted {
		return
	}
	ids := p.workersToRequest(s, now, wanted-covered)
	if len(ids) == 0 {
		return
	}
	*p.Quota.forPhase(s)--
	s.advice.pending, s.advice.requested = true, now
	p.counts.AdviceRequests++
	p.adviceRequests = append(p.adviceRequests, AdviceRequest{
		Phase: s.id(), Workers: ids, Urgent: s.job.inUrgentQueue(), Rank: r.requestRank(),
		Cost: cost.Call + time.Duration(len(ids))*cost.Worker, Created: now,
	})
}

// ticketedTasks counts the tasks that fit into workers with valid tickets.
func (p *Planner) ticketedTasks(s *phase, now time.Time) int {
	n := 0
	if !s.spec.Charge().Fits(p.pool(s.job.queue.Service).maxFree) {
		return 0
	}
	counts := s.runsPerWorker()
	p.eachEligible(s, now, func(w *worker) {
		n += s.fitInto(p.availableCapacity(s, w, now), remainingPerVM(s.spec.MostPerVM, counts[w]))
	})
	return n
}

// fitInto returns how many tasks of a phase fit into the given capacity, at most limit.
func (s *phase) fitInto(capacity winch.Capacity, limit int) int {
	charge := s.spec.Charge()
	n := min(len(s.tasks), limit)
	if charge.Milli > 0 {
		n = min(n, int(capacity.Milli/charge.Milli))
	}
	if charge.Memory > 0 {
		n = min(n, int(capacity.Memory/charge.Memory))
	}
	if charge.Accelerators > 0 {
		n = min(n, capacity.Accelerators/charge.Accelerators)
	}
	return max(0, n)
}

// candidate is a worker that a request may name.
type candidate struct {
	w       *worker
	slots   int
	allowed bool // allowed is set if the phase is known to be allowed there and only needs a ticket.
	score   float64
}

// workersToRequest chooses the workers to name in a request for the given number of tasks: those
// with free capacity and, where the phase is known to be allowed, those expected to have some when
// the response arrives, as many as probably suffice. A phase's first request names further workers
// until they cost as much as the request itself.
func (p *Planner) workersToRequest(s *phase, now time.Time, wanted int) []string {
	first := p.Policy.AskAll && s.advice.requested.IsZero()
	full := !s.spec.Charge().Fits(p.pool(s.job.queue.Service).maxFree)
	if full && len(s.slots) == 0 && !first && p.freeingTasks(s) == 0 {
		return nil
	}
	candidates := p.candidates(s, now, first)
	var out []string
	covered := 0.0
	need := capacityFactor * float64(wanted)
	for _, c := range candidates {
		if c.slots == 0 || len(out) == maxRequestWorkers || len(out) >= minRequestWorkers && covered >= need {
			break
		}
		out = append(out, c.w.vm.ID)
		if c.allowed {
			covered += float64(c.slots)
		} else {
			covered += float64(c.slots) * max(0.1, s.job.queue.allowedShare)
		}
	}
	if first {
		for _, c := range candidates[len(out):] {
			if len(out) >= maxRequestWorkers || time.Duration(len(out))*s.job.queue.Advice.Worker >= s.job.queue.Advice.Call {
				break
			}
			out = append(out, c.w.vm.ID)
		}
	}
	return out
}

// Marks that the last call of markByAdvice has put on workers.
const (
	markDenied = iota + 1
	markTicketed
	markAllowed
)

// markByAdvice marks the workers that the advice service is known to allow or to deny.
func (p *Planner) markByAdvice(s *phase, now time.Time) {
	p.markRound++
	mark := func(w *worker, value int) { w.markedRound, w.markedAs = p.markRound, value }
	for _, w := range s.advice.denied {
		mark(w, markDenied)
	}
	for i := range s.advice.allowed {
		t := &s.advice.allowed[i]
		if t.valid(now) && !s.ticketExpiresFirst(t.worker, *t) {
			mark(t.worker, markTicketed)
		} else {
			mark(t.worker, markAllowed)
		}
	}
}

// candidates returns the workers that a request may name, the best first: those with free capacity
// and, if all is set, those without.
func (p *Planner) candidates(s *phase, now time.Time, all bool) []candidate {
	response := now.Add(s.job.queue.turnaround)
	p.markByAdvice(s, now)
	counts := s.runsPerWorker()
	s.toleratedFactor = p.toleratedFactor(s, now)
	workers := p.pool(s.job.queue.Service).workers
	p.examined += len(workers)
	out := topK[candidate]{limit: maxRequestWorkers, before: betterCandidate}
	for _, w := range workers {
		mark := 0
		if w.markedRound == p.markRound {
			mark = w.markedAs
		}
		if mark == markDenied || mark == markTicketed || !p.suits(s, w, now) {
			continue
		}
		c := candidate{w: w, allowed: mark == markAllowed, slots: s.fitInto(p.availableCapacity(s, w, now), remainingPerVM(s.spec.MostPerVM, counts[w]))}
		if c.allowed && p.Policy.Reserve && len(s.slots) > 0 {
			c.slots = max(c.slots, s.slotsBy(w, response))
		}
		if c.allowed && len(w.evictions) > 0 {
			n, _ := s.freeingAt(w)
			c.slots = max(c.slots, n)
		}
		if c.slots == 0 && !all {
			continue
		}
		c.score = p.score(s, w, w.free())
		if c.allowed {
			c.score++
		}
		out.add(c)
	}
	return out.values
}

// betterCandidate reports whether a should be named in a request before b.
func betterCandidate(a, b candidate) bool {
	switch {
	case (a.slots > 0) != (b.slots > 0):
		return a.slots > 0
	case a.score != b.score:
		return a.score > b.score
	}
	return a.w.index < b.w.index
}

// ticketExpiresFirst reports whether a slot planned for the phase at a worker, or capacity that is
// being freed for it there, becomes free only after the ticket has expired.
func (s *phase) ticketExpiresFirst(w *worker, t permit) bool {
	if len(w.evictions) > 0 {
		if _, due := s.freeingAt(w); due.After(t.expires.Add(-ticketMargin)) {
			return true
		}
	}
	return slices.ContainsFunc(s.slots, func(x slot) bool { return x.w == w && !t.valid(x.at) })
}

// slotsBy counts the slots planned for the phase at a worker that become free by the given time.
func (s *phase) slotsBy(w *worker, by time.Time) int {
	n := 0
	for _, x := range s.slots {
		if x.w == w && !x.at.After(by) {
			n++
		}
	}
	return n
}

// AdviceReceived handles the response to an advice request: the tickets, how long they are valid,
// and when the request was sent. If valid is zero, the validity configured for the queue applies.
func (p *Planner) AdviceReceived(a AdviceRequest, tickets []winch.Ticket, valid time.Duration, requested time.Time) {
	s := p.takeRequest(a)
	if s == nil {
		return
	}
	if s.job.queue != nil && valid == 0 && s.job.queue.Advice != nil {
		valid = s.job.queue.Advice.Valid
	}
	p.markByAdvice(s, p.now())
	const markNamed = -1
	answered, allowed := 0, 0
	var named []*worker
	for _, id := range a.Workers {
		w := p.workers[id]
		if w == nil {
			continue
		}
		if w.markedRound != p.markRound || w.markedAs == markDenied {
			w.markedRound, w.markedAs = p.markRound, markNamed
			named = append(named, w)
		}
	}
	answered = len(named)
	for _, t := range tickets {
		w := p.workers[t.Worker]
		if w == nil {
			continue
		}
		if w.markedRound == p.markRound && w.markedAs == markNamed {
			allowed++
			w.markedAs = markAllowed
		}
		s.advice.addPermit(permit{w, t.Value, requested.Add(valid)})
	}
	for _, w := range named {
		if w.markedAs == markNamed && !s.advice.isDenied(w) {
			s.advice.denied = append(s.advice.denied, w)
		}
	}
	if q := s.job.queue; q != nil {
		q.turnaround += time.Duration(turnaroundWeight * float64(p.now().Sub(a.Created)-q.turnaround))
	}
	if answered > 0 && s.job.queue != nil {
		q := s.job.queue
		q.allowedShare += allowedShareWeight * (float64(allowed)/float64(answered) - q.allowedShare)
	}
}

// AdviceFailed schedules a retry of a request that failed.
func (p *Planner) AdviceFailed(a AdviceRequest) {
	if s := p.takeRequest(a); s != nil {
		s.advice.retryAt = p.now().Add(adviceRetryDelay)
	}
}

// takeRequest returns the phase that a request is about, if it still exists, and marks the request
// as no longer pending.
func (p *Planner) takeRequest(a AdviceRequest) *phase {
	j := p.jobs[a.Phase.Job]
	if j == nil {
		return nil
	}
	s := j.phase(a.Phase.K, a.Phase.Phase)
	if s != nil {
		s.advice.pending = false
	}
	return s
}
