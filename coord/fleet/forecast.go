package fleet

import (
	"time"

	"plantainwinch/coord/admit"
	"plantainwinch/winch"
)

const (
	// spareFraction is the fraction of a service's capacity that may be free while work waits for capacity:
	// the largest tasks need up to a quarter of a worker and leave less than that free. If more is free, work
	// waits for something else, and the forecast does not apply.
	spareFraction = 0.3
	// minForecastInterval is the shortest time between two computations of the forecast.
	minForecastInterval = 200 * time.Millisecond
)

// forecasts holds what the forecast of new jobs' ends is based on, apart from the work itself.
type forecasts struct {
	queues map[string]*queueArrivals
	teams  map[string]*admit.Rate
	// refused holds the IDs that entries refused recently.
	refused refusedIDs
	// services holds the results of the last computation.
	services   map[string]*serviceForecast
	computedAt time.Time
	// unconfirmed says that the last computation was early and found no change.
	unconfirmed bool
}

// queueArrivals is what is known of a queue's jobs.
type queueArrivals struct {
	rate      admit.Rate
	estimates admit.Estimates
}

// serviceForecast is the result for one service, extended by what has been accepted since.
type serviceForecast struct {
	limit    time.Duration // limit is the shortest time after which jobs of a queue of the service are refused.
	waiting  time.Duration // waiting is how long the service takes for the work that waits.
	milli    float64
	added    float64 // added is the work accepted since, in thousandths of a processor multiplied by seconds.
	full     bool
	refusing bool
}

func (p *Planner) arrivals(queue string) *queueArrivals {
	if p.forecasts.queues == nil {
		p.forecasts.queues = make(map[string]*queueArrivals)
	}
	a := p.forecasts.queues[queue]
	if a == nil {
		a = &queueArrivals{}
		p.forecasts.queues[queue] = a
	}
	return a
}

func (p *Planner) teamRate(team string) *admit.Rate {
	if p.forecasts.teams == nil {
		p.forecasts.teams = make(map[string]*admit.Rate)
	}
	r := p.forecasts.teams[team]
	if r == nil {
		r = &admit.Rate{}
		p.forecasts.teams[team] = r
	}
	return r
}

// recentAcceptance is the age up to which a job that a new planner reads counts as an arrival.
const recentAcceptance = 2 * time.Second

// forecastArrival counts an accepted job.
func (p *Planner) forecastArrival(j *job, now time.Time) {
	if now.Sub(j.rec.Accepted) > recentAcceptance {
		return
	}
	p.arrivals(j.rec.Queue).rate.Add(1, now)
	p.teamRate(j.rec.Team).Add(1, now)
	if j.queue == nil {
		return
	}
	if f := p.forecasts.services[j.queue.Service]; f != nil {
		f.added += JobMilliSeconds(j.rec)
	}
}

// NoteRefused counts jobs of a team that an entry has refused.
func (p *Planner) NoteRefused(queue, team string, count int, now time.Time) {
	p.arrivals(queue).rate.Add(float64(count), now)
	p.teamRate(team).Add(float64(count), now)
}

// observeEstimates learns from a job that has ended how far the estimates of its queue are off.
func (p *Planner) observeEstimates(j *job) {
	if j.state != winch.JobDone || j.queue == nil || j.rec.Times > 1 {
		return
	}
	p.arrivals(j.rec.Queue).estimates.Observe(j.phases[0].criticalPath, j.observedCriticalPath())
}

// JobMilliSeconds returns the estimated work of a job in thousandths of a processor multiplied by seconds.
func JobMilliSeconds(j *winch.PhasedJob) float64 {
	sum := 0.0
	for i := range j.Phases {
		s := &j.Phases[i]
		if !s.Lasting {
			sum += float64(s.Count) * float64(s.Charge().Milli) * s.Estimate.Seconds()
		}
	}
	return sum
}

// EstimatedChain returns the longest chain of the estimates of a job's phases, with one advice request for
// each.
func EstimatedChain(j *winch.PhasedJob, q *winch.Queue) time.Duration {
	request, longest := (&queue{Queue: *q}).adviceTime(), time.Duration(0)
	chains := make([]time.Duration, len(j.Phases))
	for i := range j.Phases {
		for _, before := range j.Phases[i].After {
			if before >= 0 && before < i {
				chains[i] = max(chains[i], chains[before])
			}
		}
		chains[i] += j.Phases[i].Estimate + request
		longest = max(longest, chains[i])
	}
	return longest
}

// Admission returns the forecast for new jobs, which the entries decide by. It examines all active jobs
// and all runs once, so it is to be called when it is published, not at each decision.
func (p *Planner) Admission(now time.Time) admit.State {
	early := now.Sub(p.forecasts.computedAt) < regularForecastInterval
	p.forecasts.computedAt = now
	if !p.Policy.Admit {
		p.forecasts.services = nil
		return admit.State{Term: p.Term}
	}
	services := p.workByService(now)
	var loads []admit.Load
	for name, q := range p.queues {
		s := services[q.Service]
		if s == nil || !p.full(q.Service) {
			continue
		}
		a := p.arrivals(name)
		loads = append(loads, admit.Load{Queue: &q.Queue, Service: s, Estimates: a.estimates, PerSecond: a.rate.PerSecond(now)})
	}
	var teams []admit.Submitter
	for name, t := range p.teams {
		if t.Weight > 0 {
			teams = append(teams, admit.Submitter{Team: name, Weight: t.Weight, PerSecond: p.teamRate(name).PerSecond(now)})
		}
	}
	state := admit.Forecast(loads, teams)
	state.Term = p.Term
	changed := p.keepForecast(services, &state)
	p.forecasts.unconfirmed = early && !changed
	return state
}

// full reports whether so little of a service's capacity is free that work may wait for capacity.
func (p *Planner) full(service string) bool {
	x := p.pool(service)
	return x.free.Milli < scale(x.capacity.Milli, spareFraction) || x.free.Memory < scale(x.capacity.Memory, spareFraction) ||
		x.free.Accelerators < scale(x.capacity.Accelerators, spareFraction)
}

// keepForecast keeps what AdmissionChanging needs, and reports whether a service began or ended refusing.
func (p *Planner) keepForecast(services map[string]*admit.Service, state *admit.State) (changed bool) {
	old := p.forecasts.services
	p.forecasts.services = make(map[string]*serviceForecast, len(services))
	for name, s := range services {
		f := &serviceForecast{milli: s.Capacity.Milli, full: p.full(name)}
		f.waiting = s.Waiting()
		for _, q := range p.queues {
			if q.Service != name {
				continue
			}
			if limit := winch.LateFactor * q.Target; f.limit == 0 || limit < f.limit {
				f.limit = limit
			}
			f.refusing = f.refusing || state.RefusesQueue(q.Name)
		}
		p.forecasts.services[name] = f
		before := old[name] != nil && old[name].refusing
		changed = changed || before != f.refusing
	}
	return changed
}

// regularForecastInterval is the interval at which the forecast is published in any case.
const regularForecastInterval = 500 * time.Millisecond

// AdmissionChanging reports whether the region is likely to have begun or ended refusing jobs since the
// last forecast, so that it should be computed and published now. It costs a few operations.
func (p *Planner) AdmissionChanging(now time.Time) bool {
	elapsed := now.Sub(p.forecasts.computedAt)
	if elapsed < minForecastInterval || p.forecasts.unconfirmed {
		return false
	}
	for name, f := range p.forecasts.services {
		if f.milli <= 0 || f.limit <= 0 {
			continue
		}
		waiting := f.waiting + time.Duration(f.added/f.milli*float64(time.Second)) - elapsed
		refuses := waiting > f.limit && (f.full || p.full(name))
		if refuses != f.refusing {
			return true
		}
	}
	return false
}

// workByService returns the capacity and the accepted work of each service.
func (p *Planner) workByService(now time.Time) map[string]*admit.Service {
	out := make(map[string]*admit.Service, len(p.pools))
	service := func(name string) *admit.Service {
		if out[name] == nil {
			out[name] = &admit.Service{}
		}
		return out[name]
	}
	for _, w := range p.workers {
		s := service(w.vm.Service)
		if w.usable() {
			s.Capacity = s.Capacity.Add(w.vm.Room, time.Duration(float64(time.Second)/p.factor(w)))
		}
		for r, times := range w.sampledRuns() {
			p.addRunning(s, r, times, now)
		}
	}
	for _, j := range p.active {
		if j.queue == nil || j.cancelled || j.state.Final() {
			continue
		}
		s := service(j.queue.Service)
		factor := p.arrivals(j.rec.Queue).estimates.WorkFactor()
		for _, x := range j.phases {
			p.addWaiting(s, x, factor, now)
		}
	}
	return out
}

// addRunning adds a run's remaining work, as often as the run is to be counted, to that of its service. What lasting tasks
// use reduces the capacity.
func (p *Planner) addRunning(s *admit.Service, r *run, times int, now time.Time) {
	if r.task == nil || r.stopping {
		return
	}
	if r.task.phase.spec.Lasting {
		if r.worker.usable() {
			s.Capacity = s.Capacity.Add(r.charge.Times(times), -time.Second)
		}
		return
	}
	end, ok := r.expectedCompletion(now)
	if !ok {
		return
	}
	if j := r.task.phase.job; j.inUrgentQueue() && !j.excess {
		s.RunningUrgent = s.RunningUrgent.Add(r.charge.Times(times), end.Sub(now))
	} else {
		s.RunningNormal = s.RunningNormal.Add(r.charge.Times(times), end.Sub(now))
	}
}

// addWaiting adds the work of a phase's waiting tasks to that of its service, unless they wait for
// something other than capacity.
func (p *Planner) addWaiting(s *admit.Service, x *phase, factor float64, now time.Time) {
	j := x.job
	if x.waiting == 0 || x.spec.Lasting || x.due.After(now) || !j.team.allows(x.spec.Need) || x.maxParallel() == 0 {
		return
	}
	amount := &s.Normal
	abandoned := now.After(x.callerDeadline(x.objective()))
	switch {
	case j.excess:
		amount = &s.Excess
	case abandoned && j.inUrgentQueue():
		amount = &s.AbandonedUrgent
	case abandoned:
		amount = &s.AbandonedNormal
	case j.inUrgentQueue() && p.rank(x, now).class == rankUrgentLate:
		amount = &s.UrgentLate
	case j.inUrgentQueue():
		amount = &s.Urgent
	}
	*amount = amount.Add(x.spec.Charge().Times(x.waiting), time.Duration(factor*float64(x.spec.Estimate)))
}
