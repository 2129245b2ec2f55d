package region

import (
	"sync"
	"time"

	"plantainwinch/winch"
)

// simWorker is one boot of a worker VM.
type simWorker struct {
	vm       winch.WorkerVM
	mu       sync.Mutex
	bootedAt time.Time
	// clockStart is what the worker's monotonic clock showed when the boot began.
	clockStart time.Duration
	// clockDrift is the fraction by which the worker's monotonic clock is slower than the entries'.
	clockDrift   float64
	token        uint64        // token is the highest fencing token seen.
	leaseUntil   time.Duration // leaseUntil is when the lease expires, on the worker's clock.
	runs         map[runKey]*simRun
	highestRun   map[winch.RunID]uint64 // highestRun is the highest run that has ended or was stopped, by task.
	ended        []winch.Completion     // ended holds the completions that no entry has acknowledged.
	lastEnded    uint64                 // lastEnded is the number of the last completion.
	starts       int                    // starts counts the runs that were started.
	usedMilli    int64                  // usedMilli is the part of Room.Milli that the runs use.
	unresponsive bool                   // unresponsive makes calls time out without being carried out.
	// losesResponses makes calls time out though they are carried out.
	losesResponses bool
	// terminated says that the boot has ended: nothing runs there any more.
	terminated bool
	// leaseExpiries counts how often the lease has expired; leaseExpired says that it has expired now.
	leaseExpiries int
	leaseExpired  bool
	// drainingSince is when the worker announced that it leaves; zero if it has not.
	drainingSince time.Time
	// refusesConnections says that connections are refused once the boot has ended; otherwise
	// calls time out.
	refusesConnections bool
	// shrunkSince is when the worker's capacity was reduced; zero if it has all of it.
	shrunkSince time.Time
	unnamed     bool // unnamed says that neither the worker's record nor its lists name the start of its boot.
	// onContact, if set, is called before the next call is carried out, with both locks held.
	onContact func()
}

// runKey identifies a run of a task.
type runKey struct {
	task winch.RunID
	run  uint64
}

// simRun is a run at a worker.
type simRun struct {
	end   time.Time // end is when the run ends by itself; zero if it runs until it is stopped.
	fails bool      // fails says that the run ends in failure.
	milli int64     // milli is the part of the worker's Room.Milli that the run uses.
	gang  *simGang  // gang is nil for a run that does not belong to a gang.
	fills bool      // fills says that the run uses processor time that others leave idle.
	saves *simSaves // saves is nil for a run that does not save its progress.
	// startedAt is when the run started, if it reports its progress.
	startedAt time.Time
}

// simGang is a run of a gang, whose members may be at several workers.
type simGang struct {
	size, present int
	// end is when all members end; zero until all are present.
	end time.Time
	// broken says that a member has ended without success.
	broken bool
}

const (
	// taskMilli is the processor need of each simulated task, in thousandths.
	taskMilli = 1000
	// taskDuration is how long a simulated task runs.
	taskDuration = 400 * time.Millisecond
)

// addWorker starts a worker whose address is its ID.
func (w *world) addWorker(id, domain string) {
	w.bootWorker(simVM(id, id, domain), 0)
}

// simVM returns the record of a worker VM that has slots for four simulated tasks.
func simVM(id, address, domain string) winch.WorkerVM {
	return winch.WorkerVM{
		ID: id, Address: address, Service: "render", Domain: domain, Rack: "r" + domain,
		Room: winch.Capacity{Milli: 4000, Memory: 1 << 40},
	}
}

// vm returns the record of a worker VM of the size that the scenario uses.
func (w *world) vm(id, address, domain string) winch.WorkerVM {
	vm := simVM(id, address, domain)
	if w.workerMilli > 0 {
		vm.Room.Milli = w.workerMilli
	}
	return vm
}

// bootWorker starts a worker process and lists its record. It replaces earlier boots with the same
// address or ID.
func (w *world) bootWorker(vm winch.WorkerVM, clockDrift float64) {
	w.mu.Lock()
	w.bootCount++
	vm.Born = w.bootCount
	x := w.newBoot(vm, clockStart(w.bootCount), clockDrift)
	w.mu.Unlock()
	w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
	w.group.Go(func() { x.endDueRuns(w) })
}

// bootUnnamed starts a worker that does not name the start of its boot and whose clock shows a time.
func (w *world) bootUnnamed(vm winch.WorkerVM, clock time.Duration) *simWorker {
	w.mu.Lock()
	w.bootCount++
	vm.Born = w.bootCount
	x := w.newBoot(vm, clock, 0)
	x.unnamed = true
	w.mu.Unlock()
	vm.Born = 0
	w.setStore(func(s *simStore) { s.put("workers/"+vm.ID, mustJSON(vm), 0) })
	w.group.Go(func() { x.endDueRuns(w) })
	return x
}

// newBoot returns a boot that responds at its address from now on. The world's mutex is held.
func (w *world) newBoot(vm winch.WorkerVM, clock time.Duration, clockDrift float64) *simWorker {
	x := &simWorker{vm: vm, bootedAt: time.Now(), clockStart: clock, clockDrift: clockDrift, runs: make(map[runKey]*simRun), highestRun: make(map[winch.RunID]uint64)}
	w.workers[vm.ID], w.addresses[vm.Address] = x, x
	return x
}

// updateLease reports whether the lease has expired, and counts each expiry.
func (x *simWorker) updateLease() bool {
	expired := x.clock() > x.leaseUntil
	if expired && !x.leaseExpired {
		x.leaseExpiries++
	}
	x.leaseExpired = expired
	return expired
}

// completedRun is a run that has succeeded.
type completedRun struct {
	run           uint64
	worker        *simWorker
	leaseExpiries int // leaseExpiries is the worker's count of lease expiries when the run ended.
	// startsAfter counts the starts of the task after this run, restarted says that there were more than allowed.
	startsAfter int
	restarted   bool
}

// clockStart returns what the clock of a boot shows when it begins, which is never negative. The clocks of two boots of a VM are not
// related.
func clockStart(boot int64) time.Duration {
	const longest = 7200
	return time.Duration((boot*2_654_435_761%longest+longest)%longest) * time.Second
}

// clock returns the time on the worker's monotonic clock.
func (x *simWorker) clock() time.Duration {
	since := time.Since(x.bootedAt)
	return x.clockStart + since - time.Duration(x.clockDrift*float64(since))
}

// setUnresponsive makes a worker stop responding to calls, or respond again.
func (w *world) setUnresponsive(id string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unresponsive = down
}

// endDueRuns ends each run when its time has come, and all runs when the lease expires. It returns
// once the boot has ended.
func (x *simWorker) endDueRuns(w *world) {
	for terminated := false; !terminated && w.ctx.Err() == nil; {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		x.mu.Lock()
		terminated = x.terminated
		now := time.Now()
		expired := x.updateLease()
		for key, r := range x.runs {
			switch {
			case r.gang != nil:
				r.gang.endDueRun(w, x, key, r, expired, now)
			case expired:
				x.endRun(w, key, winch.CompletionLeaseExpired)
			case r.saves != nil && r.saves.stopped(now):
				x.endRun(w, key, winch.CompletionStopped)
			case r.end.IsZero():
			case now.After(r.end) && r.fails:
				x.endRun(w, key, winch.CompletionFailed)
			case now.After(r.end):
				x.endRun(w, key, winch.CompletionDone)
			}
		}
		x.mu.Unlock()
		w.mu.Unlock()
	}
}

// endRun ends a run and adds its completion to the list that entries read. Both locks are held.
func (x *simWorker) endRun(w *world, key runKey, kind winch.CompletionKind) {
	r := x.runs[key]
	delete(x.runs, key)
	x.usedMilli -= r.milli
	x.highestRun[key.task] = max(x.highestRun[key.task], key.run)
	// A run counts as running until it ends here: at an unresponsive worker it goes on until the lease
	// expires.
	w.running[key.task]--
	w.lasting.runEnded(key.task)
	if r.gang != nil && kind != winch.CompletionDone {
		r.gang.broken = true
	}
	if kind == winch.CompletionDone {
		w.completed[key.task] = append(w.completed[key.task], &completedRun{run: key.run, worker: x, leaseExpiries: x.leaseExpiries})
	}
	if kind == winch.CompletionFailed {
		w.failed[key.task]++
	}
	x.lastEnded++
	x.ended = append(x.ended, winch.Completion{Number: x.lastEnded, Task: key.task, Run: key.run, Kind: kind, Checkpoint: r.saves.checkpoint(kind)})
}

// fence rejects a call whose fencing token is lower than one seen before.
func (x *simWorker) fence(token uint64) error {
	if token < x.token {
		return winch.ErrFenced
	}
	x.token = token
	return nil
}

// maxWorkerLease is the longest lease that a worker grants, whatever a call asks for.
const maxWorkerLease = 6 * time.Second

// extendLease extends the lease at most to the longest one. The time may have been meant for the clock of an earlier boot.
func (x *simWorker) extendLease(until time.Duration) {
	x.leaseUntil = max(x.leaseUntil, min(until, x.clock()+maxWorkerLease))
}

// checkAcknowledged checks, when the completion of a successful run is acknowledged, that the task
// was not started again after that run. A completion whose lease has expired since is exempt: no
// entry could learn of it in time.
func (x *simWorker) checkAcknowledged(w *world, task winch.RunID, run uint64) {
	for _, d := range w.completed[task] {
		if d.worker == x && d.run == run && d.restarted && d.leaseExpiries == x.leaseExpiries {
			w.reportViolation("%v: %v was started again after it had succeeded at %s", time.Since(w.log.startedAt), task, x.vm.ID)
		}
	}
}

// heldLeaseSince reports whether the lease has not expired since the run succeeded. A completion
// that is acknowledged after an expiry does not count, since no entry could learn of it in time.
func (x *simWorker) heldLeaseSince(w *world, task winch.RunID, run uint64) bool {
	for _, d := range w.completed[task] {
		if d.worker == x && d.run == run {
			return d.leaseExpiries == x.leaseExpiries
		}
	}
	return true
}

// startRun starts a run. It checks that the task does not already run, that its completion has not
// been acknowledged, and that the worker has enough free capacity.
func (x *simWorker) startRun(w *world, key runKey, c winch.StartRequest) {
	for _, d := range w.completed[c.Task] {
		d.startsAfter++
		d.restarted = d.startsAfter > w.copyChecks.allowedAfter(c)
	}
	w.log.note("%v of %s starts as run %d at %s", c.Task, c.Task.Job, c.Run, x.vm.ID)
	if w.running[c.Task] > w.copyChecks.allowedBeside(c) {
		w.reportViolation("%v: %v is started while %d other runs of it go on", time.Since(w.log.startedAt), c.Task, w.running[c.Task])
	}
	if w.acknowledged[c.Task] && !w.copyChecks.inTransit(c) {
		w.reportViolation("%v: %v is started after its completion was acknowledged", time.Since(w.log.startedAt), c.Task)
	}
	milli := int64(taskMilli)
	if c.Command == fillingCommand {
		milli = 0 // Filling tasks do not count against the worker's capacity.
	}
	if x.usedMilli+milli > x.vm.Room.Milli && (x.shrunkSince.IsZero() || time.Since(x.shrunkSince) > shrinkGracePeriod) {
		w.reportViolation("%v: run started beyond the capacity of %s", time.Since(w.log.startedAt), x.vm.ID)
	}
	w.running[c.Task]++
	x.starts++
	x.usedMilli += milli
	r := &simRun{end: time.Now().Add(w.runTime(x.vm.ID)), milli: milli}
	x.runs[key] = r
	switch c.Command {
	case lastingCommand:
		r.end = time.Time{}
		w.lasting.runStarted(w, c.Task)
		w.downtimeChecks.runStarted(w, x, r)
	case copyCommand:
		w.copyChecks.runStarted(w, c, r)
	case gangCommand:
		r.end = time.Now().Add(gangTimeout)
		r.gang = w.joinGang(c.Task, c.Run)
	case fillingCommand:
		r.end = time.Now().Add(2 * taskDuration)
		r.fills = true
	case savingCommand:
		r.saves = w.evictions.runStarted(w, c)
		r.end = r.saves.end()
	default:
		if after, crashes := crashAfter(c.Command); crashes {
			w.crashes.checkStart(w, c.Task)
			r.end = time.Time{}
			w.group.Go(func() { w.crashDuringRun(x, key, after) })
			return
		}
		r.fails = w.intn(20) == 0
	}
}

const (
	// gangCommand is the command of jobs that are one gang.
	gangCommand = "gang"
	// gangSize is the number of members of each gang.
	gangSize = 3
	// fillingCommand is the command of tasks that use idle processors.
	fillingCommand = "fill"
	// gangTimeout is how long a member waits for the others.
	gangTimeout = 3 * time.Second
)

// joinGang adds a member to a run of a gang, which it creates if needed.
func (w *world) joinGang(task winch.RunID, run uint64) *simGang {
	task.Index = 0
	key := runKey{task, run}
	g := w.gangs[key]
	if g == nil {
		g = &simGang{size: gangSize}
		w.gangs[key] = g
	}
	g.present++
	if g.present == g.size && !g.broken {
		g.end = time.Now().Add(taskDuration)
	}
	return g
}

// endDueRun ends a member of a gang if its time has come: when all members succeed, when another
// one has ended without success, or when the gang was not complete in time. Both locks are held.
func (g *simGang) endDueRun(w *world, x *simWorker, key runKey, r *simRun, expired bool, now time.Time) {
	switch {
	case expired:
		x.endRun(w, key, winch.CompletionLeaseExpired)
	case g.broken:
		x.endRun(w, key, winch.CompletionGangBroken)
	case g.end.IsZero() && now.After(r.end):
		x.endRun(w, key, winch.CompletionGangIncomplete)
		w.downtimeChecks.gangTimedOut(w, key)
	case !g.end.IsZero() && now.After(g.end):
		x.endRun(w, key, winch.CompletionDone)
	}
}

// load returns the load that a run reports. Serving tasks miss their target if two filling tasks
// run beside them.
func (x *simWorker) load(key runKey) float64 {
	if !x.runs[key].end.IsZero() {
		return taskMilli
	}
	load := servingTarget / 4
	for _, r := range x.runs {
		if r.fills {
			load += servingTarget / 2
		}
	}
	return float64(load.Milliseconds())
}

// servingTarget is the tail response time that lasting tasks must stay below in spite of filling tasks.
const servingTarget = 200 * time.Millisecond
