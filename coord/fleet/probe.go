package fleet

import (
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// placementTimeout is how long a probe waits for a worker without suspect or recently started
	// runs.
	placementTimeout = time.Second
	// isolationTimeout limits how long nothing else is started beside a probe.
	// weakIsolationTimeout applies to lasting tasks that are unlikely causes, because other lasting
	// tasks wait for the worker's capacity meanwhile.
	isolationTimeout     = 20 * time.Second
	weakIsolationTimeout = 2 * time.Second
	// Of the workers of a service, one in teamProbeDivisor may run probes of the same team and one
	// in totalProbeDivisor probes of any team, but one in weakProbeDivisor if the task is an
	// unlikely cause or its job has cleared suspects.
	teamProbeDivisor  = 8
	totalProbeDivisor = 4
	weakProbeDivisor  = 2
)

// beginProbe prevents other starts on the worker if the run is a probe.
func (p *Planner) beginProbe(r *run) {
	if r.task == nil {
		return
	}
	if x := r.task.suspicion(); x != nil && x.probe == r.key.run && x.probe != 0 {
		r.probe = x
		r.worker.probe = x
		p.probes[r.worker] = x
		p.updateReporting(r.worker)
	}
}

// endProbe allows other starts on a worker again.
func (p *Planner) endProbe(w *worker) {
	w.probe = nil
	delete(p.probes, w)
	p.updateReporting(w)
}

// probeEnded handles the end of a probe's run, whatever its result.
func (p *Planner) probeEnded(r *run) {
	x := r.probe
	if x == nil {
		return
	}
	if x.probe == r.key.run && (!x.phase.spec.Gang || !x.phase.hasRun(r.key.run)) {
		x.probe = 0
	}
	if r.worker.probe == x && !r.worker.hasProbeOf(x) {
		p.continueProbe(r.worker, p.now())
	}
}

// continueProbe prevents other starts on a worker as long as it runs another probe, once one has ended.
func (p *Planner) continueProbe(w *worker, now time.Time) {
	for _, r := range w.runs {
		if x := r.probe; x != nil && x.open() && x.isolates(r, now) {
			w.probe, p.probes[w] = x, x
			return
		}
	}
	p.endProbe(w)
}

// open reports whether the suspicion has not been cleared.
func (x *suspicion) open() bool { return x.phase.job.suspects[x.key] == x }

// hasRun reports whether a task of the phase has a run with the given number.
func (s *phase) hasRun(number uint64) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.runs, func(r *run) bool { return r.key.run == number })
	})
}

func (w *worker) hasProbeOf(x *suspicion) bool {
	for _, r := range w.runs {
		if r.probe == x {
			return true
		}
	}
	return false
}

// isolates reports whether nothing may be started yet beside a run of a suspect. The age of a run
// that an earlier planner started is not known. So if the suspect is a lasting task without strong
// crashes, such a run is not isolated: otherwise it would be isolated again after each takeover.
func (x *suspicion) isolates(r *run, now time.Time) bool {
	if x.strongCrashes() > 0 || !x.phase.spec.Lasting {
		return now.Sub(r.since) < isolationTimeout
	}
	return !r.adopted && now.Sub(r.since) < weakIsolationTimeout
}

// endLongProbes allows other starts beside probes that exceeded their isolation timeout.
func (p *Planner) endLongProbes(now time.Time) {
	for w, x := range p.probes {
		expired := true
		for _, r := range w.runs {
			if r.probe == x && x.isolates(r, now) {
				expired = false
			}
		}
		if expired {
			p.continueProbe(w, now)
		}
	}
}

// mayJoin reports whether a probe of the phase may be started beside those on the worker: lasting tasks of one phase may be
// tested together, since a task that is given up fails its job in any case.
func (s *phase) mayJoin(w *worker) bool {
	return w.probe != nil && w.probe.phase == s && s.spec.Lasting && !s.spec.Gang
}

// lastingProbesFull reports whether probes of lasting tasks keep so many workers of the phase's service from other work
// that no more of them should be.
func (p *Planner) lastingProbesFull(s *phase) bool {
	taken := 0
	for w, x := range p.probes {
		if x.phase.spec.Lasting && w.vm.Service == s.job.queue.Service {
			taken++
		}
	}
	return taken >= max(1, len(p.pool(s.job.queue.Service).workers)/totalProbeDivisor)
}

// acceptsBesideProbe reports whether probes allow a task of the phase to be started on the worker that is no probe itself:
// beside a probe, only another member of the same gang may be.
func (w *worker) acceptsBesideProbe(s *phase) bool {
	return w.probe == nil || w.probe.phase == s && s.spec.Gang
}

// probeSuspects starts probes of the phase's suspects where that is allowed, and reports whether
// its other tasks must wait for their outcome. Lasting tasks do not wait, since their users would.
func (p *Planner) probeSuspects(s *phase, now time.Time) (wait bool) {
	for _, t := range s.suspects() {
		x := t.suspicion()
		wait = !s.spec.Lasting
		if t.startable() && p.mayProbe(x) {
			p.startProbe(t, x, now)
		}
	}
	return wait
}

// mayProbe reports whether a suspect may be started now: the number of its run is recorded, and
// its job and team have not reached their limits of probes.
func (p *Planner) mayProbe(x *suspicion) bool {
	if !p.withinProbeLimits(x) {
		return false
	}
	j := x.phase.job
	if x.probe == 0 || x.probe/runsPerTerm != p.Term {
		if x.probe != 0 {
			p.assumeCrash(x)
		}
		x.probe = p.nextRunNumber()
		j.awaited = true
		p.markChanged(j)
		x.chosenAt, x.searchedSince = j.changes, time.Time{}
	}
	return j.savedChanges >= x.chosenAt
}

// assumeCrash adds a weak crash for a probe that an earlier planner may have started and whose
// result is not known, so that the task still runs only as a probe.
func (p *Planner) assumeCrash(x *suspicion) {
	if !slices.ContainsFunc(x.crashes, func(c winch.Crash) bool { return c.Run == x.probe }) {
		x.crashes = append(x.crashes, winch.Crash{Run: x.probe, At: p.now(), Weak: true})
	}
}

// withinProbeLimits reports whether a suspect may have a probe. A job may have one at a time, and
// one more for each suspect already cleared; the probes of a team and of all teams are limited to
// a part of the workers. Lasting tasks are neither limited here nor counted, since their probes may
// take long; startProbe has those of one phase share workers.
func (p *Planner) withinProbeLimits(x *suspicion) bool {
	if x.phase.spec.Lasting {
		return true
	}
	j := x.phase.job
	inJob, inTeam, total := 0, 0, 0
	for _, y := range p.probes {
		if y.phase.spec.Lasting {
			continue
		}
		if y.phase.job == j {
			inJob++
		}
		if y.phase.job.team == j.team {
			inTeam++
		}
		total++
	}
	workers := len(p.pool(j.queue.Service).workers)
	if x.strongCrashes() == 0 || j.cleared > 0 {
		return inJob <= j.cleared && total < max(1, workers/weakProbeDivisor)
	}
	return inJob <= j.cleared && inTeam < max(1, workers/teamProbeDivisor) && total < max(1, workers/totalProbeDivisor)
}

// startProbe starts a suspect on the worker where a crash would cost least. A lasting task may start beside other probes of
// its phase instead: a likely cause once probes keep as many workers from other work as they may, any other after
// placementTimeout without a worker of its own.
func (p *Planner) startProbe(t *task, x *suspicion, now time.Time) {
	s := t.phase
	if !s.job.team.allows(s.spec.Need) {
		return
	}
	var best, shared *worker
	lowest := 0
	counts := s.runsPerWorker()
	p.eachUsable(s, now, func(w *worker) {
		alone := w.acceptsBesideProbe(s)
		if !alone && !s.mayJoin(w) || !s.spec.Charge().Fits(p.availableCapacity(s, w, now)) || remainingPerVM(s.spec.MostPerVM, counts[w]) <= 0 {
			return
		}
		if !alone {
			if shared == nil || w.vm.ID < shared.vm.ID {
				shared = w
			}
			return
		}
		if cost := s.crashCost(w, now); best == nil || cost < lowest {
			best, lowest = w, cost
		}
	})
	if x.searchedSince.IsZero() {
		x.searchedSince = now
	}
	late := now.Sub(x.searchedSince) > placementTimeout
	if shared != nil && (best == nil && late || x.strongCrashes() > 0 && p.lastingProbesFull(s)) {
		p.start(t, shared, x.probe, t.checkpoint)
		return
	}
	if best != nil && (lowest < recentStartCost || late) {
		p.start(t, best, x.probe, t.checkpoint)
	}
}

const (
	// The cost of a worker's crash is one for each run, or lastingCost for a run of a lasting task,
	// plus suspectCost for a run of a suspect and recentStartCost for any other run started
	// recently. remoteCost is added if the worker is not near the probe's data.
	lastingCost     = 4
	suspectCost     = 100
	recentStartCost = 30
	remoteCost      = 3
)

// crashCost rates a worker for a probe of the phase by what a crash would interrupt, by how
// unclear its cause would be, and by the distance from the phase's data.
func (s *phase) crashCost(w *worker, now time.Time) int {
	n := len(w.runs) + (lastingCost-1)*w.lasting
	for _, r := range w.runs {
		switch {
		case r.task != nil && r.task.suspicion() != nil:
			n += suspectCost
		case !r.started || now.Sub(r.since) < recentMargin:
			n += recentStartCost
		}
	}
	if s.spec.Rack != "" && s.spec.Rack != w.vm.Rack {
		n += remoteCost
	}
	return n
}
