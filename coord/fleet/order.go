package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/coord/order"
	"plantainwinch/winch"
)

const (
	// shareInterval is the interval at which the usage of teams is measured.
	shareInterval = 100 * time.Millisecond
	// rankInterval is the interval at which ranks are computed again, all for the same time so that
	// they are comparable. forecastTTL is how long expected run times and remaining work are reused.
	rankInterval = 25 * time.Millisecond
	forecastTTL  = 250 * time.Millisecond
	// promotedTurn is how long a phase goes ahead of its rank without being started, before the next
	// one gets a turn: it may wait for a worker that is not there.
	promotedTurn = 5 * time.Second
)

// orderState is what the planner knows of shares. A new planner starts without it.
type orderState struct {
	teams      []*team // teams holds all teams by name.
	measuredAt time.Time
	rankedAt   time.Time
	capacity   winch.Capacity // capacity is that of all services.
	full       time.Duration  // full is how long shares were binding in any service.
	scheduled  time.Time
	wasFull    bool
}

// teamOrder is a team's use of its share.
type teamOrder struct {
	usage    order.Usage
	running  winch.Capacity // running is what the team's runs occupy.
	waiting  winch.Capacity
	standing order.Standing
}

// queueOrder is what is learned of a queue's jobs.
type queueOrder struct {
	pool     *pool
	service  string // service is that of the pool.
	runTimes order.RunTimes
	sizes    order.Sizes
}

// jobOrder is a job's size within its queue.
type jobOrder struct{ size order.Size }

// poolOrder says whether shares bind in a service, and which phases go ahead of their rank.
type poolOrder struct {
	waiting  winch.Capacity // waiting is the capacity that waiting work could use.
	full     bool
	promoted [promotions]promotion
}

// Reasons for which a phase goes ahead of its rank: it has waited too long, or must start now to end
// while its caller waits.
const (
	promotedAged = iota
	promotedLate
	promotions
)

// promotion is a part of a service's capacity and the phase that may use it next.
type promotion struct {
	allowance order.Allowance
	phase     *phase
}

// phaseOrder is the cached forecast and rank of a phase.
type phaseOrder struct {
	work       order.Work
	forecastAt time.Time
	rank       rank
	rankedAt   time.Time
	begun      bool
	// runTime is the mean run time of samples tasks on a usual worker.
	runTime time.Duration
	samples int
	// promotedAt is when the phase last got its turn to go ahead of its rank or was started in it,
	// turnEnded when it last lost it without a start.
	promotedAt, turnEnded time.Time
}

// poolOf returns the pool of the queue's service.
func (p *Planner) poolOf(q *queue) *pool {
	if q.order.pool == nil || q.order.service != q.Service {
		q.order.pool, q.order.service = p.pool(q.Service), q.Service
	}
	return q.order.pool
}

// sharesBind reports whether the order of shares applies to a phase. It does while its service is
// full. Lasting and filling work have their own rules.
func (p *Planner) sharesBind(s *phase) bool {
	return p.Policy.FairShares && !s.spec.Lasting && !s.spec.Fills && p.poolOf(s.job.queue).order.full
}

// rankReady ranks the ready phases that are not deferred.
func (p *Planner) rankReady(now time.Time) {
	if p.Policy.FairShares {
		p.findFull(now)
		p.measureShares(now)
		if now.Sub(p.order.rankedAt) >= rankInterval || now.Before(p.order.rankedAt) {
			p.order.rankedAt = now
			p.choosePromoted(now)
		}
	}
	for i := range p.ready {
		if e := &p.ready[i]; e.rank.class != rankDeferred {
			e.rank = e.phase.returning(p.rank(e.phase, now))
		}
	}
}

// findFull determines which services are full: work waits that does not fit into what is free.
func (p *Planner) findFull(now time.Time) {
	for _, x := range p.pools {
		x.order.waiting, x.order.full = winch.Capacity{}, false
	}
	full := false
	for i := range p.ready {
		s := p.ready[i].phase
		if p.ready[i].rank.class == rankDeferred || s.spec.Lasting || s.spec.Fills || !s.job.team.allows(s.spec.Need) {
			continue
		}
		x := p.poolOf(s.job.queue)
		startable := s.startableNow()
		if x.order.full || startable == 0 {
			continue
		}
		x.order.waiting = x.order.waiting.Add(s.spec.Need.Times(startable))
		x.order.full = !s.spec.Need.Fits(x.maxFree) || !x.order.waiting.Fits(x.free)
		full = full || x.order.full
	}
	if p.order.wasFull && !p.order.scheduled.IsZero() {
		p.order.full += now.Sub(p.order.scheduled)
	}
	p.order.wasFull, p.order.scheduled = full, now
}

// fairRank ranks a phase while shares bind.
func (p *Planner) fairRank(s *phase) rank {
	o := &s.order
	if p.poolOf(s.job.queue).promotionOf(s) != nil {
		return rank{class: rankPromoted}
	}
	if !o.rankedAt.Equal(p.order.rankedAt) || o.begun != s.job.begun {
		p.updateFairRank(s, p.order.rankedAt)
	}
	return o.rank
}

// updateFairRank computes the rank of a phase as of the given time.
func (p *Planner) updateFairRank(s *phase, now time.Time) {
	j, o := s.job, &s.order
	p.forecast(s, now)
	o.begun, o.rankedAt = j.begun, now
	w := &o.work
	w.Begun, w.Whole, w.Team = j.begun, s.spec.Gang, j.team.order.standing
	w.Underserved = p.Policy.Order == winch.OrderMixed && j.queue.order.sizes.Underserved(j.order.size)
	group, class := w.Group(now), rankNormal
	switch {
	case p.Policy.LateLast && now.After(w.Deadline):
		class = rankAbandoned
	case j.excess:
		class = rankExcess
	case j.urgent() && p.Policy.Chance && !w.OnTime(now):
		class = rankUrgentLate
	case j.urgent():
		class = rankUrgent
	}
	o.rank = rank{class: class, group: group, key: w.Key(p.Policy.Order, now)}
}

// forecast updates what is expected of the rest of a phase's repetition.
func (p *Planner) forecast(s *phase, now time.Time) {
	o, j := &s.order, s.job
	if !o.forecastAt.IsZero() && now.Sub(o.forecastAt) < forecastTTL {
		return
	}
	o.forecastAt = now
	first := s.repetition * len(j.rec.Phases)
	phases := j.phases[first : first+len(j.rec.Phases)]
	path := make([]time.Duration, len(phases))
	longest, remaining := time.Duration(0), 0.0
	for i, x := range slices.Backward(phases) {
		runTime := x.expectedRunTime()
		path[i] += runTime + j.queue.adviceTime()
		longest = max(longest, path[i])
		for _, a := range x.spec.After {
			path[a] = max(path[a], path[i])
		}
		remaining += (float64(x.waiting) + float64(x.live)/2) * processorSeconds(x.spec, runTime)
	}
	begin := s.beginsAt()
	allowed := j.allowedTime(longest)
	o.work.Accepted, o.work.Objective, o.work.Deadline = begin, begin.Add(allowed), begin.Add(winch.LateFactor*allowed)
	o.work.Path, o.work.Unawaited = path[s.index], !p.Policy.LastCall
	o.work.Remaining = 1
	if mean := j.queue.order.sizes.Mean(); mean > 0 {
		o.work.Remaining = remaining / mean
	}
}

// processorSeconds returns the work of one task.
func processorSeconds(spec *winch.Phase, runTime time.Duration) float64 {
	return float64(spec.Need.Milli) / 1000 * runTime.Seconds()
}

// expectedRunTime returns the expected run time of the phase's tasks on a usual worker: by those that
// have ended, otherwise by what the queue's tasks take relative to their estimates.
func (s *phase) expectedRunTime() time.Duration {
	if s.order.samples > 0 {
		return s.order.runTime
	}
	return s.job.queue.order.runTimes.Expected(s.spec.Estimate)
}

// learnRunTime learns from a run that has ended successfully. Runs that resumed from a checkpoint or
// began under an earlier planner tell nothing about the whole run time.
func (p *Planner) learnRunTime(r *run) {
	if r == nil || !r.started || r.adopted || !r.baseAt.Equal(r.since) {
		return
	}
	s := r.task.phase
	took := time.Duration(float64(p.now().Sub(r.since)) / p.factor(r.worker))
	s.order.samples++
	s.order.runTime += (took - s.order.runTime) / time.Duration(s.order.samples)
	s.order.forecastAt = time.Time{}
	if s.job.queue != nil {
		s.job.queue.order.runTimes.Add(s.spec.Estimate, took, 1/float64(len(s.tasks)))
	}
}

// orderAdded counts a new job by its size.
func (p *Planner) orderAdded(j *job) {
	if j.queue == nil || j.state.Final() {
		return
	}
	work := 0.0
	for _, s := range j.phases {
		if s.spec.Lasting || s.spec.Fills {
			return
		}
		work += float64(len(s.tasks)) * processorSeconds(s.spec, s.expectedRunTime())
	}
	j.order.size = j.queue.order.sizes.Arrived(work / float64(max(1, j.rec.Times)))
}

// orderStarted notes that a task of a phase is being started.
func (p *Planner) orderStarted(s *phase) {
	x := p.poolOf(s.job.queue)
	if c := x.promotionOf(s); c != nil {
		c.allowance.Spend(order.Dominant(s.spec.Need, x.capacity), s.expectedRunTime())
		s.order.promotedAt = p.now()
		if s.waiting == 0 || !c.allowance.Available() {
			c.phase = nil
		}
	}
	if !s.job.begun && (!x.order.full || s.order.work.OnTime(p.now())) {
		s.job.queue.order.sizes.Begun(s.job.order.size)
	}
}

// promotionOf returns the promotion that the phase has, or nil.
func (x *pool) promotionOf(s *phase) *promotion {
	for i := range x.order.promoted {
		if x.order.promoted[i].phase == s {
			return &x.order.promoted[i]
		}
	}
	return nil
}

// choosePromoted chooses the phases of each full service that go ahead of their rank.
func (p *Planner) choosePromoted(now time.Time) {
	for _, x := range p.pools {
		x.order.promoted[promotedAged].allowance.Share = order.AgedShare
		x.order.promoted[promotedLate].allowance.Share = order.LateShare
		for i := range x.order.promoted {
			c := &x.order.promoted[i]
			c.allowance.Update(now)
			if s := c.phase; s != nil && now.Sub(s.order.promotedAt) > promotedTurn {
				s.order.turnEnded = now
			}
			c.phase = nil
		}
	}
	for i := range p.ready {
		s := p.ready[i].phase
		if p.ready[i].rank.class == rankDeferred || !p.sharesBind(s) || !s.job.team.allows(s.spec.Need) {
			continue
		}
		p.forecast(s, now)
		w := &s.order.work
		c := &p.poolOf(s.job.queue).order.promoted[promotedAged]
		if now.Sub(w.Accepted) < order.AgeFactor*w.Objective.Sub(w.Accepted) {
			c = &p.poolOf(s.job.queue).order.promoted[promotedLate]
			if s.job.excess || s.job.inUrgentQueue() || !w.LastCall(now) {
				continue
			}
		}
		if c.allowance.Available() && (c.phase == nil || s.promotedBefore(c.phase)) {
			c.phase = s
		}
	}
	for _, x := range p.pools {
		for i := range x.order.promoted {
			if s := x.order.promoted[i].phase; s != nil && (s.order.promotedAt.IsZero() || !s.order.promotedAt.After(s.order.turnEnded)) {
				s.order.promotedAt = now
			}
		}
	}
}

// promotedBefore reports whether the phase is promoted before another for the same reason.
func (s *phase) promotedBefore(other *phase) bool {
	a, b := later(s.order.work.Accepted, s.order.turnEnded), later(other.order.work.Accepted, other.order.turnEnded)
	if !a.Equal(b) {
		return a.Before(b)
	}
	return cmp.Or(cmp.Compare(s.job.rec.ID, other.job.rec.ID), cmp.Compare(s.index, other.index), cmp.Compare(s.repetition, other.repetition)) < 0
}

// waitsForShare reports whether other teams go before a waiting phase because its team uses more than
// its share.
func (p *Planner) waitsForShare(s *phase) bool {
	return p.sharesBind(s) && s.order.rank.group.AboveShare()
}

// The rank of an advice request consists of the class, the group and the key, which is bounded.
const (
	requestClassSpan = 1e6
	requestGroupSpan = 5e4
	maxRequestKey    = 2e4
)

// requestRank returns the rank of an advice request about a phase of this rank.
func (r rank) requestRank() float64 {
	if r.group == 0 {
		return requestClassSpan*float64(r.class) + r.key
	}
	return requestClassSpan*float64(r.class) + requestGroupSpan*float64(r.group) + min(maxRequestKey, max(-maxRequestKey, r.key))
}
