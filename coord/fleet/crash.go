package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// A task is given up after maxProbeCrashes crashes that only its probe explains. One such
	// crash suffices if it came about as long after the start as an earlier crash: the two times may
	// differ by similarMargin plus the earlier one divided by similarDivisor. Of long times that says
	// little where workers crash often for other reasons: runs of bystanders end at such times too.
	maxProbeCrashes = 2
	similarMargin   = 50 * time.Millisecond
	similarDivisor  = 20
	maxSimilarAge   = 2 * time.Second
	// A task is given up after maxStrongCrashes crashes of which it is a likely cause, or after
	// maxCrashes of any kind if the last one was that of its probe.
	maxStrongCrashes = 3
	maxCrashes       = 5
	// lostBootRetention is how long the runs of a worker whose lease expired are remembered: only
	// the next boot of the worker shows that it had crashed.
	lostBootRetention = time.Minute
	// maxLostBoots limits the number of lost boots that are remembered.
	maxLostBoots = 1000
)

// bootRun is a run that existed on a boot of a worker when the boot was lost.
type bootRun struct {
	task *task
	run  uint64
	// confirmed is set if the worker confirmed the start, adopted if an earlier planner ordered
	// it, so that its age is not known.
	confirmed, adopted bool
	probe              *suspicion
	// age is how long the run had existed when the worker became unresponsive, provenAge at the
	// last contact.
	age, provenAge time.Duration
}

// lostBoot is a boot of a worker that was lost, with its runs.
type lostBoot struct {
	vm                winch.WorkerVM
	unresponsiveSince time.Time
	// hadProbe is set if the boot ran a probe, recentStart if a run was started just before
	// contact was lost.
	hadProbe, recentStart bool
	// counted is set once the crash has been counted.
	counted bool
	runs    []bootRun
}

// snapshotBoot returns the boot with the runs that would be lost with it now. Runs ordered after contact was lost
// and not confirmed have not started, and are left out.
func (w *worker) snapshotBoot(now time.Time) lostBoot {
	b := lostBoot{vm: w.vm, unresponsiveSince: w.unresponsiveSince, hadProbe: w.probe != nil}
	if b.unresponsiveSince.IsZero() {
		b.unresponsiveSince = now
	}
	for _, r := range w.runs {
		if r.task == nil || !r.started && !r.adopted && !w.unresponsiveSince.IsZero() && r.since.After(w.unresponsiveSince) {
			continue
		}
		probe := r.probe
		if probe != nil && !probe.open() {
			probe = nil // The task has been cleared; another one is tested there.
		}
		b.runs = append(b.runs, bootRun{task: r.task, run: r.key.run, confirmed: r.started, adopted: r.adopted, probe: probe, age: r.age(), provenAge: w.lastContact.Sub(r.since)})
	}
	slices.SortFunc(b.runs, func(x, y bootRun) int { return cmp.Or(cmp.Compare(x.age, y.age), cmp.Compare(x.run, y.run)) })
	age, known := youngestAge(b.runs)
	b.recentStart = known && age <= suddenCrashAge
	return b
}

// rememberBoot keeps the runs of a lost boot: if the boot is not yet known to have crashed, noteBoot
// may still find that it has.
func (p *Planner) rememberBoot(w *worker, crashed bool) {
	now := p.now()
	b := w.snapshotBoot(now)
	p.lostBoots = slices.DeleteFunc(p.lostBoots, func(x lostBoot) bool { return now.Sub(x.unresponsiveSince) > lostBootRetention })
	if len(p.lostBoots) == maxLostBoots {
		p.lostBoots = p.lostBoots[1:]
	}
	p.lostBoots = append(p.lostBoots, b)
	if crashed {
		p.attributeCrash(&p.lostBoots[len(p.lostBoots)-1])
	}
}

// noteBoot handles a boot in the platform's list: any other boot at the same address has ended.
func (p *Planner) noteBoot(vm winch.WorkerVM) {
	for i := range p.lostBoots {
		b := &p.lostBoots[i]
		if !b.counted && b.vm.Address == vm.Address && (b.vm.ID != vm.ID || vm.Born != 0 && b.vm.Born != vm.Born) {
			p.attributeCrash(b)
		}
	}
}

// attributeCrash counts a crash against the runs that may have caused it, once for each boot.
func (p *Planner) attributeCrash(b *lostBoot) {
	if b.counted || len(b.runs) == 0 {
		return
	}
	b.counted = true
	c := p.causeOf(b)
	for _, f := range b.runs {
		if f.task.done || f.task.phase.job.state.Final() {
			continue
		}
		weak, counts := c.judge(f)
		if !p.Policy.Isolate {
			weak, counts = false, true
		}
		if counts {
			p.countCrash(b, f, weak, !weak && c.proves(f))
		}
	}
}

// countCrash counts a crash against a task, once for each run. proved means that only this probe
// explains the crash.
func (p *Planner) countCrash(b *lostBoot, f bootRun, weak, proved bool) {
	x := f.task.suspect()
	if slices.ContainsFunc(x.crashes, func(c winch.Crash) bool { return c.Run == f.run }) {
		return
	}
	if f.confirmed && len(x.crashes) > 0 && f.provenAge >= x.clearanceTime() {
		x.crashes = nil // The run outlived the earlier crashes, so the task did not cause them.
	}
	giveUp := proved && x.hasSimilar(f.age)
	lived := f.age
	if f.adopted || !f.confirmed {
		lived = max(lived, maxLikelyAge) // Its start time is not known.
	}
	x.crashes = append(x.crashes, winch.Crash{Run: f.run, Worker: b.vm.ID, At: b.unresponsiveSince, Lived: lived, Weak: weak, Probe: proved})
	giveUp = giveUp || x.probeCrashes() >= maxProbeCrashes || x.strongCrashes() >= maxStrongCrashes || f.probe != nil && x.knownCrashes() >= maxCrashes
	j := x.phase.job
	j.awaited = true // The task is not started again until the crash is recorded.
	p.markChanged(j)
	crashed := ClosedRun{b.vm.ID, f.task.id(), f.run}
	p.unrecordedCrashes = append(p.unrecordedCrashes, unrecordedCrash{crashed, j, j.changes})
	p.unrecordedRuns[crashed] = true
	p.countedCrashes = append(p.countedCrashes, CountedCrash{
		Task: f.task.id(), Run: f.run, Worker: b.vm.ID, Age: f.age, Weak: weak, Probe: f.probe != nil, Crashes: len(x.crashes), GivenUp: giveUp,
	})
	if giveUp {
		j.crashes = x.crashes
		j.finish(winch.JobFailed)
		p.stopJob(j)
		return
	}
	p.isolateCopy(f.task, f.run)
}

// hasSimilar reports whether an earlier crash, of which the task is a likely cause, came about as
// long after the start of its run.
func (x *suspicion) hasSimilar(lived time.Duration) bool {
	return lived <= maxSimilarAge && slices.ContainsFunc(x.crashes, func(c winch.Crash) bool {
		return !c.Weak && (c.Lived-lived).Abs() <= similarMargin+c.Lived/similarDivisor
	})
}

// countIf returns the number of crashes for which a condition holds.
func (x *suspicion) countIf(match func(winch.Crash) bool) int {
	n := 0
	for _, c := range x.crashes {
		if match(c) {
			n++
		}
	}
	return n
}

// strongCrashes returns the number of crashes of which the task is a likely cause.
func (x *suspicion) strongCrashes() int {
	return x.countIf(func(c winch.Crash) bool { return !c.Weak })
}

// knownCrashes returns the number of crashes that were observed, not assumed.
func (x *suspicion) knownCrashes() int {
	return x.countIf(func(c winch.Crash) bool { return c.Worker != "" })
}

// probeCrashes returns the number of crashes that only a probe explains.
func (x *suspicion) probeCrashes() int {
	return x.countIf(func(c winch.Crash) bool { return c.Probe })
}

// unrecordedCrash is a run that crashed its worker and whose crash is not in the store yet. A
// planner that takes over must learn of the run from its copy of this planner's state.
type unrecordedCrash struct {
	run     ClosedRun
	job     *job
	changes uint64
}

// closeRecorded closes the runs whose crashes have been recorded.
func (p *Planner) closeRecorded() {
	if len(p.unrecordedCrashes) == 0 {
		return
	}
	p.unrecordedCrashes = slices.DeleteFunc(p.unrecordedCrashes, func(u unrecordedCrash) bool {
		recorded := u.job.savedChanges >= u.changes || p.jobs[u.run.Task.Job] != u.job
		if recorded && !p.mayExist(u.run) {
			p.closedRuns = append(p.closedRuns, u.run)
		}
		if recorded {
			delete(p.unrecordedRuns, u.run)
		}
		return recorded
	})
}

// mayExist reports whether a run still counts as one that may exist, see carryOver.
func (p *Planner) mayExist(r ClosedRun) bool {
	w := p.workers[r.Worker]
	return w != nil && w.runs[runKey{r.Task, r.Run}] != nil
}

// UnrecordedCrashes returns the runs that crashed their workers and whose crash is not in the
// store yet.
func (p *Planner) UnrecordedCrashes() []ClosedRun {
	out := make([]ClosedRun, 0, len(p.unrecordedCrashes))
	for _, u := range p.unrecordedCrashes {
		if u.job.savedChanges < u.changes {
			out = append(out, u.run)
		}
	}
	return out
}

// crashUnrecorded reports whether a run crashed its worker and the crash is not recorded yet.
func (p *Planner) crashUnrecorded(w *worker, key runKey) bool {
	return p.unrecordedRuns[ClosedRun{w.vm.ID, key.task, key.run}]
}

// CountedCrash is a crash that was counted against a task.
type CountedCrash struct {
	Task   winch.RunID
	Run    uint64
	Worker string
	Age    time.Duration
	// Weak is set if the task is not a likely cause, Probe if the run was a probe, and GivenUp if
	// the job was failed because of the crash.
	Weak, Probe, GivenUp bool
	Crashes              int // Crashes counts the crashes currently held against the task.
}

// CountedCrashes returns the crashes counted since the last call.
func (p *Planner) CountedCrashes() []CountedCrash {
	out := p.countedCrashes
	p.countedCrashes = nil
	return out
}
