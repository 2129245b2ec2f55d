package fleet

import (
	"maps"
	"slices"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

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
	// nextBoot is set if this or an earlier planner has known an earlier boot under the same ID. listedAt is when the boot first
	// listed its runs to this planner.
	nextBoot bool
	listedAt time.Time
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
	// unconfirmed counts the runs whose starts are not confirmed.
	unconfirmed int
	// completions holds the completions that were handled and may not be recorded yet, in the order
	// of their numbers. The worker was ordered to forget the ones up to forgottenUpTo.
	completions   []pendingCompletion
	forgottenUpTo uint64
	// fillingMilli is the sum of what the runs of filling tasks (see winch.Phase.Fills) could use, in
	// thousandths of a processor.
	fillingMilli int64
	serving      int // serving counts the runs with a latency target.
	lasting      int // lasting counts the runs of lasting tasks.
	// reportsOften is set while the worker is ordered to report more often.
	reportsOften bool
	// speedFactor is the worker's factor as last taken from the table of speeds; zero if never.
	speedFactor float64
	// loggedFactor is the factor last logged; zero if none was.
	loggedFactor float64
	warmAt       time.Time // warmAt is when the worker is no longer slow after its start.
	// probe is set while nothing else may be started beside a probe.
	probe *suspicion
	// evictable lists the runs that may be stopped for urgent work, in the order of their starts;
	// evictions holds the stops whose capacity is held.
	evictable    []*run
	evictions    []*eviction
	health       health
	releaseAfter time.Time // releaseAfter is when the throttle of filling runs may next be released.
	// reserved is the capacity that the last Schedule reserved for phases of higher rank.
	reserved reservation
	// changes counts the changes of the worker's runs. cachedReleases holds the expected releases
	// computed at cachedReleasesAt, after cachedReleasesChanges changes.
	changes, cachedReleasesChanges uint64
	cachedReleases                 []expectedRelease
	cachedReleasesAt               time.Time
	vmRevision                     uint64 // vmRevision changes with what the worker may run.
	index                          int    // index is the worker's position in the list of workers by ID.
	// markedRound is the markRound in which the worker was last marked, markedAs the mark.
	markedRound uint64
	markedAs    int
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

// SetWorkers sets the platform's list of workers, and returns those that were added. Workers that are missing get no
// new work; their runs stay charged until they are guaranteed to have ended.
func (p *Planner) SetWorkers(list []winch.WorkerVM) (added []string) {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		p.noteBoot(vm)
		w := p.workers[vm.ID]
		var carried []runKey
		nextBoot := w != nil && !w.vm.SameBoot(vm)
		if nextBoot {
			carried = w.unlistedRuns()
			unknown := p.roster[vm.ID]
			p.WorkerLost(vm.ID, true)
			if unknown { // The next boot may yet carry out a start that only an earlier planner knows of.
				p.roster[vm.ID] = true
			}
			delete(p.workers, vm.ID)
			p.dropOrders(vm.ID)
			p.unsorted = true
			p.speeds.table.Rebooted(vm.ID)
			w = nil
		}
		if w == nil {
			w = &worker{planner: p, runs: make(map[runKey]*run), empty: !p.roster[vm.ID], nextBoot: nextBoot}
			p.workers[vm.ID] = w
			p.unsorted = true
			added = append(added, vm.ID)
		}
		w.replaced = w.replaced && w.vm.Born == vm.Born
		if w.vm.ColdLeft != vm.ColdLeft {
			w.warmAt = p.now().Add(vm.ColdLeft)
		}
		if w.vm.Service != vm.Service || w.vm.Room != vm.Room || !slices.Equal(w.vm.Labels, vm.Labels) {
			p.vmRevisions++
			w.vmRevision = p.vmRevisions
		}
		w.vm = vm
		p.carryOver(w, carried)
		if w.speedFactor == 0 {
			p.updateSpeed(w, p.now())
		}
		w.removed = false
		w.updateContact()
	}
	for id, w := range p.workers {
		if listed[id] {
			continue
		}
		w.removed = true
		w.updateContact()
		if len(w.runs) == 0 && len(w.completions) == 0 && (w.ready || w.empty) {
			delete(p.workers, id)
			p.unsorted = true
		}
	}
	return added
}

// unlistedRuns returns the runs that their boot has not listed. Their starts may be on their way, or another boot may have
// confirmed them.
func (w *worker) unlistedRuns() (out []runKey) {
	for key, r := range w.runs {
		if !r.listed {
			out = append(out, key)
		}
	}
	return out
}

// unconfirmedRuns returns the runs whose starts nobody has confirmed. A keeper that has found another boot has stopped
// those that it had confirmed, but not seen in the lists.
func (w *worker) unconfirmedRuns() (out []runKey) {
	for _, key := range w.unlistedRuns() {
		if !w.runs[key].started {
			out = append(out, key)
		}
	}
	return out
}

// carryOver keeps runs whose starts may reach the next boot of their worker until that boot has listed its runs: its lists
// come under a higher fencing token, after which no such start takes effect.
func (p *Planner) carryOver(w *worker, runs []runKey) {
	for _, key := range runs {
		t, known := p.task(key.task), p.jobs[key.task.Job] != nil
		if known && (t == nil || t.done || t.phase.job.state.Final()) {
			continue
		}
		p.workers[w.vm.ID], p.unsorted = w, true // It may have left the list before its next boot was found.
		closed := ClosedRun{w.vm.ID, key.task, key.run}
		p.closedRuns = slices.DeleteFunc(p.closedRuns, func(x ClosedRun) bool { return x == closed })
		r := p.addRun(w, t, key.task, key.run)
		if !known {
			p.awaitJob(key.task.Job, w)
			continue
		}
		p.stopRun(r)
	}
}

// NextBootTimeout is how long a start that was meant for a replaced boot is waited for if the list does not name the next
// one: longer than any lease.
const NextBootTimeout = 8 * time.Second

// endCarried ends the runs at replaced boots for which the list has not named the next one in time, or names a later boot
// under another ID at the address, which refuses their starts.
func (p *Planner) endCarried(now time.Time) {
	if len(p.carried) == 0 {
		return
	}
	latest := make(map[string]winch.WorkerVM, len(p.workers))
	for _, w := range p.workers {
		if w.vm.Born > latest[w.vm.Address].Born {
			latest[w.vm.Address] = w.vm
		}
	}
	for w, until := range p.carried {
		next := latest[w.vm.Address]
		refused := next.ID != w.vm.ID && next.Born > w.vm.Born
		if p.workers[w.vm.ID] == w && w.replaced && now.Before(until) && !refused {
			continue
		}
		delete(p.carried, w)
		if p.workers[w.vm.ID] == w && w.replaced {
			p.WorkerLost(w.vm.ID, false)
		}
	}
}

// dropOrders drops the orders for a boot that has ended. Numbers of completions in them mean others at the next boot.
func (p *Planner) dropOrders(id string) {
	p.orders = slices.DeleteFunc(p.orders, func(o proto.Order) bool { return o.Worker == id })
}

// Empty reports whether a worker is guaranteed to run nothing.
func (p *Planner) Empty(id string) bool {
	w := p.workers[id]
	return w != nil && w.empty
}

// NextBoot reports whether a call for an earlier boot under the ID of a worker may have an effect there. Once the boot has
// listed its runs it refuses such calls, and what they have granted ends within NextBootTimeout.
func (p *Planner) NextBoot(id string) bool {
	w := p.workers[id]
	return w != nil && w.nextBoot && (w.listedAt.IsZero() || p.now().Sub(w.listedAt) < NextBootTimeout)
}

// SetNextBoot marks a boot that an earlier planner, or a keeper, found to be a next one.
func (p *Planner) SetNextBoot(id string) {
	if w := p.workers[id]; w != nil {
		w.nextBoot, w.listedAt = true, time.Time{}
	}
}

// WorkerVM returns the boot of a worker that the planner knows, also of one that has left the list.
func (p *Planner) WorkerVM(id string) (winch.WorkerVM, bool) {
	if w := p.workers[id]; w != nil {
		return w.vm, true
	}
	return winch.WorkerVM{}, false
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
		p.noteEarlier(id, EarlierWaitOver)
		p.WorkerLost(id, false)
	}
	return false
}

// awaitsEarlier reports whether some workers used by an earlier planner have not listed their
// runs, and these are not guaranteed to have ended. If this planner may have lost the office,
// another planner may use those workers.
func (p *Planner) awaitsEarlier(now time.Time) bool {
	return len(p.roster) > 0 && (now.Before(p.Barrier) || !p.LeaseExpiry.IsZero())
}

// Unresponsive reports whether a worker gets no work because it does not respond, and whether it
// responds again.
func (p *Planner) Unresponsive(id string) (unresponsive, respondsAgain bool) {
	if w := p.workers[id]; w != nil {
		return w.unresponsive, w.respondsAgain
	}
	return false, false
}

// GetsNoWork reports whether nothing is started at a worker because it does not respond, or another boot does.
func (p *Planner) GetsNoWork(id string) bool {
	w := p.workers[id]
	return w != nil && (w.replaced || w.unresponsive && !w.respondsAgain)
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

// ReplacedWorkers returns the VMs at whose addresses another boot was found that the list does not name yet.
func (p *Planner) ReplacedWorkers() (out []winch.WorkerVM) {
	for _, w := range p.workers {
		if w.replaced {
			out = append(out, w.vm)
		}
	}
	return out
}

// WorkerIDs returns the IDs of all workers that the planner knows, also of those that are not to be held.
func (p *Planner) WorkerIDs() []string {
	return slices.Collect(maps.Keys(p.workers))
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

// WorkerLost notes that all runs at a worker are guaranteed to have ended. crashed means that its
// boot is known to have ended.
func (p *Planner) WorkerLost(id string, crashed bool) {
	how, known := endLost, EarlierExpired
	if crashed {
		how, known = endReplaced, EarlierReplaced
	}
	p.noteEarlier(id, known)
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
		p.endRun(r, how)
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
