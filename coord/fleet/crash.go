package fleet

import (
	"cmp"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// A task is given up after maxProbeCrashes crashes that only its probe explains. One such
	// crash suffices if it came as long after the start as an earlier crash, within similarMargin
	// plus a similarDivisor-th of that time.
	probesMost  = 2
	alikeMargin = 50 * time.Millisecond
	alikePart   = 20
	// A task is given up after maxStrongCrashes crashes of which it is a likely cause, or after
	// maxCrashes of any kind if the last one was that of its probe.
	strongMost  = 3
	crashesMost = 5
	// lostBootRetention is how long the runs of a worker whose lease expired are remembered: only
	// the next boot of the worker shows that it had crashed.
	lapsedTime = time.Minute
	// maxLostBoots limits the number of lost boots that are remembered.
	lossesMost = 1000
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
	lived, surely time.Duration
}

// lostBoot is a boot of a worker that was lost, with its runs.
type lostBoot struct {
	vm     winch.WorkerVM
	silent time.Time
	// hadProbe is set if the boot ran a probe, recentStart if a run was started just before
	// contact was lost.
	apart, sudden bool
	// counted is set once the crash has been counted.
	blamed bool
	runs   []bootRun
}

// snapshotBoot returns what would be lost with the worker now. Runs ordered after contact was lost
// and not confirmed have not started, and are left out.
func (w *worker) boot(now time.Time) lostBoot {
	b := lostBoot{vm: w.vm, silent: w.silent, apart: w.probe != nil}
	if b.silent.IsZero() {
		b.silent = now
	}
	for _, r := range w.runs {
		if r.task == nil || !r.started && !w.silent.IsZero() && r.since.After(w.silent) {
			continue
		}
		b.runs = append(b.runs, bootRun{task: r.task, run: r.key.run, confirmed: r.started, adopted: r.adopted, probe: r.probe, lived: r.lived(), surely: w.told.Sub(r.since)})
	}
	slices.SortFunc(b.runs, func(x, y bootRun) int { return cmp.Or(cmp.Compare(x.lived, y.lived), cmp.Compare(x.run, y.run)) })
	age, known := youngest(b.runs)
	b.sudden = known && age <= atOnce
	return b
}

// rememberBoot keeps the runs of a lost boot. If the boot is not known to have crashed, that may
// still turn out later.
func (p *Planner) rememberBoot(w *worker, crashed bool) {
	now := p.now()
	b := w.boot(now)
	p.lostBoots = slices.DeleteFunc(p.lostBoots, func(x lostBoot) bool { return now.Sub(x.silent) > lapsedTime })
	if len(p.lostBoots) == lossesMost {
		p.lostBoots = p.lostBoots[1:]
	}
	p.lostBoots = append(p.lostBoots, b)
	if crashed {
		p.blame(&p.lostBoots[len(p.lostBoots)-1])
	}
}

// noteBoot handles a boot in the platform's list: any other boot at the same address has ended.
func (p *Planner) bootSeen(vm winch.WorkerVM) {
	for i := range p.lostBoots {
		b := &p.lostBoots[i]
		if !b.blamed && b.vm.Address == vm.Address && (b.vm.ID != vm.ID || vm.Born != 0 && b.vm.Born != vm.Born) {
			p.blame(b)
		}
	}
}

// attributeCrash counts a crash against the runs that may have caused it, once for each boot.
func (p *Planner) blame(b *lostBoot) {
	if b.blamed || len(b.runs) == 0 {
		return
	}
	b.blamed = true
	c := p.causeOf(b)
	for _, f := range b.runs {
		if f.task.done || f.task.step.job.state.Final() {
			continue
		}
		weak, counts := c.of(f)
		if !p.Policy.Isolate {
			weak, counts = false, true
		}
		if counts {
			p.count(b, f, weak, !weak && c.proves(f))
		}
	}
}

// countCrash counts a crash against a task, once for each run. proved means that only this probe
// explains the crash.
func (p *Planner) count(b *lostBoot, f bootRun, weak, proved bool) {
	x := f.task.suspect()
	if slices.ContainsFunc(x.crashes, func(c winch.Crash) bool { return c.Run == f.run }) {
		return
	}
	if f.confirmed && len(x.crashes) > 0 && f.surely >= x.clearance() {
		x.crashes = nil // The run outlived the earlier crashes, so the task did not cause them.
	}
	giveUp := proved && x.alike(f.lived)
	lived := f.lived
	if f.adopted || !f.confirmed {
		lived = max(lived, causeTime) // Its start time is not known.
	}
	x.crashes = append(x.crashes, winch.Crash{Run: f.run, Worker: b.vm.ID, At: b.silent, Lived: lived, Weak: weak, Probe: proved})
	giveUp = giveUp || x.probes() >= probesMost || x.strong() >= strongMost || f.probe != nil && x.known() >= crashesMost
	j := x.step.job
	j.pressing = true // The task is not started again until the crash is recorded.
	p.change(j)
	p.unrecorded = append(p.unrecorded, unrecorded{Gone{b.vm.ID, f.task.id(), f.run}, j, j.changes})
	p.blames = append(p.blames, Blame{
		Task: f.task.id(), Run: f.run, Worker: b.vm.ID, Lived: f.lived, Weak: weak, Probe: f.probe != nil, Crashes: len(x.crashes), GivenUp: giveUp,
	})
	if giveUp {
		j.crashes = x.crashes
		j.finish(winch.JobFailed)
		p.stopJob(j)
	}
}

// hasSimilar reports whether an earlier crash, of which the task is a likely cause, came as long
// after the start.
func (x *suspicion) alike(lived time.Duration) bool {
	return slices.ContainsFunc(x.crashes, func(c winch.Crash) bool {
		return !c.Weak && (c.Lived-lived).Abs() <= alikeMargin+c.Lived/alikePart
	})
}

// countIf returns the number of crashes for which a condition holds.
func (x *suspicion) crashesThat(match func(winch.Crash) bool) int {
	n := 0
	for _, c := range x.crashes {
		if match(c) {
			n++
		}
	}
	return n
}

// strongCrashes returns the number of crashes of which the task is a likely cause.
func (x *suspicion) strong() int {
	return x.crashesThat(func(c winch.Crash) bool { return !c.Weak })
}

// knownCrashes returns the number of crashes that were observed, not assumed.
func (x *suspicion) known() int {
	return x.crashesThat(func(c winch.Crash) bool { return c.Worker != "" })
}

// probeCrashes returns the number of crashes that only a probe explains.
func (x *suspicion) probes() int {
	return x.crashesThat(func(c winch.Crash) bool { return c.Probe })
}

// unrecordedCrash is a run that crashed its worker and whose crash is not in the store yet. A
// planner that takes over must learn of the run from its copy of this planner's state.
type unrecorded struct {
	gone    Gone
	job     *job
	changes uint64
}

// closeRecorded closes the runs whose crashes have been recorded.
func (p *Planner) noteRecorded() {
	p.unrecorded = slices.DeleteFunc(p.unrecorded, func(u unrecorded) bool {
		recorded := u.job.saved >= u.changes || p.jobs[u.gone.Task.Job] != u.job
		if recorded {
			p.gone = append(p.gone, u.gone)
		}
		return recorded
	})
}

// UnrecordedCrashes returns the runs that crashed their workers and whose crash is not in the
// store yet.
func (p *Planner) Unrecorded() []Gone {
	out := make([]Gone, 0, len(p.unrecorded))
	for _, u := range p.unrecorded {
		if u.job.saved < u.changes {
			out = append(out, u.gone)
		}
	}
	return out
}

// crashUnrecorded reports whether a run crashed its worker and the crash is not recorded yet.
func (p *Planner) waitsForRecord(w *worker, key runKey) bool {
	return slices.ContainsFunc(p.unrecorded, func(u unrecorded) bool {
		return u.gone == Gone{w.vm.ID, key.task, key.run}
	})
}

// CountedCrash is a crash that was counted against a task.
type Blame struct {
	Task   winch.RunID
	Run    uint64
	Worker string
	Lived  time.Duration
	// Weak is set if the task is not a likely cause, Probe if the run was a probe, and GivenUp if
	// the job was failed because of the crash.
	Weak, Probe, GivenUp bool
	Crashes              int // Crashes counts the crashes currently held against the task.
}

// CountedCrashes returns the crashes counted since the last call.
func (p *Planner) Blames() []Blame {
	out := p.blames
	p.blames = nil
	return out
}
