package trial

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plantainwinch/coord/place"
	"plantainwinch/winch"
)

// Result holds the results of one placer for the arrivals of one fleet.
type Result struct {
	Fleet  string
	Placer string
	// Urgent and Deferred are the waiting times before the first start of a task.
	Urgent, Deferred Waits
	// Met is the fraction of urgent tasks that started within their target.
	Met float64
	// Packing is the mean committed fraction of the processors of workers in use. Full is the mean
	// committed fraction of all processors, and Stranded the mean fraction that could not be used
	// for lack of memory, both while tasks waited.
	Packing, Full, Stranded float64
	// Distance is half the sum of the differences between the teams' use and their fair shares,
	// as a mean over the time in which tasks waited.
	Distance  float64
	Decisions int64
	// PerSecond is the number of decisions per second of planning time, P99 the 99th percentile of
	// the time of a decision.
	PerSecond float64
	P99       time.Duration
	Evictions int
	Lost      time.Duration // Lost is the run time that evictions discarded.
	Done      int           // Done is the work of completed tasks, in processor minutes.
}

// WaitStats summarizes waiting times.
type Waits struct {
	Count    int64
	P50, P99 time.Duration
}

// completion is the scheduled completion of a running task.
type ending struct {
	at   time.Duration
	vm   string
	task winch.Task
	seq  int
}

// completions is a heap of completions, the earliest first.
type endings []ending

// Len implements heap.Interface.
func (c endings) Len() int { return len(c) }

// Less implements heap.Interface.
func (c endings) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].seq < c[j].seq
}

// Swap implements heap.Interface.
func (c endings) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *endings) Push(x any) { *c = append(*c, x.(ending)) }

// Pop implements heap.Interface.
func (c *endings) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// teamLimits implements place.Limits with one limit for all teams, the capacity of the fleet.
type purse struct{ used, limit map[string]int }

// TryTake implements place.Limits.
func (l purse) TryTake(team string, n int) bool {
	if l.used[team]+n > l.limit[team] {
		return false
	}
	l.used[team] += n
	return true
}

// Charge implements place.Limits.
func (l purse) Charge(team string, n int) { l.used[team] += n }

// Return implements place.Limits.
func (l purse) Return(team string, n int) { l.used[team] -= n }

// driver runs one placer on one list of arrivals in simulated time.
type driver struct {
	fleet   Fleet
	planner *place.Planner
	purse   purse
	work    []arrival
	byID    map[string]*arrival
	ends    endings
	live    map[winch.TaskID]int  // liveSeq is the seq of a running task's completion.
	waited  map[winch.TaskID]bool // started holds the tasks whose waiting time is recorded.
	seq     int
	now     time.Duration
	urgent  *hdrhistogram.Histogram
	other   *hdrhistogram.Histogram
	cost    *hdrhistogram.Histogram
	spent   time.Duration
	met     int64
	count   int64
	stats   stats
	done    time.Duration
}

// planInterval is the interval between planning steps, sampleInterval between samples of the fleet's
// use.
const (
	tick        = 100 * time.Millisecond
	sampleEvery = 5 * time.Second
)

// Upper bound and significant figures of the histograms, which hold waiting times in microseconds and
// decision times in nanoseconds.
const (
	histMax     = 100_000_000_000
	histFigures = 3
)

// Run runs one placer on the arrivals of a fleet and returns its results.
func Run(f Fleet, seed uint64, prefer place.Preference, baseline bool) Result {
	d := &driver{
		fleet: f, work: generate(f, seed), byID: make(map[string]*arrival), live: make(map[winch.TaskID]int),
		waited: make(map[winch.TaskID]bool), purse: purse{make(map[string]int), make(map[string]int)},
		urgent: hdrhistogram.New(1, histMax, histFigures), other: hdrhistogram.New(1, histMax, histFigures),
		cost: hdrhistogram.New(1, histMax, histFigures),
	}
	slices.SortStableFunc(d.work, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range d.work {
		d.byID[d.work[i].job.ID] = &d.work[i]
	}
	for i := range f.Teams {
		d.purse.limit[teamName(i)] = f.capacity().Processors
	}
	d.planner = place.NewPlanner(d.purse, func(name string) winch.Team { return winch.Team{Name: name, Share: share(f, name)} })
	d.planner.Prefer, d.planner.Baseline = prefer, baseline
	d.addWorkers()
	d.run()
	return d.result(prefer, baseline)
}

// addWorkers adds the workers of the fleet; those with accelerators are spread evenly.
func (d *driver) addWorkers() {
	for i := range d.fleet.Workers {
		vm := winch.VM{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprint("r", i/d.fleet.RackSize), Size: d.fleet.Size}
		if i%max(1, d.fleet.Workers/max(1, d.fleet.Accelerators)) == 0 {
			vm.Size.Accelerators = 2
		}
		d.planner.SetVM(vm)
		d.planner.Reconcile(vm.ID, nil, start)
	}
	d.planner.OpenBarrier()
}

// run simulates the length of the trial.
func (d *driver) run() {
	next, sample := 0, time.Duration(0)
	for d.now = 0; d.now < d.fleet.Length; d.now += tick {
		for next < len(d.work) && d.work[next].at <= d.now {
			a := d.work[next]
			d.planner.Submit(a.job, a.class, false, start.Add(d.now))
			next++
		}
		for len(d.ends) > 0 && d.ends[0].at <= d.now {
			d.end(heap.Pop(&d.ends).(ending))
		}
		d.plan()
		if d.now >= sample {
			sample += sampleEvery
			d.stats.sample(d)
		}
	}
}

// complete reports the completion of a task to the planner and applies the resulting decisions.
func (d *driver) end(c ending) {
	if d.live[c.task.ID] != c.seq {
		return // The task was evicted.
	}
	delete(d.live, c.task.ID)
	c.task.State = winch.TaskDone
	d.done += time.Duration(c.task.Need.Processors) * d.byID[c.task.ID.Job].truth[c.task.ID.Index]
	d.do(d.planner.TaskEnded(c.vm, c.task, start.Add(d.now)))
	for _, job := range d.planner.TakeCompletions() {
		d.planner.Forget(job.Job)
	}
}

// plan applies decisions until the planner has no more, and records the time that they took.
func (d *driver) plan() {
	for {
		begin := time.Now()
		out := d.planner.Plan(start.Add(d.now), 256)
		took := time.Since(begin)
		d.spent += took
		if len(out) == 0 {
			return
		}
		_ = d.cost.RecordValues(took.Nanoseconds()/int64(len(out)), int64(len(out)))
		d.count += int64(len(out))
		d.do(out)
	}
}

// apply applies decisions. Evicted tasks stop at once.
func (d *driver) do(list []place.Decision) {
	for _, x := range list {
		if x.Action == place.Start {
			d.started(x)
			continue
		}
		delete(d.live, x.Task.ID)
		x.Task.State = winch.TaskStopped
		d.do(d.planner.TaskEnded(x.VM.ID, x.Task, start.Add(d.now)))
	}
}

// startTask starts a task and records its waiting time at its first start.
func (d *driver) started(x place.Decision) {
	a := d.byID[x.Task.ID.Job]
	d.seq++
	d.live[x.Task.ID] = d.seq
	heap.Push(&d.ends, ending{at: d.now + a.truth[x.Task.ID.Index], vm: x.VM.ID, task: x.Task, seq: d.seq})
	d.planner.StartConfirmed(x.Task.Ref())
	if d.waited[x.Task.ID] {
		return
	}
	d.waited[x.Task.ID] = true
	wait := max(0, d.now-a.at)
	switch a.class.Name {
	case classUrgent.Name:
		_ = d.urgent.RecordValue(wait.Microseconds())
		if wait <= a.class.Wait {
			d.met++
		}
	case classBatch.Name, classBilled.Name:
		_ = d.other.RecordValue(wait.Microseconds())
	}
}

// waitStats summarizes a histogram of microseconds.
func waits(h *hdrhistogram.Histogram) Waits {
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return Waits{Count: h.TotalCount(), P50: us(h.ValueAtQuantile(50)), P99: us(h.ValueAtQuantile(99))}
}

// result returns the results. Urgent tasks that never started count as not met, unless they arrived
// too late for their target to pass within the trial.
func (d *driver) result(prefer place.Preference, baseline bool) Result {
	urgent := int64(0)
	for _, a := range d.work {
		if a.class.Name == classUrgent.Name && a.at < d.fleet.Length-classUrgent.Wait {
			urgent++
		}
	}
	out := Result{
		Fleet: d.fleet.Name, Placer: string(prefer), Urgent: waits(d.urgent), Deferred: waits(d.other),
		Met: float64(min(d.met, urgent)) / float64(max(1, urgent)), Decisions: d.count, PerSecond: float64(d.count) / d.spent.Seconds(),
		P99: time.Duration(d.cost.ValueAtQuantile(99)), Evictions: d.planner.Evictions, Lost: d.planner.LostRunTime, Done: int(d.done.Minutes()),
	}
	if baseline {
		out.Placer = "baseline"
	}
	d.stats.fill(&out)
	return out
}

// Growth measures the cost of a decision for 50 to 1600 workers, with the load in proportion.
func Growth(seed uint64) []Result {
	var out []Result
	for _, n := range []int{50, 100, 200, 400, 800, 1600} {
		f := Fleets()[2]
		f.Name = fmt.Sprintf("%d workers", n)
		f.Workers, f.Services, f.Accelerators, f.Length, f.Burst = n, n*5/2, n/2, 10*time.Minute, n
		out = append(out, Run(f, seed, place.Packing, false))
	}
	return out
}
