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
	need   winch.Room // need is charged to the team, charge to the worker.
	charge winch.Room
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
	until time.Time
	// percent is the progress last reported, progressedAt the time of its last change.
	percent float64
	moved   time.Time
	// basePercent is the first progress reported, at baseAt.
	base   float64
	baseAt time.Time
	// load is the load last reported, see winch.Running.
	load    float64
	pace    int // throttle is the percentage in force, 100 at the start; negative if it is not known.
	pacedAt time.Time
}

// worker is one boot of a worker VM.
type worker struct {
	planner *Planner
	vm      winch.WorkerVM
	used    winch.Room
	// ready is set once the worker's lists of runs and completions were received in this session.
	ready bool
	// removed is set if the worker is no longer in the platform's list.
	gone bool
	// replaced is set if another boot responds at the worker's address. The platform's list names
	// the new boot later; until then every call to the old one would be refused.
	over bool
	// unresponsive is set while the worker gets no work because it did not respond. respondsAgain
	// is set once it responds again; it gets work after SetResponsive.
	quiet, answers bool
	// unresponsiveSince is when contact with the worker was lost; zero while it is responsive.
	silent time.Time
	// lastContact is when the last report arrived that shows that the boot was alive.
	told time.Time
	// empty is set if the worker is guaranteed to run nothing: the boot is new to the region, or
	// all its runs have ended, and nothing was ordered since.
	empty bool
	runs  map[runKey]*run
	// completions holds the completions that are not recorded yet, in the order of their numbers.
	ends []endMark
	// lastCompletion is the highest completion number received, forgottenUpTo the highest one that
	// the worker was ordered to forget.
	lastEnd uint64
	forgot  uint64
	fills   int64 // fillMilli is the sum of what backfill runs could use, in thousandths of a processor.
	serving int   // serving counts the runs with a latency target.
	lasting int   // lasting counts the runs of lasting tasks.
	// reportsOften is set while the worker is ordered to report more often.
	closely bool
	// probe is set while nothing else may be started beside a probe.
	probe    *suspicion
	health   health
	heldBack time.Time // raiseAfter is the earliest time at which the throttle of backfill runs may be raised.
	// reserved is the capacity that the last Schedule reserved for phases of higher rank.
	kept reservation
	// changes counts the changes of the worker's runs. expectedEnds is a cache of the expected
	// ends, computed at expectedAt after expectedOf changes.
	changes, endsOf uint64
	expects         []expectedEnd
	endsAt          time.Time
	order           int // index is the worker's position in the list of workers by ID.
	// mark is the number of the last search that marked the worker, markedAs the mark.
	mark     uint64
	markedAs int
}

// pendingCompletion is a completion that the worker may forget once the job's record has reached
// changes.
type endMark struct {
	number  uint64
	key     runKey
	job     *job
	changes uint64
}

// ClosedRun is a run that no longer exists and whose result, if it must be recorded, is in the
// store. Another planner need not know of it.
type Gone struct {
	Worker string
	Task   winch.RunID
	Run    uint64
}

func (w *worker) free() winch.Room {
	return w.vm.Room.Sub(w.used)
}

// usable reports whether the worker may be given work.
func (w *worker) usable() bool {
	return w.ready && !w.quiet && !w.gone && !w.vm.Draining
}

// SetWorkers sets the platform's list of workers. Workers that are missing get no new work; their
// runs stay charged until they are guaranteed to have ended.
func (p *Planner) SetWorkers(list []winch.WorkerVM) {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		p.bootSeen(vm)
		w := p.workers[vm.ID]
		if w != nil && w.vm.Born != vm.Born && vm.Born != 0 {
			p.Lost(vm.ID, true)
			delete(p.workers, vm.ID)
			p.unsorted = true
			w = nil
		}
		if w == nil {
			w = &worker{planner: p, runs: make(map[runKey]*run), empty: !p.roster[vm.ID]}
			p.workers[vm.ID] = w
			p.unsorted = true
		}
		w.over = w.over && w.vm.Born == vm.Born
		w.vm = vm
		w.gone = false
		w.noteSilence()
	}
	for id, w := range p.workers {
		if listed[id] {
			continue
		}
		w.gone = true
		w.noteSilence()
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
func (p *Planner) SetGone(vms []winch.WorkerVM) {
	for _, vm := range vms {
		if p.workers[vm.ID] == nil && p.roster[vm.ID] {
			p.workers[vm.ID] = &worker{planner: p, vm: vm, gone: true, runs: make(map[runKey]*run), silent: p.now()}
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
		p.Lost(id, false)
	}
	clear(p.roster)
	return false
}

// awaitsEarlier reports whether some workers used by an earlier planner have not listed their
// runs, and these are not guaranteed to have ended. If this planner may have lost the office,
// another planner may use those workers.
func (p *Planner) awaitsEarlier(now time.Time) bool {
	return len(p.roster) > 0 && (now.Before(p.Barrier) || !p.KnownBefore.IsZero())
}

// RunsAt returns the runs that may exist at a worker, and those whose completions are not recorded
// yet: until then only the worker knows their result.
func (p *Planner) RunsAt(id string) []winch.Running {
	var out []winch.Running
	if w := p.workers[id]; w != nil {
		for key := range w.runs {
			out = append(out, winch.Running{Task: key.task, Run: key.run})
		}
		for _, e := range w.ends {
			out = append(out, winch.Running{Task: e.key.task, Run: e.key.run})
		}
	}
	return out
}

// RunsKnown reports whether all runs that may exist at a worker are known.
func (p *Planner) Heard(id string) bool {
	return !p.roster[id]
}

// AllRunsKnown reports whether all runs that may exist at any worker are known.
func (p *Planner) AllHeard() bool {
	return len(p.roster) == 0
}

// Unresponsive reports whether a worker gets no work because it does not respond, and whether it
// responds again.
func (p *Planner) Quiet(id string) (unresponsive, respondsAgain bool) {
	if w := p.workers[id]; w != nil {
		return w.quiet, w.answers
	}
	return false, false
}

// SetUnresponsive marks a worker as one that gets no work until SetResponsive.
func (p *Planner) SetQuiet(id string) {
	if w := p.workers[id]; w != nil {
		w.quiet = true
		w.noteSilence()
	}
}

// SetResponsive lets a worker that responds again get work.
func (p *Planner) Awake(id string) {
	if w := p.workers[id]; w != nil {
		w.quiet = false
		w.noteSilence()
	}
}

// ClosedRuns returns the runs closed since the last call.
func (p *Planner) Gone() []Gone {
	p.noteRecorded()
	out := p.gone
	p.gone = nil
	return out
}

// closeRun closes a run, unless it crashed its worker and the crash is not recorded yet.
func (p *Planner) noteGone(w *worker, key runKey) {
	if p.waitsForRecord(w, key) {
		return
	}
	p.gone = append(p.gone, Gone{w.vm.ID, key.task, key.run})
}

// WorkersToHold returns the VMs of the workers whose leases must be renewed by the call hold.
func (p *Planner) Held() []winch.WorkerVM {
	out := make([]winch.WorkerVM, 0, len(p.workers))
	for _, w := range p.workers {
		if !w.over {
			out = append(out, w.vm)
		}
	}
	return out
}

// SetUnready marks workers whose keeper is lost: nothing is started there until their lists have
// been received again.
func (p *Planner) Unready(ids []string) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.ready = false
			w.noteSilence()
		}
	}
}

// addRun charges a run to the worker and the team.
func (p *Planner) addRun(w *worker, t *task, id winch.RunID, number uint64) *run {
	r := &run{key: runKey{id, number}, task: t, worker: w, since: p.now(), moved: p.now(), pace: 100}
	if t != nil {
		spec := t.step.spec
		r.need, r.charge, r.team = spec.Need, spec.Charge(), t.step.job.team
		r.team.used = r.team.used.Add(r.need)
		t.runs = append(t.runs, r)
		t.recount()
		w.count(spec, 1)
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
	p.watch(w)
	return r
}

// updateReporting makes a worker report more often while backfill runs beside tasks with a latency
// target, and while a probe runs.
func (p *Planner) watch(w *worker) {
	closely := w.serving > 0 && w.fills > 0 || w.probe != nil
	if closely != w.closely {
		w.closely = closely
		p.orders = append(p.orders, proto.Order{Kind: proto.OrderLook, Worker: w.vm.ID, Closely: closely})
	}
}

// countRun updates the worker's totals for n runs of a phase that start or, if n is negative, end.
func (w *worker) count(spec *winch.Phase, n int) {
	if spec.Fills {
		w.fills += int64(n) * spec.Need.Milli
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
	w.count(r.task.step.spec, -1)
	p.watch(w)
	r.team.used = r.team.used.Sub(r.need)
	r.task.seen = later(r.task.seen, r.seen(p.now()))
	r.task.runs = slices.DeleteFunc(r.task.runs, func(x *run) bool { return x == r })
	p.probeEnded(r)
	r.task.recount()
}

// stopRun sends the order to end a run. Its capacity stays charged until the worker reports the
// completion.
func (p *Planner) stop(r *run) {
	if r.stopping {
		return
	}
	r.until = r.seen(p.now())
	r.stopping = true
	r.worker.changes++
	r.countUrgent(false)
	if r.task != nil {
		r.task.recount()
	}
	p.counts.Stopped++
	p.orders = append(p.orders, proto.Order{Kind: proto.OrderStop, Worker: r.worker.vm.ID, Task: r.key.task, Run: r.key.run})
}

// forgetRecorded lets a worker drop the completions that are recorded.
func (p *Planner) forget(w *worker) {
	upTo := w.forgot
	for len(w.ends) > 0 {
		e := w.ends[0]
		if e.job != nil && e.job.saved < e.changes && p.jobs[e.job.rec.ID] == e.job {
			break
		}
		upTo = e.number
		p.noteGone(w, e.key)
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 {
		delete(p.ending, w)
	}
	if upTo > w.forgot {
		w.forgot = upTo
		p.orders = append(p.orders, proto.Order{Kind: proto.OrderForget, Worker: w.vm.ID, Forget: upTo})
	}
}

// WorkerLost notes that all runs at a worker are guaranteed to have ended. crashed means that its
// boot is known to have ended.
func (p *Planner) Lost(id string, crashed bool) {
	delete(p.roster, id)
	w := p.workers[id]
	if w == nil {
		return
	}
	p.noteLoss(w, crashed)
	p.rememberBoot(w, crashed)
	w.ready = false
	defer w.noteSilence()
	for _, r := range w.runs {
		p.counts.Lost++
		p.endRun(r)
		p.noteGone(w, r.key)
		if r.task != nil {
			p.gangBroken(r)
		}
	}
	for _, e := range w.ends {
		p.noteGone(w, e.key)
	}
	w.ends = nil
	delete(p.ending, w)
	w.empty = true
	if w.gone {
		delete(p.workers, id)
		p.unsorted = true
	}
}
