package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"plantainwinch/coord/evict"
	"plantainwinch/winch"
)

const (
	// peakHalfLife is the half-life of a past peak of urgent demand. Urgent jobs run for seconds
	// and come in waves of some ten seconds; capacity reserved for much longer than that would
	// stay idle.
	peakHalfLife = 6 * time.Second
	// maxPoolReserve is the largest fraction of the capacity of a service's workers that is
	// reserved for urgent work; otherwise one team that sends many times its usual load would keep
	// all other work waiting while machines are idle. Of its own limit, a team's urgent work may have
	// everything reserved (maxTeamReserve): long work started there would delay the next burst by
	// seconds.
	maxPoolReserve = 0.5
	maxTeamReserve = 1.0
	// maxReserveWait is the longest time for which a job of which nothing runs waits for urgent work
	// that may arrive, while half of its service and of its team's limit is free.
	maxReserveWait = 2 * time.Second
)

// signaturePrime is the multiplier of the hash function FNV-1a.
const signaturePrime = 1099511628211

// pool is the set of workers of one service.
type pool struct {
	// capacity is the total of all usable workers; free is what was free of it at the last
	// Schedule, less what has been started since.
	capacity, free winch.Capacity
	urgent         demand
	// workers are those that may be given work, by ID, as of the last Schedule.
	workers []*worker
	// signature identifies the workers and what they may run.
	signature uint64
	// evacuated counts those that could be given work if their failure domain were not evacuated.
	evacuated int
	// maxFree is the largest free capacity of each kind at any one worker as of the last Schedule:
	// a task that exceeds it fits nowhere.
	maxFree winch.Capacity
	// misses are the shapes that no worker had capacity for in the last Schedule.
	misses    []shape
	arrivals  arrivals
	evictions evict.Budget // evictions bounds the evictions of the service's runs.
	order     poolOrder
}

func (p *Planner) pool(service string) *pool {
	x := p.pools[service]
	if x == nil {
		x = &pool{}
		p.pools[service] = x
	}
	return x
}

// demand is how much urgent work of a team or a service is expected to want to run at once. Other
// work leaves that much capacity free: it runs for long, and an urgent task that found the limit
// reached because of it would have to wait for its end.
//
// What is expected is what recent arrivals would have used if each had started at once, and what has
// run at once. A backlog is no forecast of arrivals: it counts as wanted, for as long as it waits.
type demand struct {
	used   winch.Capacity // used is what runs now.
	wanted winch.Capacity // wanted is used plus what waits.
	// offered is what has arrived, each arrival for as long as its tasks take if they meet their
	// target; it decays with the mean of these times, holding.
	offered winch.Capacity
	holding time.Duration
	updated time.Time // updated is the time of offered and of peak.
	peak    winch.Capacity
	// arrived is when work last arrived, interval the longest recent time between arrivals.
	arrived  time.Time
	interval time.Duration
	// quiet is set while nothing has arrived for longer than that. Nothing is reserved then but for
	// what waits.
	quiet bool
}

// add counts work that has arrived and takes the given time.
func (d *demand) add(now time.Time, need winch.Capacity, takes time.Duration) {
	if need == (winch.Capacity{}) {
		return
	}
	d.decay(now)
	if !d.arrived.IsZero() {
		since := now.Sub(d.arrived)
		d.interval = max(time.Duration(fade(since)*float64(d.interval)), since)
	}
	d.arrived = now
	before, added := float64(d.offered.Milli), float64(need.Milli)
	if before+added > 0 {
		takes = time.Duration((float64(d.holding)*before + float64(takes)*added) / (before + added))
	}
	d.holding = takes
	d.offered = d.offered.Add(need)
}

// decay brings what has arrived up to date.
func (d *demand) decay(now time.Time) {
	since := time.Duration(0)
	if !d.updated.IsZero() {
		since = max(0, now.Sub(d.updated))
	}
	d.updated = now
	d.peak = scaleAll(d.peak, fade(since))
	if d.holding > 0 {
		d.offered = scaleAll(d.offered, math.Exp(-since.Seconds()/d.holding.Seconds()))
	}
}

// fade returns the factor of something past after the given time.
func fade(since time.Duration) float64 {
	return math.Exp2(-since.Seconds() / peakHalfLife.Seconds())
}

// beginCount starts a new count of the wanted capacity.
func (d *demand) beginCount() {
	d.wanted = d.used
}

// endCount updates the expected demand, given the most that may be reserved.
func (d *demand) endCount(now time.Time, limit winch.Capacity) {
	d.decay(now)
	d.peak = winch.Capacity{
		Milli:        max(d.peak.Milli, min(max(d.used.Milli, d.offered.Milli), limit.Milli)),
		Memory:       max(d.peak.Memory, min(max(d.used.Memory, d.offered.Memory), limit.Memory)),
		Accelerators: max(d.peak.Accelerators, min(max(d.used.Accelerators, d.offered.Accelerators), limit.Accelerators)),
	}
	// While the last arrivals are being done, a longer interval than before is chance. The interval
	// of a single arrival is not known.
	interval := maxReserveWait
	if d.interval > 0 {
		interval = min(interval, max(d.interval, d.holding))
	}
	d.quiet = now.Sub(d.arrived) > interval
}

// reserve returns how much of the whole, a limit or a capacity, to leave free for urgent work, at
// most the given fraction of it.
func (d *demand) reserve(whole winch.Capacity, fraction float64) winch.Capacity {
	if d.quiet {
		return d.reserveWaiting(whole, fraction)
	}
	return d.reserveFor(winch.Capacity{
		Milli:        max(d.peak.Milli, d.wanted.Milli),
		Memory:       max(d.peak.Memory, d.wanted.Memory),
		Accelerators: max(d.peak.Accelerators, d.wanted.Accelerators),
	}, whole, fraction)
}

// reserveWaiting returns how much of the whole to leave free for urgent work that waits now.
func (d *demand) reserveWaiting(whole winch.Capacity, fraction float64) winch.Capacity {
	return d.reserveFor(d.wanted, whole, fraction)
}

func (d *demand) reserveFor(expected, whole winch.Capacity, fraction float64) winch.Capacity {
	return winch.Capacity{
		Milli:        max(0, min(expected.Milli, scale(whole.Milli, fraction))-d.used.Milli),
		Memory:       max(0, min(expected.Memory, scale(whole.Memory, fraction))-d.used.Memory),
		Accelerators: max(0, min(expected.Accelerators, scale(whole.Accelerators, fraction))-d.used.Accelerators),
	}
}

func scale[T ~int | ~int64](whole T, fraction float64) T {
	return T(fraction * float64(whole))
}

// inUrgentQueue reports whether the job's queue is for urgent work. Such a job runs for seconds at
// most, so it need not leave capacity free for other urgent work.
func (j *job) inUrgentQueue() bool {
	return j.queue != nil && j.queue.Priority == 0
}

// urgent reports whether the job takes precedence over others. Jobs that a team submits beyond its
// share do not, since the others would wait behind them.
func (j *job) urgent() bool {
	return j.inUrgentQueue() && !j.excess
}

// measure updates the capacity of all pools, sorts the ready phases, and counts the urgent demand
// of all services and teams.
func (p *Planner) measure(now time.Time, adopting bool) {
	for _, x := range p.pools {
		x.urgent.beginCount()
		x.capacity, x.free, x.maxFree, x.evacuated, x.signature = winch.Capacity{}, winch.Capacity{}, winch.Capacity{}, 0, 0
		clear(x.workers)
		x.workers, x.misses = x.workers[:0], x.misses[:0]
	}
	for _, t := range p.teams {
		t.urgent.beginCount()
	}
	p.measurePools()
	p.updateDomains()
	p.sortReady(now, adopting)
	for _, x := range p.pools {
		x.urgent.endCount(now, scaleAll(x.capacity, maxPoolReserve))
	}
	for _, t := range p.teams {
		t.urgent.endCount(now, scaleAll(t.Cap, maxTeamReserve))
	}
}

// measurePools updates the capacity of the workers that may be given work.
func (p *Planner) measurePools() {
	if p.unsorted {
		p.unsorted = false
		p.byID = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
		for i, w := range p.byID {
			w.index = i
		}
	}
	var x *pool
	service := ""
	for _, w := range p.byID {
		if !w.available() {
			continue
		}
		if x == nil || w.vm.Service != service {
			service = w.vm.Service
			x = p.pool(service)
		}
		if w.evacuated() {
			x.evacuated++
			continue
		}
		free := w.free()
		x.capacity, x.free = x.capacity.Add(w.vm.Room), x.free.Add(free)
		x.workers = append(x.workers, w)
		x.signature = (x.signature ^ w.vmRevision) * signaturePrime
		x.maxFree = winch.Capacity{
			Milli: max(x.maxFree.Milli, free.Milli), Memory: max(x.maxFree.Memory, free.Memory), Accelerators: max(x.maxFree.Accelerators, free.Accelerators),
		}
	}
}

// countWaiting adds the waiting tasks of a phase that could run now to the demand of urgent work.
func (p *Planner) countWaiting(s *phase) {
	if !s.job.urgent() {
		return
	}
	need := s.spec.Need.Times(s.startableNow())
	for _, d := range s.job.demands() {
		d.wanted = d.wanted.Add(need)
	}
}

// countArrival adds the tasks of a phase that has become ready to the expected urgent work. What a new
// planner finds waiting is a backlog.
func (p *Planner) countArrival(s *phase, now time.Time) {
	if !s.job.urgent() || s.job.addedAt.Sub(s.job.rec.Accepted) > recentAcceptance {
		return
	}
	q := s.job.queue
	need, takes := s.spec.Need.Times(s.startableNow()), s.expectedRunTime()+q.adviceTime()+q.Target
	for _, d := range s.job.demands() {
		d.add(now, need, takes)
	}
}

// demands returns the demands that the job's work counts towards.
func (j *job) demands() [2]*demand {
	return [2]*demand{&j.planner.pool(j.queue.Service).urgent, &j.team.urgent}
}

// countUrgent adds a run to the urgent demand in use if on is set and the run does urgent work, and
// otherwise removes it.
func (r *run) countUrgent(on bool) {
	on = on && r.task != nil && !r.stopping && r.copyOf == nil && r.task.phase.job.urgent()
	if on == r.urgent {
		return
	}
	r.urgent = on
	for _, d := range r.task.phase.job.demands() {
		if on {
			d.used = d.used.Add(r.need)
		} else {
			d.used = d.used.Sub(r.need)
		}
	}
}

// recountUrgent recounts all runs, as a new configuration may have changed which work is urgent.
func (p *Planner) recountUrgent() {
	for _, x := range p.pools {
		x.urgent.used = winch.Capacity{}
	}
	for _, t := range p.teams {
		t.urgent.used = winch.Capacity{}
	}
	for _, w := range p.workers {
		for _, r := range w.runs {
			r.urgent = false
			r.countUrgent(true)
		}
	}
}

// sparesUrgent reports whether the phase may take what it needs without using capacity reserved for
// urgent work. Urgent and lasting work always may; other work must leave the reserve free, both of
// its team's limit and of the capacity of its service's workers.
func (p *Planner) sparesUrgent(s *phase) bool {
	if !p.Policy.UrgentRoom || s.job.inUrgentQueue() || s.spec.Lasting {
		return true
	}
	t, x := s.job.team, p.pool(s.job.queue.Service)
	if !t.allows(s.spec.Need.Add(t.reserveFor(s, x))) {
		return false
	}
	reserved := x.reserveFor(s)
	return s.spec.Fills || reserved == (winch.Capacity{}) || s.spec.Need.Add(reserved).Fits(x.free)
}

// reserveFor returns how much of the team's limit the phase must leave free for urgent work.
func (t *team) reserveFor(s *phase, x *pool) winch.Capacity {
	if s.waitedForUrgent() && x.halfFree(s.spec.Need) && t.halfFree() {
		return t.urgent.reserveWaiting(t.Cap, maxTeamReserve)
	}
	return t.urgent.reserve(t.Cap, maxTeamReserve)
}

// reserveFor returns how much of the service's capacity the phase must leave free for urgent work.
func (x *pool) reserveFor(s *phase) winch.Capacity {
	if s.waitedForUrgent() && x.halfFree(s.spec.Need) {
		return x.urgent.reserveWaiting(x.capacity, maxPoolReserve)
	}
	return x.urgent.reserve(x.capacity, maxPoolReserve)
}

// waitedForUrgent reports whether nothing of the phase's job runs and it has waited for as long as it may
// for urgent work that may arrive.
func (s *phase) waitedForUrgent() bool {
	return s.job.live == 0 && s.job.planner.now().Sub(s.readySince) > maxReserveWait
}

// halfFree reports whether under half of the service is in use and a task could be started twice.
func (x *pool) halfFree(need winch.Capacity) bool {
	used := x.capacity.Sub(x.free)
	return underHalf(used, x.capacity) && need.Times(2).Fits(x.free)
}

// halfFree reports whether under half of the team's limit is in use.
func (t *team) halfFree() bool {
	return underHalf(t.used.Add(t.unreported), t.Cap)
}

// underHalf reports whether under half of the whole is used; a whole of zero is no limit.
func underHalf(used, whole winch.Capacity) bool {
	return (whole.Milli == 0 || 2*used.Milli < whole.Milli) && (whole.Memory == 0 || 2*used.Memory < whole.Memory) &&
		(whole.Accelerators == 0 || 2*used.Accelerators < whole.Accelerators)
}
