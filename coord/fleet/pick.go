package fleet

import (
	"math"
	"time"

	"plantainwinch/winch"
)

// picker chooses workers for tasks of one phase, the best first. It is only valid within one
// Schedule.
type picker struct {
	planner *Planner
	phase   *phase
	charge  winch.Capacity
	now     time.Time
	// faster holds when faster workers than the best choice become free, once searchedFaster is set.
	faster         []time.Time
	searchedFaster bool
	// choices is a heap by score of the workers with free capacity for a task.
	choices []choice
}

// choice is a worker that a task may be started at.
type choice struct {
	w        *worker
	free     winch.Capacity // free is the capacity there that the phase may use.
	maxTasks int            // maxTasks is how many more tasks of the phase may run there.
	score    float64
}

// shape holds what decides whether a worker has capacity for a task, if the task needs no advice.
type shape struct {
	charge   winch.Capacity
	label    string
	estimate time.Duration
}

// covers reports whether the other shape fits no worker if x fits none: its tasks need at least as
// much, on workers with the same label if x has one, and for at least as long.
func (x shape) covers(other shape) bool {
	return x.charge.Fits(other.charge) && (x.label == "" || x.label == other.label) && x.estimate <= other.estimate
}

func (s *phase) shape() shape {
	return shape{s.spec.Charge(), s.spec.Label, s.spec.Estimate}
}

// maxUnconfirmed bounds the starts that are on their way to one worker. It is less than the number that
// keepers queue, as the number beyond that is reported as not started and placed again. A gang is not
// bounded, since its members have to start together.
const maxUnconfirmed = 100

// maxMisses bounds the number of shapes per service that are remembered as fitting no worker.
const maxMisses = 16

// knownMiss reports whether it is known that no worker has capacity for a task of the phase.
func (p *Planner) knownMiss(s *phase) bool {
	if s.job.queue.Advice != nil {
		return false
	}
	want := s.shape()
	for _, x := range p.pool(s.job.queue.Service).misses {
		if x.covers(want) {
			return true
		}
	}
	return false
}

// recordMiss records until the next Schedule that no worker has capacity for a task of the phase.
func (p *Planner) recordMiss(s *phase) {
	x := p.pool(s.job.queue.Service)
	if s.job.queue.Advice == nil && s.spec.MostPerVM == 0 && len(x.misses) < maxMisses {
		x.misses = append(x.misses, s.shape())
	}
}

func (p *Planner) newPicker(s *phase, now time.Time) *picker {
	k := &picker{planner: p, phase: s, charge: s.spec.Charge(), now: now}
	if p.knownMiss(s) {
		return k
	}
	counts := s.runsPerWorker()
	s.toleratedFactor = p.toleratedFactor(s, now)
	p.eachEligible(s, now, func(w *worker) {
		free := p.availableCapacity(s, w, now)
		maxTasks := remainingPerVM(s.spec.MostPerVM, counts[w])
		if !s.spec.Gang {
			maxTasks = min(maxTasks, maxUnconfirmed-w.unconfirmed)
		}
		if !k.charge.Fits(free) || maxTasks <= 0 {
			return
		}
		k.choices = append(k.choices, choice{w: w, free: free, maxTasks: maxTasks, score: p.score(s, w, free)})
	})
	k.heapify()
	if len(k.choices) == 0 {
		p.recordMiss(s)
	}
	return k
}

// eachEligible calls f for the workers that may run the phase now, regardless of their free
// capacity, in the order of their IDs.
func (p *Planner) eachEligible(s *phase, now time.Time, f func(*worker)) {
	p.eachUsable(s, now, func(w *worker) {
		if w.acceptsBesideProbe(s) {
			f(w)
		}
	})
}

// eachUsable is eachEligible regardless of probes.
func (p *Planner) eachUsable(s *phase, now time.Time, f func(*worker)) {
	if s.job.queue.Advice == nil {
		workers := p.pool(s.job.queue.Service).workers
		p.examined += len(workers)
		for _, w := range workers {
			if p.usableFor(s, w, now) {
				f(w)
			}
		}
		return
	}
	p.examined += len(s.advice.allowed)
	for i := range s.advice.allowed {
		t := &s.advice.allowed[i]
		if t.valid(now) && p.usableFor(s, t.worker, now) {
			f(t.worker)
		}
	}
}

// runsPerWorker returns the number of runs of the phase at each worker, including those being stopped. It
// is nil if the phase has no limit per worker.
func (s *phase) runsPerWorker() map[*worker]int { return s.perWorker }

// best returns the index of the best choice for a task, or -1 if there is none. It skips the
// worker to avoid if another one scores high enough.
func (k *picker) best(avoid string) int {
	n := len(k.choices)
	if n == 0 {
		return -1
	}
	if avoid == "" || k.choices[0].w.vm.ID != avoid || n == 1 {
		return 0
	}
	next := 1
	if n > 2 && k.before(2, 1) {
		next = 2
	}
	if k.choices[next].score >= k.choices[0].score-retryPenalty {
		return next
	}
	return 0
}

// assigned updates the choices after a task has been given to choice i.
func (k *picker) assigned(i int) {
	c := &k.choices[i]
	c.free = c.free.Sub(k.charge)
	c.maxTasks--
	if k.charge.Fits(c.free) && c.maxTasks > 0 {
		c.score = k.planner.score(k.phase, c.w, c.free)
		k.siftDown(i)
		k.siftUp(i)
	} else {
		k.remove(i)
	}
	if k.phase.spec.SameRack {
		for i := range k.choices {
			k.choices[i].score = k.planner.score(k.phase, k.choices[i].w, k.choices[i].free)
		}
		k.heapify()
	}
}

func (k *picker) remove(i int) {
	last := len(k.choices) - 1
	k.choices[i] = k.choices[last]
	k.choices = k.choices[:last]
	if i < last {
		k.siftDown(i)
		k.siftUp(i)
	}
}

// before reports whether choice i is better than choice j.
func (k *picker) before(i, j int) bool {
	a, b := &k.choices[i], &k.choices[j]
	return a.score > b.score || a.score == b.score && a.w.index < b.w.index
}

func (k *picker) heapify() {
	for i := len(k.choices)/2 - 1; i >= 0; i-- {
		k.siftDown(i)
	}
}

func (k *picker) siftUp(i int) {
	for i > 0 && k.before(i, (i-1)/2) {
		k.choices[i], k.choices[(i-1)/2] = k.choices[(i-1)/2], k.choices[i]
		i = (i - 1) / 2
	}
}

func (k *picker) siftDown(i int) {
	for {
		best := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(k.choices); child++ {
			if k.before(child, best) {
				best = child
			}
		}
		if best == i {
			return
		}
		k.choices[i], k.choices[best] = k.choices[best], k.choices[i]
		i = best
	}
}

// remainingPerVM returns how many more tasks of a phase may run at a worker, given the limit per
// worker (0 is no limit) and the number of tasks that run there.
func remainingPerVM(limit, running int) int {
	if limit == 0 {
		return math.MaxInt
	}
	return limit - running
}
