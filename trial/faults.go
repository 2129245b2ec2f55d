package trial

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// rebootDelay is the time from the crash of a worker to its next boot.
	rebootDelay = 3 * time.Second
	// shrinkDuration is how long the capacity of a worker stays reduced, shrinkFactor the fraction
	// of it that remains.
	shrinkDuration = 5 * time.Second
	shrinkFactor   = 0.3
)

// Fault is a fault of randomly chosen running workers of the first service: they crash, or their
// capacity is reduced for shrinkDuration.
type Fault struct {
	At    time.Duration
	Count int
	// Interval is the time between repetitions, up to the end of the pattern; zero means that the
	// fault occurs once.
	Interval time.Duration
	// ReduceCapacity selects a temporary loss of capacity instead of a crash.
	ReduceCapacity bool
	// Slowdown, if not zero, makes work take that many times as long for slowFor, instead of a crash.
	Slowdown float64
}

// crashSpec describes which tasks of a job crash their workers.
type crashSpec struct {
	// crashes is false for a job without such tasks.
	crashes bool
	// allTasks selects all tasks of a phase instead of the first only, halfOfWorkers a crash on
	// half of the workers instead of on all.
	allTasks, halfOfWorkers bool
	// delay is the time from the start of the task to the crash.
	delay time.Duration
}

// drawCrashSpec draws the crash behavior of a job; the given fraction of the jobs crashes workers.
func drawCrashSpec(rnd *rand.Rand, fraction float64) crashSpec {
	c := crashSpec{crashes: rnd.Float64() < fraction, allTasks: rnd.IntN(2) == 0, halfOfWorkers: rnd.IntN(6) == 0, delay: 10 * time.Millisecond}
	if rnd.IntN(3) == 0 {
		c.delay = time.Duration(300+rnd.IntN(2500)) * time.Millisecond
	}
	return c
}

// crashesAt reports whether a task of the job crashes a worker.
func (c crashSpec) crashesAt(task winch.RunID, worker string) bool {
	if !c.crashes || !c.allTasks && task.Index > 0 {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.Job + worker))
	return !c.halfOfWorkers || h.Sum32()%2 == 0
}

// workerState is the state of a simulated worker.
type workerState struct {
	vm   winch.WorkerVM
	down bool
	used winch.Capacity
	// shrunkSince is when the capacity was reduced, or zero.
	shrunkSince time.Time
	coldUntil   time.Time // coldUntil is until when work takes longer.
	speed       float64   // speed is how long work takes relative to a healthy worker.
}

// crashCounts counts the worker crashes that tasks caused, in all and by task, and the starts
// that exceeded the capacity of a worker.
type crashCounts struct {
	workers     int
	byTask      map[winch.RunID]int
	overcommits int
}

func newCrashCounts() crashCounts { return crashCounts{byTask: make(map[winch.RunID]int)} }

// CrashReport sums up the effects of tasks that crash their workers.
type CrashReport struct {
	Crashing int // Crashing is the number of jobs with such tasks, GivenUp the number of those that failed.
	GivenUp  int
	Workers  int // Workers is the number of worker crashes that they caused, Most the maximum caused by one task.
	Most     int
	Wronged  int // Wronged is the number of other jobs that failed.
	Over     int // Over is the number of starts that exceeded the capacity of the worker.
}

// String returns the report as one line.
func (h CrashReport) String() string {
	return fmt.Sprintf("%d jobs crash workers, %d given up, %d workers crashed by them, at most %d under a task; %d other jobs failed; %d starts beyond a worker's room",
		h.Crashing, h.GivenUp, h.Workers, h.Most, h.Wronged, h.Over)
}

// crashReport returns the effects of crashes in the simulation so far.
func (r *simRegion) crashReport() CrashReport {
	out := CrashReport{Workers: r.crashes.workers, Over: r.crashes.overcommits}
	for _, a := range r.jobs {
		if a.crash.crashes {
			out.Crashing++
		}
	}
	for _, n := range r.crashes.byTask {
		out.Most = max(out.Most, n)
	}
	for _, e := range r.completed {
		switch {
		case e.State != winch.JobFailed:
		case r.jobs[e.Job].crash.crashes:
			out.GivenUp++
		default:
			out.Wronged++
		}
	}
	return out
}

// need returns the capacity that a task requires.
func (r *simRegion) need(task winch.RunID) winch.Capacity {
	return r.jobs[task.Job].job.Phases[task.Phase].Need
}

// scheduleFaults schedules the faults of the pattern.
func (r *simRegion) scheduleFaults() {
	for _, f := range r.pattern.Faults {
		r.schedule(f.At, func() { r.injectFault(f) })
	}
}

// injectFault applies a fault to random workers and schedules its repetition.
func (r *simRegion) injectFault(f Fault) {
	ids := sortedKeys(r.workers)
	for range f.Count {
		id := ids[r.rnd.IntN(r.pattern.Services[0].Workers)]
		switch w := r.workers[id]; {
		case w.down:
		case f.Slowdown > 0:
			r.slowDown(w, f.Slowdown)
		case f.ReduceCapacity && w.shrunkSince.IsZero():
			r.reduceCapacity(w)
		case !f.ReduceCapacity:
			r.crashWorker(w)
		}
	}
	if f.Interval > 0 && r.now.Sub(r.begin)+f.Interval < r.pattern.Length {
		r.schedule(f.Interval, func() { r.injectFault(f) })
	}
}

// scheduleCrash schedules the crash of a run's worker if its task crashes that worker.
func (r *simRegion) scheduleCrash(arrival *jobArrival, key runKey, run *activeRun) {
	if !arrival.crash.crashesAt(key.task, run.worker) {
		return
	}
	r.schedule(arrival.crash.delay, func() {
		if w := r.workers[run.worker]; !run.ended && !w.down {
			r.crashes.workers++
			r.crashes.byTask[key.task]++
			r.crashWorker(w)
		}
	})
}

// crashWorker ends the process of a worker and all its runs. The worker returns as another boot
// after rebootDelay.
func (r *simRegion) crashWorker(w *workerState) {
	id := w.vm.ID
	w.down, w.used = true, winch.Capacity{}
	for key, run := range r.runs {
		if run.worker == id {
			run.ended = true
			delete(r.runs, key)
			r.overlaps[key.task]--
		}
	}
	r.schedule(messageDelay, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: id})
		r.scheduleDecision()
	})
	r.schedule(rebootDelay, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: id, Result: winch.StartOtherBoot})
		w.vm.Born++
		w.down = false
		delete(r.lastEnded, id)
		r.sendWorkerList()
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: id})
		r.scheduleDecision()
	})
}

// sendWorkerList sends the planner the present description of all workers.
func (r *simRegion) sendWorkerList() {
	var list []winch.WorkerVM
	for _, id := range sortedKeys(r.workers) {
		list = append(list, r.workers[id].vm)
	}
	r.planner.SetWorkers(list)
}

// reportRefused reports to the planner that a start did not reach its worker.
func (r *simRegion) reportRefused(o proto.Order) {
	r.schedule(messageDelay, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartRefused})
		r.scheduleDecision()
	})
}

// reduceCapacity reduces the capacity of a worker for shrinkDuration.
func (r *simRegion) reduceCapacity(w *workerState) {
	w.shrunkSince = r.now
	full := w.vm.Room
	w.vm.Room = winch.Capacity{Milli: int64(shrinkFactor * float64(full.Milli)), Memory: winch.Bytes(shrinkFactor * float64(full.Memory)), Accelerators: full.Accelerators}
	r.sendWorkerList()
	r.schedule(shrinkDuration, func() {
		w.vm.Room, w.shrunkSince = full, time.Time{}
		r.sendWorkerList()
		r.scheduleDecision()
	})
}

// checkCapacity counts a start that does not fit the capacity of its worker. A start that may have
// been ordered before the capacity was reduced is not counted.
func (r *simRegion) checkCapacity(o proto.Order) {
	w := r.workers[o.Worker]
	w.used = w.used.Add(r.need(o.Task))
	if !w.used.Fits(w.vm.Room) && (w.shrunkSince.IsZero() || r.now.Sub(w.shrunkSince) > gatherDelay+messageDelay+r.decisionTime) {
		r.crashes.overcommits++
	}
}
