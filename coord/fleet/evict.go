package fleet

import (
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

const (
	// evictInterval is the minimum time between two searches for runs to stop. Progress reports,
	// from which the ends of runs are forecast, arrive much less often.
	evictInterval = 20 * time.Millisecond
	// maxEvictingPhases bounds the phases that one search considers, so that its cost does not
	// depend on the number of waiting phases.
	maxEvictingPhases = 64
	// maxFailures is the number of demands that could not be met after which a search ends.
	maxFailures = 4
	// orderDelay is how long it takes from a decision until its orders have reached the workers.
	orderDelay = 30 * time.Millisecond
	// restoreTime is how long the platform takes to resume a task from its checkpoint.
	restoreTime = 100 * time.Millisecond
)

// evictionSearch is one search for runs to stop. What it computes of workers and their runs is kept,
// since many phases may run at the same workers.
type evictionSearch struct {
	planner *Planner
	now     time.Time
	costs   evict.Costs
	// claims is the capacity that phases of higher rank are expected to use, by worker index.
	claims   []winch.Capacity
	releases [][]release         // releases holds the expected ends of runs by worker index, as far as computed.
	victims  [][]victim          // victims holds the runs that may be stopped in the same way.
	lacking  map[*pool]bool      // lacking holds the services where urgent tasks lack capacity.
	suited   map[*pool][]*worker // suited holds the workers that suit phases without a label.
	failures int                 // failures counts the demands that could not be met.
	// fullFor is the largest spare time for which no worker has capacity for a task that needs no
	// more than fullNeed, among the tasks that need no advice.
	fullFor  map[*pool]time.Duration
	fullNeed map[*pool]winch.Capacity
}

// release is the expected end of a run.
type release struct {
	left     time.Duration
	capacity winch.Capacity
}

// victim is a run that may be stopped.
type victim struct {
	run *run
	evict.Run
}

// evictForUrgent stops runs so that urgent phases that wait for capacity can start in time. It must
// be called after everything that fits has been started.
func (p *Planner) evictForUrgent(now time.Time) {
	if !p.Policy.Evict || p.evictable == 0 || now.Sub(p.evictedAt) < evictInterval {
		return
	}
	waiting := p.urgentWaiting()
	if len(waiting) == 0 {
		return
	}
	p.evictedAt = now
	k := &evictionSearch{
		planner: p, now: now, costs: p.evictCosts(), lacking: make(map[*pool]bool), suited: make(map[*pool][]*worker),
		claims: make([]winch.Capacity, len(p.byID)), releases: make([][]release, len(p.byID)), victims: make([][]victim, len(p.byID)),
		fullFor: make(map[*pool]time.Duration), fullNeed: make(map[*pool]winch.Capacity),
	}
	for _, s := range waiting {
		if k.failures >= maxFailures {
			break
		}
		k.serve(s)
	}
	k.evictAhead(waiting)
}

// urgentWaiting returns the urgent phases with waiting tasks that evictions may serve, in the order
// of their ranks. Work beyond its team's share and work that will be late has another class.
func (p *Planner) urgentWaiting() []*phase {
	var out []*phase
	for _, e := range p.ready {
		if e.rank.class != rankUrgent || len(out) == maxEvictingPhases {
			break
		}
		s := e.phase
		if s.waiting > 0 && !s.spec.Gang && !s.spec.Lasting && s.job.suspects == nil && s.job.team.allows(s.spec.Need.Times(s.waiting)) {
			out = append(out, s)
		}
	}
	return out
}

// serve stops runs for a phase if some of its tasks will not get capacity in time, but would if the
// runs are stopped now.
func (k *evictionSearch) serve(s *phase) {
	p := k.planner
	wants := s.waiting - p.freeingTasks(s)
	if wants <= 0 || !k.affords(s) {
		return
	}
	workers := k.mayRun(s)
	spare := s.spareTime(k.now)
	if wants -= k.claim(s, workers, spare, wants); wants == 0 || len(workers) == 0 {
		return
	}
	k.lacking[p.pool(s.job.queue.Service)] = true
	counts := s.runsPerWorker()
	k.evict(s, evict.Demand{
		Need: s.spec.Charge(), Tasks: wants, Spare: spare, Hold: s.taskTime(),
		PerWorker: func(i int) int { return remainingPerVM(s.spec.MostPerVM, counts[p.byID[i]]) },
	}, workers)
}

// claim claims capacity that becomes free within the spare time for tasks of a phase, at most limit,
// so that phases of lower rank do not count on it. It returns the number of tasks.
func (k *evictionSearch) claim(s *phase, workers []*worker, spare time.Duration, limit int) int {
	need, x := s.spec.Charge(), k.planner.pool(s.job.queue.Service)
	general := s.job.queue.Advice == nil && s.spec.Label == "" && s.spec.MostPerVM == 0
	if full, known := k.fullFor[x]; general && known && spare <= full && k.fullNeed[x].Fits(need) {
		return 0
	}
	counts := s.runsPerWorker()
	claimed := 0
	for _, w := range workers {
		n := min(limit-claimed, s.fitInto(k.freeBy(w, spare), remainingPerVM(s.spec.MostPerVM, counts[w])))
		if n > 0 {
			k.claims[w.index] = k.claims[w.index].Add(need.Times(n))
			claimed += n
		}
		if claimed == limit {
			return claimed
		}
	}
	if general {
		k.fullFor[x], k.fullNeed[x] = spare, need
	}
	return claimed
}

// evict stops the runs at the given workers that must be stopped for a demand, within the budget of
// the service. The phase is nil if the demand is a forecast.
func (k *evictionSearch) evict(s *phase, d evict.Demand, workers []*worker) {
	if d.Tasks <= 0 || d.Spare < k.costs.Stop || len(workers) == 0 {
		return
	}
	p := k.planner
	x := p.pool(workers[0].vm.Service)
	var victims []victim
	for _, w := range workers {
		victims = append(victims, k.victimsAt(w)...)
	}
	runs := make([]evict.Run, 0, len(victims))
	for i := range victims {
		runs = append(runs, victims[i].Run)
	}
	chosen := evict.Choose(d, runs, k.costs, func(i int) winch.Capacity { return k.freeBy(p.byID[i], d.Spare) })
	freed := winch.Capacity{}
	for _, c := range chosen {
		freed = freed.Add(runs[c.Run].Frees)
	}
	for len(chosen) > 0 && !x.evictions.Allows(k.now, freed, x.capacity, k.costs) {
		last := len(chosen) - 1
		freed = freed.Sub(runs[chosen[last].Run].Frees)
		if chosen = chosen[:last]; !d.Partial {
			chosen = nil
		}
	}
	if len(chosen) == 0 {
		k.failures++
		if s == nil || s.job.queue.Advice == nil {
			k.failures = maxFailures // Other phases may run at the same workers only.
		}
		return
	}
	x.evictions.Spend(k.now, freed, x.capacity, k.costs)
	for _, c := range chosen {
		v := victims[c.Run]
		p.evictRun(v.run, s, d.Need.Times(c.Tasks), c.Tasks, v.Run, k.now)
		k.releases[v.run.worker.index], k.victims[v.run.worker.index] = nil, nil
	}
}

// affords reports whether the budget of the phase's service allows an eviction for one task.
func (k *evictionSearch) affords(s *phase) bool {
	x := k.planner.pool(s.job.queue.Service)
	return x.evictions.Allows(k.now, s.spec.Charge(), x.capacity, k.costs)
}

// victimsAt returns the runs at a worker that may be stopped, of very many those that were started last.
func (k *evictionSearch) victimsAt(w *worker) []victim {
	if k.victims[w.index] == nil {
		out := make([]victim, 0, len(w.evictable))
		if w.unresponsiveSince.IsZero() {
			for _, r := range w.evictable[max(0, len(w.evictable)-maxCompared):] {
				if x, ok := r.evictionCandidate(k.now); ok {
					out = append(out, victim{r, x})
				}
			}
		}
		k.victims[w.index] = out
	}
	return k.victims[w.index]
}

// freeBy returns the capacity of a worker that is expected to be free after the given time, without
// what is held after evictions or claimed for phases of higher rank.
func (k *evictionSearch) freeBy(w *worker, in time.Duration) winch.Capacity {
	if k.releases[w.index] == nil {
		out := make([]release, 0, len(w.runs))
		for r, times := range w.sampledRuns() {
			if left, known := r.timeLeft(k.now); known {
				out = append(out, release{left, r.charge.Times(times)})
			}
		}
		k.releases[w.index] = out
	}
	free := w.free().Sub(k.claims[w.index])
	for _, x := range k.releases[w.index] {
		if x.left <= in {
			free = free.Add(x.capacity)
		}
	}
	for _, e := range w.evictions {
		free = free.Sub(e.held)
	}
	return free
}

// evictCosts returns the times that an eviction is expected to take.
func (p *Planner) evictCosts() evict.Costs {
	return evict.Costs{Stop: p.stopTime.Expected() + orderDelay, Restore: restoreTime}
}

// mayRun returns the workers that are known to be allowed to run the phase. Where a ticket has
// expired, a new one is requested when the capacity becomes free.
func (k *evictionSearch) mayRun(s *phase) []*worker {
	if s.job.queue.Advice == nil {
		return k.suitable(s)
	}
	var out []*worker
	for i := range s.advice.allowed {
		if w := s.advice.allowed[i].worker; k.planner.suits(s, w, k.now) {
			out = append(out, w)
		}
	}
	return out
}

// suitable returns the workers that may be given work and are of the kind that the phase needs.
func (k *evictionSearch) suitable(s *phase) []*worker {
	x := k.planner.pool(s.job.queue.Service)
	if s.spec.Label == "" && k.suited[x] != nil {
		return k.suited[x]
	}
	out := make([]*worker, 0, len(x.workers))
	for _, w := range x.workers {
		if k.planner.suits(s, w, k.now) {
			out = append(out, w)
		}
	}
	if s.spec.Label == "" {
		k.suited[x] = out
	}
	return out
}

// spareTime returns how long the start of the phase's waiting tasks may still be delayed without
// the job missing its objective.
func (s *phase) spareTime(now time.Time) time.Duration {
	return s.objective().Sub(now) - s.pathAfter() - s.taskTime()
}

// taskTime returns how long a task of the phase takes, as far as it is known.
func (s *phase) taskTime() time.Duration {
	if s.samples > 0 {
		return s.meanTime
	}
	return s.spec.Estimate
}

// pathAfter returns the longest chain of estimates after the phase.
func (s *phase) pathAfter() time.Duration {
	return max(0, s.remainingPath-s.spec.Estimate-s.job.queue.adviceTime())
}
