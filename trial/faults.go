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
	rebootTime = 3 * time.Second
	// shrinkDuration is how long the capacity of a worker stays reduced, shrinkFactor the fraction
	// of it that remains.
	shrinkTime = 5 * time.Second
	shrinkPart = 0.3
)

// Fault is a fault of randomly chosen running workers of the first service: they crash, or their
// capacity is reduced for shrinkDuration.
type Fault struct {
	At    time.Duration
	Count int
	// Interval is the time between repetitions, up to the end of the pattern; zero means that the
	// fault occurs once.
	Every time.Duration
	// ReduceCapacity selects a temporary loss of capacity instead of a crash.
	Shrinks bool
}

// crashSpec describes which tasks of a job crash their workers.
type crashing struct {
	// crashes is false for a job without such tasks.
	crashes bool
	// allTasks selects all tasks of a phase instead of the first only, halfOfWorkers a crash on
	// half of the workers instead of on all.
	all, half bool
	// delay is the time from the start of the task to the crash.
	after time.Duration
}

// drawCrashSpec draws the crash behavior of a job; the given fraction of the jobs crashes workers.
func drawCrashing(rnd *rand.Rand, fraction float64) crashing {
	c := crashing{crashes: rnd.Float64() < fraction, all: rnd.IntN(2) == 0, half: rnd.IntN(6) == 0, after: 10 * time.Millisecond}
	if rnd.IntN(3) == 0 {
		c.after = time.Duration(300+rnd.IntN(2500)) * time.Millisecond
	}
	return c
}

// crashesAt reports whether a task of the job crashes a worker.
func (c crashing) at(task winch.RunID, worker string) bool {
	if !c.crashes || !c.all && task.Index > 0 {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.Job + worker))
	return !c.half || h.Sum32()%2 == 0
}

// workerState is the state of a simulated worker.
type boot struct {
	vm   winch.WorkerVM
	down bool
	used winch.Capacity
	// shrunkSince is when the capacity was reduced, or zero.
	shrunk time.Time
}

// crashCounts counts the worker crashes that tasks caused, in all and by task, and the starts
// that exceeded the capacity of a worker.
type harm struct {
	workers int
	under   map[winch.RunID]int
	over    int
}

func newHarm() harm { return harm{under: make(map[winch.RunID]int)} }

// CrashReport sums up the effects of tasks that crash their workers.
type Harm struct {
	Crashing int // Crashing is the number of jobs with such tasks, GivenUp the number of those that failed.
	GivenUp  int
	Workers  int // Workers is the number of worker crashes that they caused, Most the maximum caused by one task.
	Most     int
	Wronged  int // Wronged is the number of other jobs that failed.
	Over     int // Over is the number of starts that exceeded the capacity of the worker.
}

// String returns the report as one line.
func (h Harm) String() string {
	return fmt.Sprintf("%d jobs crash workers, %d given up, %d workers crashed by them, at most %d under a task; %d other jobs failed; %d starts beyond a worker's room",
		h.Crashing, h.GivenUp, h.Workers, h.Most, h.Wronged, h.Over)
}

// crashReport returns the effects of crashes in the simulation so far.
func (r *region) harmDone() Harm {
	out := Harm{Workers: r.harm.workers, Over: r.harm.over}
	for _, a := range r.jobs {
		if a.crash.crashes {
			out.Crashing++
		}
	}
	for _, n := range r.harm.under {
		out.Most = max(out.Most, n)
	}
	for _, e := range r.ended {
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
func (r *region) need(task winch.RunID) winch.Capacity {
	return r.jobs[task.Job].job.Phases[task.Phase].Need
}

// scheduleFaults schedules the faults of the pattern.
func (r *region) setUpFaults() {
	for _, f := range r.pattern.Faults {
		r.at(f.At, func() { r.fault(f) })
	}
}

// injectFault applies a fault to random workers and schedules its repetition.
func (r *region) fault(f Fault) {
	ids := sorted(r.boots)
	for range f.Count {
		id := ids[r.rnd.IntN(r.pattern.Services[0].Workers)]
		switch w := r.boots[id]; {
		case w.down:
		case f.Shrinks && w.shrunk.IsZero():
			r.shrink(w)
		case !f.Shrinks:
			r.crash(w)
		}
	}
	if f.Every > 0 && r.now.Sub(r.begin)+f.Every < r.pattern.Length {
		r.at(f.Every, func() { r.fault(f) })
	}
}

// scheduleCrash schedules the crash of a run's worker if its task crashes that worker.
func (r *region) crashAfter(arrival *arrivalOf, key taskRun, run *active) {
	if !arrival.crash.at(key.task, run.worker) {
		return
	}
	r.at(arrival.crash.after, func() {
		if w := r.boots[run.worker]; !run.over && !w.down {
			r.harm.workers++
			r.harm.under[key.task]++
			r.crash(w)
		}
	})
}

// crashWorker ends the process of a worker and all its runs. The worker returns as another boot
// after rebootDelay.
func (r *region) crash(w *boot) {
	id := w.vm.ID
	w.down, w.used = true, winch.Capacity{}
	for key, run := range r.runs {
		if run.worker == id {
			run.over = true
			delete(r.runs, key)
		}
	}
	r.at(tripTime, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventUnresponsive, Worker: id})
		r.wake()
	})
	r.at(rebootTime, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventLost, Worker: id, Result: winch.StartOtherBoot})
		w.vm.Born++
		w.down = false
		delete(r.ends, id)
		r.list()
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: id})
		r.wake()
	})
}

// sendWorkerList sends the planner the present description of all workers.
func (r *region) list() {
	var list []winch.WorkerVM
	for _, id := range sorted(r.boots) {
		list = append(list, r.boots[id].vm)
	}
	r.planner.SetWorkers(list)
}

// reportRefused reports to the planner that a start did not reach its worker.
func (r *region) refused(o proto.Order) {
	r.at(tripTime, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartRefused})
		r.wake()
	})
}

// reduceCapacity reduces the capacity of a worker for shrinkDuration.
func (r *region) shrink(w *boot) {
	w.shrunk = r.now
	full := w.vm.Room
	w.vm.Room = winch.Capacity{Milli: int64(shrinkPart * float64(full.Milli)), Memory: winch.Bytes(shrinkPart * float64(full.Memory)), Accelerators: full.Accelerators}
	r.list()
	r.at(shrinkTime, func() {
		w.vm.Room, w.shrunk = full, time.Time{}
		r.list()
		r.wake()
	})
}

// checkCapacity counts a start that does not fit the capacity of its worker. A start that may have
// been ordered before the capacity was reduced is not counted.
func (r *region) checkRoom(o proto.Order) {
	w := r.boots[o.Worker]
	w.used = w.used.Add(r.need(o.Task))
	if !w.used.Fits(w.vm.Room) && (w.shrunk.IsZero() || r.now.Sub(w.shrunk) > gatherTime+tripTime+r.lag) {
		r.harm.over++
	}
}
