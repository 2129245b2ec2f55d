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
	started  bool
	stopping bool
	urgent   bool // urgent is set while the run counts as running urgent work.
	adopted  bool // adopted is set if an earlier planner started the run.
	// probe is set if the run is a probe, which tests whether a suspect task crashes its worker.
	probe *suspicion
	// since is when the start was ordered or, once started is set, when it was confirmed.
	since time.Time
	// workedUntil is when a run that is being stopped was last known to do its task's work.
	workedUntil time.Time
	// percent is the progress last reported, progressedAt when it last changed.
	percent      float64
	progressedAt time.Time
	// basePercent is the first progress reported, at baseAt.
	basePercent float64
	baseAt      time.Time
	// load is the load last reported, see winch.Running.
	load        float64
	throttle    int // throttle is the percentage in force, 100 at the start; negative if it is not known.
	throttledAt time.Time
}

// worker is one boot of a worker VM.
type worker struct {
	planner *Planner
	vm      winch.WorkerVM
	used    winch.Capacity
	// ready is set once the worker's lists of runs and completions were received in this session.
	ready bool
	// removed is set if the worker is no longer in the platform's list.
	removed bool
	// replaced is set if another boot responds at the worker's address. The platform's list names
	// the new boot later; until then every call to the old one would be refused.
	replaced bool
	// unresponsive is set while the worker gets no work because it did not respond. respondsAgain
	// is set once it responds again; it gets work after SetResponsive.
	unresponsive, respondsAgain bool
	// unresponsiveSince is when contact with the worker was lost; zero while it is responsive.
	unresponsiveSince time.Time
	// lastContact is when the last report arrived that shows that the boot was alive.
	lastContact time.Time
	// empty is set if the worker is guaranteed to run nothing: the boot is new to the region, or
	// all its runs have ended, and nothing was ordered since.
	empty bool
	runs  map[runKey]*run
	// completions holds the completions that are not recorded yet, in the order of their numbers.
	completions []pendingCompletion
	// lastCompletion is the highest completion number received, forgottenUpTo the highest one that
	// the worker was ordered to forget.
	lastCompletion uint64
	forgottenUpTo  uint64
	// fillingMilli is the sum of what the runs of filling tasks (see winch.Phase.Fills) could use, in
	// thousandths of a processor.
	fillingMilli int64
	serving      int // serving counts the runs with a latency target.
	lasting      int // lasting counts the runs of lasting tasks.
	// reportsOften is set while the worker is ordered to report more often.
	reportsOften bool
	// probe is set while nothing else may be started beside a probe.
	probe        *suspicion
	health       health
	releaseAfter time.Time // releaseAfter is when the throttle of filling runs may next be released.
	// reserved is the capacity that the last Schedule reserved for phases of higher rank.
	reserved reservation
	// changes counts the changes of the worker's runs. cachedReleases holds the expected releases
	// computed at cachedReleasesAt, after cachedReleasesChanges changes.
	changes, cachedReleasesChanges uint64
	cachedReleases                 []expectedRelease
	cachedReleasesAt               time.Time
	index                          int // index is the worker's position in the list of workers by ID.
	// markedRound is the markRound in which the worker was last marked, markedAs the mark.
	markedRound uint64
	markedAs    int
}

// pendingCompletion is a completion that the worker may forget once the job's record includes the
// given number of changes.
type pendingCompletion struct {
	number  uint64
	key     runKey
	job     *job
	changes uint64
}

// ClosedRun is a run that no longer exists and whose result, if it must be recorded, is in the
// store. Another planner need not know of it.
type ClosedRun struct {
	Worker string
	Task   winch.RunID
	Run    uint64
}

func (w *worker) free() winch.Capacity {
	return w.vm.Room.Sub(w.used)
}

// usable reports whether the worker may be given work.
func (w *worker) usable() bool {
	return w.available() && !w.evacuated()
}

// available reports whether the worker may be given work as far as it depends on the worker itself.
func (w *worker) available() bool {
	return w.ready && !w.unresponsive && !w.removed && !w.vm.Draining
}

// SetWorkers sets the platform's list of workers. Workers that are missing get no new work; their
// runs stay charged until they are guaranteed to have ended.
func (p *Planner) SetWorkers(list []winch.WorkerVM) {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		p.noteBoot(vm)
		w := p.workers[vm.ID]
		if w != nil && w.vm.Born != vm.Born && vm.Born != 0 {
			p.WorkerLost(vm.ID, true)
			delete(p.workers, vm.ID)
			p.unsorted = true
			w = nil
		}
		if w == nil {
			w = &worker{planner: p, runs: make(map[runKey]*run), empty: !p.roster[vm.ID]}
			p.workers[vm.ID] = w
			p.unsorted = true
		}
		w.replaced = w.replaced && w.vm.Born == vm.Born
		w.vm = vm
		w.removed = false
		w.updateContact()
	}
	for id, w := range p.workers {
		if listed[id] {
			continue
		}
		w.removed = true
		w.updateContact()
		if len(w.runs) == 0 && (w.ready || w.empty) {
			delete(p.workers, id)
			p.unsorted = true
		}
	}
}

// Empty reports whether a worker is guaranteed to run nothing.
func (p *Planner) Empty(id string) bool {
	w := p.workers[id]
	return w != nil && w.empty
}

// SetRemoved adds workers that earlier planners may have used and that are no longer in the
// platform's list: work may still run there.
func (p *Planner) SetRemoved(vms []winch.WorkerVM) {
	for _, vm := range vms {
		if p.workers[vm.ID] == nil && p.roster[vm.ID] {
			p.workers[vm.ID] = &worker{planner: p, vm: vm, removed: true, runs: make(map[runKey]*run), unresponsiveSince: p.now()}
			p.unsorted = true
		}
	}
}

// SetRoster sets the workers that earlier planners may have used.
func (p *Planner) SetRoster(ids []string) {
	for _, id := range ids {
		p.roster[id] = true
	}
}

// Adopting reports whether unknown work of an earlier planner may still run.
func (p *Planner) Adopting() bool {
	if p.awaitsEarlier(p.now()) {
		return true
	}
	for id := range p.roster {
		p.WorkerLost(id, false)
	}
	clear(p.roster)
	return false
}

// awaitsEarlier reports whether some workers used by an earlier planner have not listed their
// runs, and these are not guaranteed to have ended. If this planner may have lost the office,
// another planner may use those workers.
func (p *Planner) awaitsEarlier(now time.Time) bool {
	return len(p.roster) > 0 && (now.Before(p.Barrier) || !p.LeaseExpiry.IsZero())
}

// RunsAt returns the runs that may exist at a worker, and those whose completions are not recorded
// yet: until then only the worker knows their result.
func (p *Planner) RunsAt(id string) []winch.Running {
	var out []winch.Running
	if w := p.workers[id]; w != nil {
		for key := range w.runs {
			out = append(out, winch.Running{Task: key.task, Run: key.run})
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

// Unresponsive reports whether a worker gets no work because it does not respond, and whether it
// responds again.
func (p *Planner) Unresponsive(id string) (unresponsive, respondsAgain bool) {
	if w := p.workers[id]; w != nil {
		return w.unresponsive, w.respondsAgain
	}
	return false, false
}

// SetUnresponsive marks a worker as one that gets no work until SetResponsive.
func (p *Planner) SetUnresponsive(id string) {
	if w := p.workers[id]; w != nil {
		w.unresponsive = true
		w.updateContact()
	}
}

// SetResponsive lets a worker that responds again get work.
func (p *Planner) SetResponsive(id string) {
	if w := p.workers[id]; w != nil {
		w.unresponsive = false
		w.updateContact()
	}
}

// ClosedRuns returns the runs closed since the last call.
func (p *Planner) ClosedRuns() []ClosedRun {
	p.closeRecorded()
	out := p.closedRuns
	p.closedRuns = nil
	return out
}

// closeRun closes a run, unless it crashed its worker and the crash is not recorded yet.
func (p *Planner) closeRun(w *worker, key runKey) {
	if p.crashUnrecorded(w, key) {
		return
	}
	p.closedRuns = append(p.closedRuns, ClosedRun{w.vm.ID, key.task, key.run})
}

// WorkersToHold returns the VMs of the workers whose leases must be renewed by the call hold.
func (p *Planner) WorkersToHold() []winch.WorkerVM {
	out := make([]winch.WorkerVM, 0, len(p.workers))
	for _, w := range p.workers {
		if !w.replaced {
			out = append(out, w.vm)
		}
	}
	return out
}

// SetUnready marks workers whose keeper is lost: nothing is started there until their lists have
// been received again.
func (p *Planner) SetUnready(ids []string) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.ready = false
			w.updateContact()
		}
	}
}

// addRun charges a run to the worker and the team.
func (p *Planner) addRun(w *worker, t *task, id winch.RunID, number uint64) *run {
	r := &run{key: runKey{id, number}, task: t, worker: w, since: p.now(), progressedAt: p.now(), throttle: 100}
	if t != nil {
		spec := t.phase.spec
		r.need, r.charge, r.team = spec.Need, spec.Charge(), t.phase.job.team
		r.team.used = r.team.used.Add(r.need)
		t.runs = append(t.runs, r)
		t.updateCounts()
		w.countRun(spec, 1)
	} else {
		// The needs of a run of an unknown job are not known, so it takes all free capacity.
		r.charge = w.free().Positive()
	}
	w.used = w.used.Add(r.charge)
	w.runs[r.key] = r
	w.changes++
	w.empty = false
	r.countUrgent(true)
	p.beginProbe(r)
	p.updateReporting(w)
	return r
}

// updateReporting makes a worker report more often while it has runs of filling tasks beside runs with
// a latency target, and while a probe runs.
func (p *Planner) updateReporting(w *worker) {
	often := w.serving > 0 && w.fillingMilli > 0 || w.probe != nil
	if often != w.reportsOften {
		w.reportsOften = often
		p.orders = append(p.orders, proto.Order{Kind: proto.OrderReportRate, Worker: w.vm.ID, Closely: often})
	}
}

// countRun updates the worker's totals for n runs of a phase that start or, if n is negative, end.
func (w *worker) countRun(spec *winch.Phase, n int) {
	if spec.Fills {
		w.fillingMilli += int64(n) * spec.Need.Milli
	}
	if spec.Target > 0 {
		w.serving += n
	}
	if spec.Lasting {
		w.lasting += n
	}
}

// endRun releases the charges of a run that is guaranteed to have ended.
func (p *Planner) endRun(r *run) {
	w := r.worker
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	w.used = w.used.Sub(r.charge)
	w.changes++
	r.countUrgent(false)
	if r.task == nil {
		return
	}
	w.countRun(r.task.phase.spec, -1)
	p.updateReporting(w)
	r.team.used = r.team.used.Sub(r.need)
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
		p.orders = append(p.orders, proto.Order{Kind: proto.OrderForget, Worker: w.vm.ID, Forget: upTo})
	}
}

// WorkerLost notes that all runs at a worker are guaranteed to have ended. crashed means that its
// boot is known to have ended.
func (p *Planner) WorkerLost(id string, crashed bool) {
	delete(p.roster, id)
	w := p.workers[id]
	if w == nil {
		return
	}
	p.noteLoss(w, crashed)
	p.rememberBoot(w, crashed)
	w.ready = false
	defer w.updateContact()
	for _, r := range w.runs {
		p.counts.Lost++
		p.endRun(r)
		p.closeRun(w, r.key)
		if r.task != nil {
			p.gangMemberFailed(r)
		}
	}
	for _, e := range w.completions {
		p.closeRun(w, e.key)
	}
	w.completions = nil
	delete(p.pendingWorkers, w)
	w.empty = true
	if w.removed {
		delete(p.workers, id)
		p.unsorted = true
	}
}
