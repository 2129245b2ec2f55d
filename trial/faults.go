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
	// rebootTime is how long a worker that crashed is away.
	rebootTime = 3 * time.Second
	// shrinkTime is how long a worker has less room, shrinkPart what part of it is left.
	shrinkTime = 5 * time.Second
	shrinkPart = 0.3
)

// Fault befalls some workers of the first service that are up, drawn by the seed: they
// crash, or have less room for a while.
type Fault struct {
	At    time.Duration
	Count int
	// Every repeats the fault until the pattern's end; zero is once.
	Every   time.Duration
	Shrinks bool
}

// crashing says whether a job has tasks that crash their workers: the first of each phase,
// or all; some time after their start; everywhere, or at half of the workers.
type crashing struct {
	crashes, all, half bool
	after              time.Duration
}

// drawCrashing draws whether a job has tasks that crash their workers, and how.
func drawCrashing(rnd *rand.Rand, part float64) crashing {
	c := crashing{crashes: rnd.Float64() < part, all: rnd.IntN(2) == 0, half: rnd.IntN(6) == 0, after: 10 * time.Millisecond}
	if rnd.IntN(3) == 0 {
		c.after = time.Duration(300+rnd.IntN(2500)) * time.Millisecond
	}
	return c
}

// at reports whether a task of the job crashes a worker.
func (c crashing) at(task winch.RunID, worker string) bool {
	if !c.crashes || !c.all && task.Index > 0 {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.Job + worker))
	return !c.half || h.Sum32()%2 == 0
}

// boot is the present boot of a worker.
type boot struct {
	vm   winch.WorkerVM
	down bool
	used winch.Capacity
	// shrunk is since when it has less room.
	shrunk time.Time
}

// harm counts what befell workers and tasks.
type harm struct {
	workers int
	under   map[winch.RunID]int
	over    int
}

func newHarm() harm { return harm{under: make(map[winch.RunID]int)} }

// Harm is what tasks that crash their workers did.
type Harm struct {
	Crashing int // Crashing counts the jobs with such tasks, GivenUp those of them that failed.
	GivenUp  int
	Workers  int // Workers counts those that they crashed, Most those under one task.
	Most     int
	Wronged  int // Wronged counts other jobs that failed.
	Over     int // Over counts starts beyond a worker's room.
}

// String describes the harm in a line.
func (h Harm) String() string {
	return fmt.Sprintf("%d jobs crash workers, %d given up, %d workers crashed by them, at most %d under a task; %d other jobs failed; %d starts beyond a worker's room",
		h.Crashing, h.GivenUp, h.Workers, h.Most, h.Wronged, h.Over)
}

// harmDone sums up the harm of a play.
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

func (r *region) need(task winch.RunID) winch.Capacity {
	return r.jobs[task.Job].job.Phases[task.Phase].Need
}

func (r *region) setUpFaults() {
	for _, f := range r.pattern.Faults {
		r.at(f.At, func() { r.fault(f) })
	}
}

func (r *region) fault(f Fault) {
	ids := sorted(r.boots)
	for range f.Count {
		id := ids[r.rnd.IntN(r.pattern.Services[0].Workers)]
		switch b := r.boots[id]; {
		case b.down:
		case f.Shrinks && b.shrunk.IsZero():
			r.shrink(b)
		case !f.Shrinks:
			r.crash(b)
		}
	}
	if f.Every > 0 && r.now.Sub(r.begin)+f.Every < r.pattern.Length {
		r.at(f.Every, func() { r.fault(f) })
	}
}

// crashAfter has a run crash its worker, if its task does that there.
func (r *region) crashAfter(job *arrivalOf, key taskRun, run *active) {
	if !job.crash.at(key.task, run.worker) {
		return
	}
	r.at(job.crash.after, func() {
		if b := r.boots[run.worker]; !run.over && !b.down {
			r.harm.workers++
			r.harm.under[key.task]++
			r.crash(b)
		}
	})
}

// crash ends a worker's process: its runs are gone, and it is back as another boot.
func (r *region) crash(b *boot) {
	id := b.vm.ID
	b.down, b.used = true, winch.Capacity{}
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
		b.vm.Born++
		b.down = false
		delete(r.ends, id)
		r.list()
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: id})
		r.wake()
	})
}

// list tells the planner what the workers say of themselves.
func (r *region) list() {
	var list []winch.WorkerVM
	for _, id := range sorted(r.boots) {
		list = append(list, r.boots[id].vm)
	}
	r.planner.SetWorkers(list)
}

// refused tells the planner that a start has not reached its worker.
func (r *region) refused(o proto.Order) {
	r.at(tripTime, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartRefused})
		r.wake()
	})
}

// shrink leaves a part of a worker's room for a while.
func (r *region) shrink(b *boot) {
	b.shrunk = r.now
	whole := b.vm.Room
	b.vm.Room = winch.Capacity{Milli: int64(shrinkPart * float64(whole.Milli)), Memory: winch.Bytes(shrinkPart * float64(whole.Memory)), Accelerators: whole.Accelerators}
	r.list()
	r.at(shrinkTime, func() {
		b.vm.Room, b.shrunk = whole, time.Time{}
		r.list()
		r.wake()
	})
}

// checkRoom checks that a start fits into its worker's room. One that was ordered before the
// room shrank may not.
func (r *region) checkRoom(o proto.Order) {
	b := r.boots[o.Worker]
	b.used = b.used.Add(r.need(o.Task))
	if !b.used.Fits(b.vm.Room) && (b.shrunk.IsZero() || r.now.Sub(b.shrunk) > gatherTime+tripTime+r.lag) {
		r.harm.over++
	}
}
