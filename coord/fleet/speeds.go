package fleet

import (
	"slices"
	"time"

	"plantainwinch/coord/speed"
)

// speeds holds what the planner knows of the speeds of workers.
type speeds struct {
	table *speed.Table
	// away holds by service how long runs away from the rack of their data take, relative to those
	// near it.
	away *speed.Table
	// uneven is set while some worker's factor differs from 1.
	uneven bool
	// fasterSearches counts the phases for which the last Schedule searched faster workers, and
	// awaitingFaster the tasks that it let wait for one.
	fasterSearches, awaitingFaster int
	// compared counts the siblings that runs were compared with since the last Schedule, by their progress.
	compared int

	changes []SpeedChange
	// sent is what the last summary said, by worker or, with an empty worker, by kind; sentAt is when it
	// was returned. See SpeedSummary.
	sent   map[speedKey]float64
	sentAt time.Time
}

func newSpeeds() speeds {
	return speeds{table: speed.New(), away: speed.New(), sent: make(map[speedKey]float64)}
}

// factor returns how long runs take at a worker relative to the usual: 1 is usual, 2 takes twice as long.
func (p *Planner) factor(w *worker) float64 {
	if w.speedFactor == 0 || !p.Policy.Speeds {
		return 1
	}
	return w.speedFactor
}

// likelyFactor returns the worker's most likely factor, which also counts differences that are too
// uncertain for decisions.
func (p *Planner) likelyFactor(w *worker) float64 {
	if !p.Policy.Speeds {
		return 1
	}
	return p.speeds.table.Likely(w.vm.ID, w.vm.Kind())
}

// awayFactor returns how long runs of a service take away from the rack of their data, relative to
// those near it; 1 if that is not known.
func (p *Planner) awayFactor(service string) float64 {
	if !p.Policy.Speeds {
		return 1
	}
	return p.speeds.away.Factor(service, "")
}

// refreshSpeeds prepares for a Schedule and, once a second, updates the factors of all workers.
func (p *Planner) refreshSpeeds(now time.Time) {
	p.speeds.fasterSearches, p.speeds.awaitingFaster, p.speeds.compared = 0, 0, 0
	if !p.Policy.Speeds || !p.speeds.table.Refresh(now) {
		return
	}
	p.speeds.away.Refresh(now)
	p.speeds.uneven = false
	for _, w := range p.workers {
		p.updateSpeed(w, now)
	}
}

// updateSpeed takes a worker's factor from the table.
func (p *Planner) updateSpeed(w *worker, now time.Time) {
	e := p.speeds.table.Estimate(w.vm.ID, w.vm.Kind())
	before := p.factor(w)
	w.speedFactor = e.Factor
	p.speeds.uneven = p.speeds.uneven || e.Factor != 1
	if e.Factor != before {
		p.noteSpeedChange(w, before, e, now)
	}
}

// observeSpeed adds a comparison of a run with its siblings to the table.
func (p *Planner) observeSpeed(w *worker, number uint64, ratio float64, now time.Time) {
	p.speeds.table.Observe(speed.Sample{Worker: w.vm.ID, Kind: w.vm.Kind(), Run: number, Ratio: ratio, At: now})
	if p.workers[w.vm.ID] == w {
		p.updateSpeed(w, now)
	}
}

// completedRun is a run that completed a task successfully.
type completedRun struct {
	worker *worker
	number uint64
	took   time.Duration
	// away is set if the run was not in the rack of the phase's data.
	away bool
	// comparable is set if the time shows how fast the worker is.
	comparable bool
}

// completed returns the record of a run that completed its task after the given time.
func (r *run) completed(took time.Duration) completedRun {
	return completedRun{worker: r.worker, number: r.key.run, took: took, away: r.away(), comparable: r.comparable()}
}

// away reports whether the run is not in the rack of its phase's data.
func (r *run) away() bool {
	spec := r.task.phase.spec
	return spec.Rack != "" && spec.Rack != r.worker.vm.Rack
}

// comparable reports whether the run's time shows how fast its worker is: it began anew under this
// planner, alone, at a warm worker, and its completion was not delayed by a loss of contact.
func (r *run) comparable() bool {
	spec := r.task.phase.spec
	return r.started && !r.adopted && r.baseAt.Equal(r.since) && !spec.Gang && !spec.Fills && !spec.Lasting && !spec.SameRack &&
		r.worker.unresponsiveSince.IsZero() && !r.worker.warmAt.After(r.since)
}

// usualTime returns how long a run would have taken at a usual worker near its data.
func (p *Planner) usualTime(s *phase, x completedRun) time.Duration {
	f := p.likelyFactor(x.worker)
	if x.away && s.job.queue != nil {
		f *= p.awayFactor(s.job.queue.Service)
	}
	return divide(x.took, f)
}

// expectedRunTime returns how long a task of a phase takes at a worker by its estimate. A gang is as
// fast as its slowest member.
func (p *Planner) expectedRunTime(s *phase, w *worker) time.Duration {
	if !p.speeds.uneven {
		return s.spec.Estimate
	}
	f := p.factor(w)
	if s.spec.Gang {
		for _, t := range s.tasks {
			if r := t.activeRun(); r != nil {
				f = max(f, p.factor(r.worker))
			}
		}
	}
	return time.Duration(f * float64(s.spec.Estimate))
}

// divide divides a duration by a factor; dividing by 1 changes nothing.
func divide(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) / factor)
}

// usualMaxTime returns how long the longest run of the phase would have taken at a usual worker near its
// data.
func (s *phase) usualMaxTime() time.Duration {
	longest := time.Duration(0)
	for x := range s.longestRuns() {
		longest = max(longest, s.job.planner.usualTime(s, x))
	}
	return longest
}

// timeLostToSpeed returns by how much the phase's longest run is longer because of the speeds of
// workers.
func (s *phase) timeLostToSpeed() time.Duration {
	longest, usual := time.Duration(0), time.Duration(0)
	for x := range s.longestRuns() {
		longest = max(longest, x.took)
		usual = max(usual, divide(x.took, s.job.planner.likelyFactor(x.worker)))
	}
	return max(0, longest-usual)
}

// observePhase compares the runs of a phase that has ended with each other. Those away from their data
// are compared among themselves, and as a whole with those near it.
func (p *Planner) observePhase(s *phase) {
	if !p.Policy.Speeds || s.done < len(s.tasks) {
		return
	}
	var near, away []completedRun
	for _, x := range s.completed {
		switch {
		case !x.comparable:
		case x.away:
			away = append(away, x)
		default:
			near = append(near, x)
		}
	}
	now := p.now()
	p.observeRuns(near, now)
	p.observeRuns(away, now)
	for _, x := range away {
		ratios := speed.Ratios(p.speedRuns(append(near[:len(near):len(near)], x)))
		if ratios != nil {
			p.speeds.away.Observe(speed.Sample{Worker: s.job.queue.Service, Run: x.number, Ratio: ratios[len(near)] / p.factor(x.worker), At: now})
		}
	}
}

// observeRuns compares runs of one phase with each other.
func (p *Planner) observeRuns(runs []completedRun, now time.Time) {
	for i, ratio := range speed.Ratios(p.speedRuns(runs)) {
		p.observeSpeed(runs[i].worker, runs[i].number, ratio, now)
	}
}

func (p *Planner) speedRuns(runs []completedRun) []speed.Run {
	out := make([]speed.Run, 0, len(runs))
	for _, x := range runs {
		out = append(out, speed.Run{Took: x.took, Factor: p.factor(x.worker)})
	}
	return out
}

// maxSiblings bounds the siblings that runs are compared with between two calls of Schedule: reports of thousands of
// runs arrive at once. The others are compared at their next reports.
const maxSiblings = 128 * maxCompared

// minPercent is the progress over which the rate of an active run is compared with its siblings'.
const minPercent = 20

// observeProgress compares the rate at which a run has progressed since its last comparison with the
// median rate of its phase, each multiplied by the factor of its worker. It is called when the progress
// has just been reported, and needs the rates of three quarters of the siblings.
func (p *Planner) observeProgress(r *run, now time.Time) {
	if !p.Policy.Speeds || r.task == nil || r.percent-r.comparedPercent < minPercent || r.task.phase.spec.Rack != "" || r.stopping || !r.comparable() {
		return
	}
	since := later(r.baseAt, r.comparedAt)
	if now.Sub(since) < minRateTime || p.speeds.compared >= maxSiblings {
		return
	}
	p.speeds.compared += min(len(r.task.phase.tasks), maxCompared)
	rate := (r.percent - r.comparedPercent) / now.Sub(since).Seconds()
	r.comparedPercent, r.comparedAt = r.percent, now
	s := r.task.phase
	rates := s.siblingRates(r, now)
	if len(rates) < minRates || 4*len(rates) < 3*min(s.live+s.done-1, maxCompared) {
		return
	}
	slices.Sort(rates)
	middle := (rates[len(rates)/2] + rates[(len(rates)-1)/2]) / 2
	p.observeSpeed(r.worker, r.key.run, middle/rate, now)
}

// siblingRates returns the rates of the other runs of a phase in percent per second at usual workers:
// of those that ended, and of those that have run for minRateTime, however far they have come. Of a wide
// phase it takes a sample.
func (s *phase) siblingRates(r *run, now time.Time) []float64 {
	p := s.job.planner
	var rates []float64
	for _, x := range s.completed {
		if x.comparable {
			rates = append(rates, 100/max(time.Millisecond, p.usualTime(s, x)).Seconds())
		}
	}
	for _, t := range s.tasksAround(r.task.index) {
		x := t.activeRun()
		if x == nil || x == r || now.Sub(x.baseAt) < minRateTime || !x.comparable() || !x.progressedAt.After(x.baseAt) {
			continue
		}
		rates = append(rates, p.factor(x.worker)*(x.percent-x.basePercent)/x.progressedAt.Sub(x.baseAt).Seconds())
	}
	return rates
}
