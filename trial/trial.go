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

// Result holds the results of one variant of a domain's planner for the arrivals of one fleet.
type Result struct {
	Fleet  string
	Placer string // Placer names the variant: its preference, or "baseline".
	// Urgent and Deferred are the waiting times before the first start of a task.
	Urgent, Deferred WaitStats
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
type WaitStats struct {
	Count    int64
	P50, P99 time.Duration
}

// completion is the scheduled completion of a running task.
type completion struct {
	at   time.Duration
	vm   string
	task winch.Task
	seq  int
}

// completions is a heap of completions, the earliest first.
type completions []completion

// Len implements heap.Interface.
func (c completions) Len() int { return len(c) }

// Less implements heap.Interface.
func (c completions) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].seq < c[j].seq
}

// Swap implements heap.Interface.
func (c completions) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *completions) Push(x any) { *c = append(*c, x.(completion)) }

// Pop implements heap.Interface.
func (c *completions) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// teamLimits implements place.Limits with one limit for all teams, the capacity of the fleet.
type teamLimits struct{ used, limit map[string]int }

// TryTake implements place.Limits.
func (l teamLimits) TryTake(team string, n int) bool {
	if l.used[team]+n > l.limit[team] {
		return false
	}
	l.used[team] += n
	return true
}

// Charge implements place.Limits.
func (l teamLimits) Charge(team string, n int) { l.used[team] += n }

// Return implements place.Limits.
func (l teamLimits) Return(team string, n int) { l.used[team] -= n }

// driver runs the planner of one failure domain on a list of arrivals in simulated time.
type driver struct {
	fleet         Fleet
	planner       *place.Planner
	limits        teamLimits
	arrivals      []arrival
	byID          map[string]*arrival
	completions   completions
	liveSeq       map[winch.TaskID]int  // liveSeq is the seq of a running task's completion.
	started       map[winch.TaskID]bool // started holds the tasks whose waiting time is recorded.
	seq           int
	now           time.Duration
	urgentWaits   *hdrhistogram.Histogram
	deferredWaits *hdrhistogram.Histogram
	decisionTimes *hdrhistogram.Histogram
	planTime      time.Duration
	metTarget     int64
	decisions     int64
	stats         stats
	doneWork      time.Duration
}

// planInterval is the simulated time between rounds of planning, sampleInterval that between samples
// of the fleet's use.
const (
	planInterval   = 100 * time.Millisecond
	sampleInterval = 5 * time.Second
)

// Upper bound and significant figures of the histograms, which hold waiting times in microseconds and
// decision times in nanoseconds.
const (
	histMax     = 100_000_000_000
	histFigures = 3
)

// Run runs the planner of a failure domain, or its baseline, on the arrivals of a fleet and returns
// the results.
func Run(f Fleet, seed uint64, prefer place.Preference, baseline bool) Result {
	d := &driver{
		fleet: f, arrivals: generate(f, seed), byID: make(map[string]*arrival), liveSeq: make(map[winch.TaskID]int),
		started: make(map[winch.TaskID]bool), limits: teamLimits{make(map[string]int), make(map[string]int)},
		urgentWaits: hdrhistogram.New(1, histMax, histFigures), deferredWaits: hdrhistogram.New(1, histMax, histFigures),
		decisionTimes: hdrhistogram.New(1, histMax, histFigures),
	}
	slices.SortStableFunc(d.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range d.arrivals {
		d.byID[d.arrivals[i].job.ID] = &d.arrivals[i]
	}
	for i := range f.Teams {
		d.limits.limit[teamName(i)] = f.capacity().Processors
	}
	d.planner = place.NewPlanner(d.limits, func(name string) winch.Team { return winch.Team{Name: name, Share: teamShare(f, name)} })
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
		d.planner.Reconcile(vm.ID, nil, trialStart)
	}
	d.planner.OpenBarrier()
}

// run simulates the length of the trial.
func (d *driver) run() {
	next, sample := 0, time.Duration(0)
	for d.now = 0; d.now < d.fleet.Length; d.now += planInterval {
		for next < len(d.arrivals) && d.arrivals[next].at <= d.now {
			a := d.arrivals[next]
			d.planner.Submit(a.job, a.class, false, trialStart.Add(d.now))
			next++
		}
		for len(d.completions) > 0 && d.completions[0].at <= d.now {
			d.complete(heap.Pop(&d.completions).(completion))
		}
		d.plan()
		if d.now >= sample {
			sample += sampleInterval
			d.stats.sample(d)
		}
	}
}

// complete reports the completion of a task to the planner and applies the resulting decisions.
func (d *driver) complete(c completion) {
	if d.liveSeq[c.task.ID] != c.seq {
		return // The task was evicted.
	}
	delete(d.liveSeq, c.task.ID)
	c.task.State = winch.TaskDone
	d.doneWork += time.Duration(c.task.Need.Processors) * d.byID[c.task.ID.Job].runTimes[c.task.ID.Index]
	d.apply(d.planner.TaskEnded(c.vm, c.task, trialStart.Add(d.now)))
	for _, job := range d.planner.TakeCompletions() {
		d.planner.Forget(job.Job)
	}
}

// plan applies decisions until the planner has no more, and records the time that they took.
func (d *driver) plan() {
	for {
		begin := time.Now()
		out := d.planner.Plan(trialStart.Add(d.now), 256)
		took := time.Since(begin)
		d.planTime += took
		if len(out) == 0 {
			return
		}
		_ = d.decisionTimes.RecordValues(took.Nanoseconds()/int64(len(out)), int64(len(out)))
		d.decisions += int64(len(out))
		d.apply(out)
	}
}

// apply applies decisions. Evicted tasks stop at once.
func (d *driver) apply(list []place.Decision) {
	for _, x := range list {
		if x.Action == place.Start {
			d.startTask(x)
			continue
		}
		delete(d.liveSeq, x.Task.ID)
		x.Task.State = winch.TaskStopped
		d.apply(d.planner.TaskEnded(x.VM.ID, x.Task, trialStart.Add(d.now)))
	}
}

// startTask starts a task and records its waiting time at its first start.
func (d *driver) startTask(x place.Decision) {
	a := d.byID[x.Task.ID.Job]
	d.seq++
	d.liveSeq[x.Task.ID] = d.seq
	heap.Push(&d.completions, completion{at: d.now + a.runTimes[x.Task.ID.Index], vm: x.VM.ID, task: x.Task, seq: d.seq})
	d.planner.StartConfirmed(x.Task.Ref())
	if d.started[x.Task.ID] {
		return
	}
	d.started[x.Task.ID] = true
	wait := max(0, d.now-a.at)
	switch a.class.Name {
	case classUrgent.Name:
		_ = d.urgentWaits.RecordValue(wait.Microseconds())
		if wait <= a.class.Wait {
			d.metTarget++
		}
	case classBatch.Name, classBilled.Name:
		_ = d.deferredWaits.RecordValue(wait.Microseconds())
	}
}

// waitStats summarizes a histogram of microseconds.
func waitStats(h *hdrhistogram.Histogram) WaitStats {
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return WaitStats{Count: h.TotalCount(), P50: us(h.ValueAtQuantile(50)), P99: us(h.ValueAtQuantile(99))}
}

// result returns the results. Urgent tasks that never started count as not met, unless they arrived
// too late for their target to pass within the trial.
func (d *driver) result(prefer place.Preference, baseline bool) Result {
	urgent := int64(0)
	for _, a := range d.arrivals {
		if a.class.Name == classUrgent.Name && a.at < d.fleet.Length-classUrgent.Wait {
			urgent++
		}
	}
	out := Result{
		Fleet: d.fleet.Name, Placer: string(prefer), Urgent: waitStats(d.urgentWaits), Deferred: waitStats(d.deferredWaits),
		Met: float64(min(d.metTarget, urgent)) / float64(max(1, urgent)), Decisions: d.decisions, PerSecond: float64(d.decisions) / d.planTime.Seconds(),
		P99: time.Duration(d.decisionTimes.ValueAtQuantile(99)), Evictions: d.planner.Evictions, Lost: d.planner.LostRunTime, Done: int(d.doneWork.Minutes()),
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
