package place

import (
	"container/heap"
	"math"
	"time"

	"plantainwinch/winch"
)

// Plan makes about maxDecisions decisions and commits them; a gang or the evictions for
// one task may exceed that number. The start that an eviction frees capacity for is
// decided later, once the capacity is free.
func (p *Planner) Plan(now time.Time, maxDecisions int) []Decision {
	p.endQuarantines(now)
	p.requeueDelayed(now)
	r := &round{planner: p, now: now, atLimit: make(map[string]bool)}
	r.collectShapes()
	for len(r.out) < maxDecisions {
		s := r.next()
		if s == nil {
			break
		}
		if r.start(s.jobs[0], s) && len(s.jobs) > 0 {
			r.push(s)
		}
	}
	p.queue.removeEmpty()
	return r.out
}

// round is the state of one call to Plan.
type round struct {
	planner *Planner
	now     time.Time
	out     []Decision
	// ranked is a heap of the shapes to try, atLimit the teams whose limit is reached.
	ranked  []rankedShape
	atLimit map[string]bool
	// evictions counts the tasks for which this round evicts others.
	evictions int
}

// rankedShape is a shape with the rank that it had when it was pushed.
type rankedShape struct {
	rank  rank
	shape *shape
}

// maxEvictions bounds the tasks for which one round evicts others.
const maxEvictions = 8

// collectShapes collects the shapes to try. A shape that fitted on no worker is skipped
// until capacity has become free: with thousands of waiting jobs, trying all of them in
// every round would take longer than the work itself.
func (r *round) collectShapes() {
	for _, s := range r.planner.queue.order {
		if len(s.jobs) > 0 && s.failedVersion != r.planner.capacityVersion {
			r.push(s)
		}
	}
}

func (r *round) push(s *shape) {
	heap.Push(r, rankedShape{r.planner.rank(s, r.now), s})
}

// Len implements heap.Interface.
func (r *round) Len() int { return len(r.ranked) }

// Less implements heap.Interface.
func (r *round) Less(i, j int) bool { return r.ranked[i].rank.before(r.ranked[j].rank) }

// Swap implements heap.Interface.
func (r *round) Swap(i, j int) { r.ranked[i], r.ranked[j] = r.ranked[j], r.ranked[i] }

// Push implements heap.Interface.
func (r *round) Push(x any) { r.ranked = append(r.ranked, x.(rankedShape)) }

// Pop implements heap.Interface.
func (r *round) Pop() any {
	e := r.ranked[len(r.ranked)-1]
	r.ranked = r.ranked[:len(r.ranked)-1]
	return e
}

// next returns the shape whose first job is tried next: urgent before deferred work,
// then the team with the lowest usage relative to its share, then the earliest latest
// start. With Baseline, the oldest job comes first. Each start lowers the priority of the
// team's other shapes, so a stored rank is recomputed before it is used.
func (r *round) next() *shape {
	for len(r.ranked) > 0 {
		e := heap.Pop(r).(rankedShape)
		if r.atLimit[e.shape.team] || len(e.shape.jobs) == 0 {
			continue
		}
		if current := r.planner.rank(e.shape, r.now); e.rank.before(current) {
			heap.Push(r, rankedShape{current, e.shape})
			continue
		}
		return e.shape
	}
	return nil
}

// rank orders shapes; the lowest rank is served first.
type rank struct {
	tier        int // tier is 0 for urgent and 1 for deferred work.
	usage       float64
	latestStart time.Time
	seq         uint64
}

func (a rank) before(b rank) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.usage != b.usage {
		return a.usage < b.usage
	}
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.seq < b.seq
}

func (p *Planner) rank(s *shape, now time.Time) rank {
	j := s.jobs[0]
	if p.Baseline {
		return rank{seq: j.seq}
	}
	tier := 1
	if s.urgent || !now.Before(j.latestStart.Add(-urgentBefore)) {
		tier = 0
	}
	return rank{tier: tier, usage: p.Usage(s.team), latestStart: j.latestStart, seq: j.seq}
}

// Usage returns a team's dominant fraction of the domain's resources, divided by the
// team's share.
func (p *Planner) Usage(team string) float64 {
	return p.dominantFraction(p.used[team]) / float64(max(1, p.Team(team).Share))
}

// dominantFraction returns the largest of the fractions of the domain's processors,
// memory and accelerators that the resources amount to.
func (p *Planner) dominantFraction(used winch.Resources) float64 {
	fraction := math.Max(ratio(used.Processors, p.size.Processors), ratio(used.Memory, p.size.Memory))
	return math.Max(fraction, ratio(used.Accelerators, p.size.Accelerators))
}

func ratio[T int | winch.Bytes](a, b T) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// start starts the next task of a job, or all tasks of a gang, and reports whether it
// started anything.
func (r *round) start(j *job, s *shape) bool {
	if j.gang() {
		return r.startGang(j, s)
	}
	p := r.planner
	n := p.pick(j, r.now)
	if n == nil {
		r.handleBlocked(j, s)
		return false
	}
	if !p.Limits.TryTake(j.rec.Team, 1) {
		j.waitReason = "team " + j.rec.Team + " is at its upper limit"
		r.atLimit[j.rec.Team] = true
		return false
	}
	i := j.pending[0]
	j.pending = j.pending[1:]
	if len(j.pending) == 0 {
		p.queue.remove(j)
	}
	r.commit(j, i, n)
	return true
}

func (r *round) commit(j *job, i int, n *node) {
	j.starts[i]++
	t := r.planner.commit(j, i, n, r.now)
	t.attempt = int(r.planner.Epoch)<<attemptBits | j.starts[i]
	r.out = append(r.out, Decision{Action: Start, Task: r.planner.task(t), VM: n.vm, Repeatable: j.class.Repeatable})
}

// attemptBits is the number of bits of an attempt number that count the starts of one
// task by one planner. The bits above hold the epoch. Without the epoch, a worker that
// still holds the completion of an earlier planner's first attempt would mistake the
// new planner's first attempt for it, and the task would never run.
const attemptBits = 20

// startGang commits all pending tasks of a gang or none.
func (r *round) startGang(j *job, s *shape) bool {
	p := r.planner
	nodes := p.pickGang(j, r.now)
	if nodes == nil {
		r.handleBlocked(j, s)
		return false
	}
	if !p.Limits.TryTake(j.rec.Team, len(j.pending)) {
		j.waitReason = "team " + j.rec.Team + " has too few units of its upper limit free for the whole gang"
		return false
	}
	pending := j.pending
	p.queue.remove(j)
	j.pending = nil
	for pos, i := range pending {
		r.commit(j, i, nodes[pos])
	}
	if p.reserved != nil && p.reserved.job == j {
		p.dropReservation()
	}
	return true
}

// handleBlocked handles a job that currently fits on no worker. It reserves workers for
// the job if there is no reservation yet, and evicts other tasks if the job is urgent
// and not a gang.
func (r *round) handleBlocked(j *job, s *shape) {
	p := r.planner
	j.waitReason = ""
	if p.Baseline {
		s.failedVersion = p.capacityVersion
		return
	}
	if p.reserved == nil {
		p.reserve(j, r.now)
	}
	if !j.urgent() || j.gang() {
		s.failedVersion = p.capacityVersion
		return
	}
	if r.evictions >= maxEvictions {
		return
	}
	out := p.evict(j, r.now)
	if out == nil {
		s.failedVersion = p.capacityVersion
		return
	}
	r.evictions++
	r.out = append(r.out, out...)
}

// usable reports whether a task of the job may run on the node, apart from its capacity.
func (p *Planner) usable(n *node, j *job, now time.Time) bool {
	if !n.reconciled || !n.vm.AcceptsWork() || now.Before(n.quarantinedUntil) {
		return false
	}
	if j.failedWorkers[n.vm.ID] && len(j.failedWorkers) < len(p.nodes) {
		return false
	}
	r := p.reserved
	return r == nil || r.job == j || !r.nodes[n] || !now.Add(p.forecast(j)).After(r.forecastStart)
}

// pick returns the best worker for one task, or nil.
func (p *Planner) pick(j *job, now time.Time) *node {
	if p.Baseline {
		return p.firstFit(j, now)
	}
	var best *node
	var bestScore float64
	compared := 0
	mostFree := p.Prefer == Waiting && j.rec.Spec.Kind == winch.LongRunning
	p.index.each(j.need, mostFree, func(n *node) bool {
		if !p.usable(n, j, now) {
			return true
		}
		score := p.score(n, j)
		if best == nil || score < bestScore {
			best, bestScore = n, score
		}
		compared++
		return compared < maxCandidates
	})
	return best
}

// firstFit implements the baseline: it returns the first worker by ID with enough free
// capacity, or nil.
func (p *Planner) firstFit(j *job, now time.Time) *node {
	for _, n := range p.sortedNodes() {
		if j.need.Fits(n.free) && p.usable(n, j, now) {
			return n
		}
	}
	return nil
}

// score rates a worker for a task; lower is better. It favours workers whose free
// processors and memory stay in the proportion of the VM, so that neither is stranded,
// and for a long-running job also racks with few of its tasks.
func (p *Planner) score(n *node, j *job) float64 {
	remaining := n.free.Sub(j.need)
	cpu := ratio(remaining.Processors, n.vm.Size.Processors)
	mem := ratio(remaining.Memory, n.vm.Size.Memory)
	score := math.Abs(cpu-mem) + (cpu+mem)/4
	if j.rec.Spec.Kind == winch.LongRunning {
		score += 10 * float64(p.countInRack(j, n.vm.Rack))
	}
	return score
}

func (p *Planner) countInRack(j *job, rack string) (count int) {
	for _, t := range j.running {
		if t.node.vm.Rack == rack {
			count++
		}
	}
	return count
}

// pickGang returns a worker for each pending task of a gang, or nil if they do not all
// fit. It charges the workers while it searches and frees them before it returns.
func (p *Planner) pickGang(j *job, now time.Time) []*node {
	out := make([]*node, 0, len(j.pending))
	for range j.pending {
		n := p.pick(j, now)
		if n == nil {
			break
		}
		p.index.charge(n, j.need)
		out = append(out, n)
	}
	for _, n := range out {
		p.index.charge(n, winch.Resources{}.Sub(j.need))
	}
	if len(out) < len(j.pending) {
		return nil
	}
	return out
}
