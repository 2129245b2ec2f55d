package fleet

import (
	"slices"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

// runKey identifies a run at a worker.
type runKey struct {
	task winch.RunID
	run  uint64
}

// run is one attempt of a task at a worker, from the start order until it is guaranteed to have
// ended.
type run struct {
	key    runKey
	task   *task // task is nil for a run of an unknown job.
	team   *team
	worker *worker
	need   winch.Capacity // need is charged to the team, charge to the worker.
	charge winch.Capacity
	// started is set once the worker has confirmed the start.
	started bool
	// listed is set once the boot that the start was meant for has listed the run. A confirmation does not name its boot.
	listed   bool
	stopping bool
	urgent   bool // urgent is set while the run counts as running urgent work.
	inRack   bool // inRack is set while the run counts in its phase's racks.
	adopted  bool // adopted is set if an earlier planner started the run.
	// copyOf is set if the run is a copy of another run of its task.
	copyOf *copyRun
	// probe is set if the run is a probe, which tests whether a suspect task crashes its worker.
	probe *suspicion
	// since is when the start was ordered or, once started is set, when it was confirmed.
	since time.Time
	// workedUntil is when a run that is being stopped was last known to do its task's work.
	workedUntil time.Time
	// percent is the progress last reported, progressedAt when it last changed.
	percent      float64
	progressedAt time.Time
	// startPercent is the progress at the checkpoint from which the run was started.
	startPercent float64
	reportedAt   time.Time // reportedAt is when progress was last reported, changed or not.
	// basePercent is the first progress reported, at baseAt.
	basePercent float64
	baseAt      time.Time
	// comparedPercent is the progress up to which the run was compared with its siblings, at comparedAt.
	comparedPercent float64
	comparedAt      time.Time
	// load is the load last reported, see winch.Running.
	load float64
	// savedAt is when a new checkpoint was last reported.
	savedAt     time.Time
	evictable   bool      // evictable is set while the run may be stopped for urgent work.
	eviction    *eviction // eviction is set once the run was stopped for urgent work.
	throttle    int       // throttle is the percentage in force, 100 at the start; negative if it is not known.
	throttledAt time.Time
}

// pendingCompletion is a completion that the worker may forget once the job's record includes the
// given number of changes.
type pendingCompletion struct {
	number  uint64
	key     runKey
	job     *job
	changes uint64
	unknown *winch.Completion // unknown is the completion if its job is not known, see awaitJob.
}

// ClosedRun is a run that no longer exists and whose result, if it must be recorded, is in the
// store. Another planner need not know of it.
type ClosedRun struct {
	Worker string
	Task   winch.RunID
	Run    uint64
}

// RunsAt returns the runs that may exist at a worker, and those whose completions are not recorded
// yet: until then only the worker knows their result.
func (p *Planner) RunsAt(id string) []winch.Running {
	var out []winch.Running
	if w := p.workers[id]; w != nil {
		for _, r := range w.runs {
			out = append(out, r.known())
		}
		for _, e := range w.completions {
			out = append(out, winch.Running{Task: e.key.task, Run: e.key.run})
		}
	}
	return out
}

// RunsKnown reports whether all runs that may exist at a worker are known.
func (p *Planner) RunsKnown(id string) bool {
	return !p.roster[id]
}

// AllRunsKnown reports whether all runs that may exist at any worker are known.
func (p *Planner) AllRunsKnown() bool {
	return len(p.roster) == 0
}

// known returns what is passed on about a run: which it is, and whether its boot has listed it.
func (r *run) known() winch.Running {
	x := winch.Running{Task: r.key.task, Run: r.key.run}
	if !r.listed {
		x.Percent = winch.PercentUnlisted
	}
	return x
}

// ClosedRuns returns the runs closed since the last call.
func (p *Planner) ClosedRuns() []ClosedRun {
	p.closeRecorded()
	out := p.closedRuns
	p.closedRuns = nil
	return out
}

// ListedRun is a run that its boot has listed.
type ListedRun struct {
	Worker string
	Task   winch.RunID
	Run    uint64
}

// ListedRuns returns at most limit runs that their boots have listed, that have not ended, and that no earlier call
// has returned.
func (p *Planner) ListedRuns(limit int) (out []ListedRun) {
	for i, r := range p.listedRuns {
		if len(out) == limit {
			p.listedRuns = p.listedRuns[i:]
			return out
		}
		if r.worker.runs[r.key] == r {
			out = append(out, ListedRun{r.worker.vm.ID, r.key.task, r.key.run})
		}
	}
	p.listedRuns = nil
	return out
}

// noteListed records that the boot that a run's start was meant for has listed it.
func (p *Planner) noteListed(r *run) {
	r.confirm()
	if !r.listed {
		r.listed = true
		p.listedRuns = append(p.listedRuns, r)
	}
}

// confirm notes that the run's start is confirmed.
func (r *run) confirm() {
	if !r.started {
		r.started = true
		r.worker.unconfirmed--
	}
}

// closeRun closes a run, unless it crashed its worker and the crash is not recorded yet.
func (p *Planner) closeRun(w *worker, key runKey) {
	if p.crashUnrecorded(w, key) {
		return
	}
	p.closedRuns = append(p.closedRuns, ClosedRun{w.vm.ID, key.task, key.run})
}

// addRun charges a run to the worker and the team.
func (p *Planner) addRun(w *worker, t *task, id winch.RunID, number uint64) *run {
	r := &run{key: runKey{id, number}, task: t, worker: w, since: p.now(), progressedAt: p.now(), throttle: 100}
	if t != nil {
		spec := t.phase.spec
		r.need, r.charge, r.team = spec.Need, spec.Charge(), t.phase.job.team
		r.team.used = r.team.used.Add(r.need)
		t.runs = append(t.runs, r)
		t.phase.job.runs++
		t.latestRun = max(t.latestRun, number)
		t.evicted = false
		t.updateCounts()
		w.countRun(spec, 1)
		if t.phase.countsForShares() {
			r.team.order.running = r.team.order.running.Add(r.need)
		}
		if spec.MostPerVM > 0 {
			t.phase.perWorker = increment(t.phase.perWorker, w, 1)
		}
		r.countRack(true)
	} else {
		// The needs of a run of an unknown job are not known, so it takes all free capacity.
		r.charge = w.free().Positive()
	}
	w.used = w.used.Add(r.charge)
	w.runs[r.key] = r
	w.unconfirmed++
	w.changes++
	w.empty = false
	if w.replaced { // No keeper manages the worker, so no report ends the run.
		p.carried[w] = p.now().Add(NextBootTimeout)
	}
	r.countUrgent(true)
	r.countEvictable(true)
	p.beginProbe(r)
	p.updateReporting(w)
	return r
}

// increment changes a count, of which the map holds none that is zero, and returns the map.
func increment[K comparable](counts map[K]int, key K, by int) map[K]int {
	if counts == nil {
		counts = make(map[K]int)
	}
	if counts[key] += by; counts[key] == 0 {
		delete(counts, key)
	}
	return counts
}

// countRack adds a run that does its task's work to those in its rack if on is set, and otherwise
// removes it.
func (r *run) countRack(on bool) {
	on = on && r.task != nil && r.task.phase.spec.SameRack && !r.stopping
	if on == r.inRack {
		return
	}
	r.inRack = on
	by := -1
	if on {
		by = 1
	}
	s := r.task.phase
	s.racks = increment(s.racks, r.worker.vm.Rack, by)
}

// endRun releases the charges of a run that is guaranteed to have ended; how says why that is known.
func (p *Planner) endRun(r *run, how string) {
	w := r.worker
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	if !r.started {
		w.unconfirmed--
	}
	w.used = w.used.Sub(r.charge)
	w.changes++
	r.countUrgent(false)
	r.countEvictable(false)
	p.evictionEnded(r)
	if r.task == nil {
		return
	}
	w.countRun(r.task.phase.spec, -1)
	if r.task.phase.countsForShares() {
		r.team.order.running = r.team.order.running.Sub(r.need)
	}
	r.task.phase.job.runs--
	if r.task.phase.spec.MostPerVM > 0 {
		increment(r.task.phase.perWorker, w, -1)
	}
	r.countRack(false)
	p.updateReporting(w)
	r.team.used = r.team.used.Sub(r.need)
	r.task.lastEnd = RunEnd{Run: r.key.run, Worker: w.vm.ID, How: how}
	r.task.lastWorkedAt = later(r.task.lastWorkedAt, r.lastActive(p.now()))
	r.task.runs = slices.DeleteFunc(r.task.runs, func(x *run) bool { return x == r })
	p.probeEnded(r)
	r.task.updateCounts()
}

// stopRun sends the order to end a run. Its capacity stays charged until the worker reports the
// completion.
func (p *Planner) stopRun(r *run) {
	if r.stopping {
		return
	}
	r.workedUntil = r.lastActive(p.now())
	r.stopping = true
	r.worker.changes++
	r.countUrgent(false)
	r.countEvictable(false)
	r.countRack(false)
	if r.task != nil {
		r.task.updateCounts()
	}
	p.counts.Stopped++
	p.orders = append(p.orders, proto.Order{Kind: proto.OrderStop, Worker: r.worker.vm.ID, Task: r.key.task, Run: r.key.run})
}

// forgetRecorded lets a worker drop the completions that are recorded.
func (p *Planner) forgetRecorded(w *worker) {
	upTo := w.forgottenUpTo
	for len(w.completions) > 0 {
		e := w.completions[0]
		if e.unknown != nil {
			break
		}
		if e.job != nil && e.job.savedChanges < e.changes && p.jobs[e.job.rec.ID] == e.job {
			break
		}
		upTo = e.number
		p.closeRun(w, e.key)
		w.completions = w.completions[1:]
	}
	if len(w.completions) == 0 {
		delete(p.pendingWorkers, w)
	}
	if upTo > w.forgottenUpTo {
		w.forgottenUpTo = upTo
		p.orderForget(w)
	}
}

// orderForget orders a worker to forget its recorded completions.
func (p *Planner) orderForget(w *worker) {
	p.orders = append(p.orders, proto.Order{Kind: proto.OrderForget, Worker: w.vm.ID, Forget: w.forgottenUpTo})
}
