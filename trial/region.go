package trial

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"plantainwinch/coord/fleet"
	"plantainwinch/coord/lanes"
	"plantainwinch/proto"
	"plantainwinch/winch"
)

const (
	// drainPeriod is how long the simulation continues after the last arrival.
	drainTime = 60 * time.Second
	// messageDelay is the one-way delay between planner and workers or entries, commitDelay the
	// response time of the store.
	tripTime   = 2 * time.Millisecond
	recordTime = 6 * time.Millisecond
	// gatherDelay is the delay from an event to the planner's decision, so that one decision covers
	// several events.
	gatherTime = 10 * time.Millisecond
	// decisionPauseFactor is the additional delay before a decision, in multiples of the time that
	// the previous one took.
	decidePause = 3
	// idleInterval is the interval between decisions without events.
	idleTime = 100 * time.Millisecond
	// reportInterval is the interval at which workers report the progress of their runs.
	reportEvery = 500 * time.Millisecond
	// lostStartDelay is the time until a start whose response is lost is known not to run,
	// lostListDelay the additional delay of a completion whose list is lost.
	lostTime    = 110 * time.Millisecond
	unheardTime = 420 * time.Millisecond
	// stopDelay is how long a run takes to stop.
	stopTime = 300 * time.Millisecond
	// lossStart and lossEnd bound the time in which responses are lost.
	lossFrom, lossTo = 15 * time.Second, 25 * time.Second
)

// timer calls fire at a simulated time. Timers of the same time fire in the order of their seq.
type timer struct {
	at  time.Time
	seq int
	f   func()
}

// timers is a heap of timers, the earliest first.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// runKey identifies a run of a task.
type taskRun struct {
	task winch.RunID
	run  uint64
}

// activeRun is a run at a worker.
type active struct {
	worker string
	begun  time.Time
	left   time.Duration // remaining is the work that was left when the run started.
	over   bool
}

// simRegion simulates a region: it runs one pattern against the planner in simulated time.
type region struct {
	pattern Pattern
	rnd     *rand.Rand
	begin   time.Time
	now     time.Time
	timers  timers
	seq     int
	planner *fleet.Planner
	lanes   lanes.Lanes[fleet.AdviceRequest]
	jobs    map[string]*arrivalOf
	runs    map[taskRun]*active
	// checkpointed is the work that a task has left at its last checkpoint.
	saved map[winch.RunID]time.Duration
	// lastEnded is the number of the last ended run of each worker.
	ends map[string]uint64
	// decisionPending is set while a decision is scheduled, savePending while a commit of job
	// records is.
	armed  bool
	lag    time.Duration // decisionTime is how long the last decision took.
	use    use
	ended  []fleet.JobSummary
	record bool
	boots  map[string]*boot
	harm   harm
}

// usage holds the total time that lanes were busy, and the mean fraction of capacity in use by service.
type use struct {
	lanes time.Duration
	room  map[string]*mean
}

// Play simulates a pattern under a policy and returns its outcome.
func Play(p Pattern, policy fleet.Policy, seed uint64) Outcome {
	r := &region{
		pattern: p, rnd: rand.New(rand.NewPCG(seed, 7)), begin: start, now: start, planner: fleet.New(1),
		jobs: make(map[string]*arrivalOf), runs: make(map[taskRun]*active), saved: make(map[winch.RunID]time.Duration),
		ends: make(map[string]uint64), boots: make(map[string]*boot), harm: newHarm(), use: use{room: make(map[string]*mean)},
	}
	r.planner.Clock = func() time.Time { return r.now }
	r.planner.Policy = policy
	r.setUp()
	end := start.Add(p.Length + drainTime)
	for len(r.timers) > 0 && !r.timers[0].at.After(end) {
		t := heap.Pop(&r.timers).(timer)
		r.now = t.at
		t.f()
	}
	return r.outcome()
}

// schedule calls f after the given simulated time.
func (r *region) at(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.timers, timer{r.now.Add(d), r.seq, f})
}

// setUp configures the planner, starts the workers and schedules the arrivals.
func (r *region) setUp() {
	r.planner.SetConfig(&winch.RegionConfig{Version: 1, Queues: r.pattern.Queues, Teams: r.pattern.Teams})
	var list []winch.WorkerVM
	for _, s := range r.pattern.Services {
		for i := range s.Workers {
			vm := winch.WorkerVM{ID: s.Name + strconv.Itoa(i), Address: s.Name + strconv.Itoa(i), Service: s.Name, Room: s.Room, Born: 1}
			list = append(list, vm)
			r.boots[vm.ID] = &boot{vm: vm}
		}
		r.use.room[s.Name] = &mean{}
	}
	r.planner.SetWorkers(list)
	r.setUpFaults()
	for _, vm := range list {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventListed, Worker: vm.ID})
	}
	var names []string
	for i := range r.pattern.Lanes {
		names = append(names, "entry"+strconv.Itoa(i))
	}
	r.lanes.SetLanes(names)
	for _, a := range r.pattern.arrivals(r.rnd, r.begin) {
		r.jobs[a.job.ID] = &a
		r.at(a.at, func() {
			r.planner.Add(&a.job, nil, 0)
			r.wake()
		})
	}
	r.idle()
	r.report()
}

// scheduleIdle schedules a decision every idleInterval.
func (r *region) idle() {
	r.at(idleTime, func() {
		r.decide()
		r.idle()
	})
}

// scheduleDecision schedules a decision unless one is pending.
func (r *region) wake() {
	if !r.armed {
		r.armed = true
		r.at(gatherTime+decidePause*r.lag, r.decide)
	}
}

// decide lets the planner decide and sends its orders and advice requests.
func (r *region) decide() {
	r.armed = false
	urgent, normal := r.lanes.Available(r.now)
	r.planner.Openings = fleet.RequestQuota{Urgent: urgent, Normal: normal}
	before := r.planner.Counts().Examined
	r.planner.Schedule()
	r.lag = time.Duration(r.planner.Counts().Examined-before) * r.pattern.Look
	for _, o := range r.planner.Orders() {
		switch o.Kind {
		case proto.OrderStart:
			r.at(r.lag+tripTime, func() { r.start(o) })
		case proto.OrderStop:
			r.at(r.lag+tripTime, func() { r.stop(o) })
		}
	}
	for _, a := range r.planner.AdviceRequests() {
		r.lanes.Add(lanes.Request[fleet.AdviceRequest]{Body: a, Urgent: a.Urgent, Rank: a.Rank})
	}
	r.ask()
	if r.planner.HasUnsaved() && !r.record {
		r.record = true
		r.at(recordTime, r.save)
	}
	r.ended = append(r.ended, r.planner.JobSummaries()...)
	r.planner.Losses()
	r.planner.CountedCrashes()
}

// save acknowledges the planner's job records as committed.
func (r *region) save() {
	r.record = false
	for _, x := range r.planner.Records(15) {
		r.planner.Saved(x, 1)
	}
	r.wake()
}

// sendAdviceRequests sends waiting advice requests while lanes are free.
func (r *region) ask() {
	for {
		lane, request, ok := r.lanes.Next(r.now)
		if !ok {
			return
		}
		took := request.Body.Cost + 2*tripTime
		r.use.lanes += took
		sent := r.now
		r.at(took, func() {
			r.lanes.Done(lane, true, r.now)
			r.planner.AdviceReceived(request.Body, r.tickets(request.Body), 0, sent)
			r.wake()
		})
	}
}

// tickets returns the response to an advice request. Whether a worker may run a phase depends on
// the phase and the worker alone, and the workers allowed are at least as many as the phase has tasks.
func (r *region) tickets(a fleet.AdviceRequest) []winch.Ticket {
	job := r.jobs[a.Phase.Job].job
	order := make(map[string]uint64)
	for _, s := range r.pattern.Services {
		if s.Name != r.queue(job.Queue).Service {
			continue
		}
		for i := range s.Workers {
			h := fnv.New64a()
			_, _ = h.Write([]byte(a.Phase.Job + "/" + strconv.Itoa(a.Phase.Phase) + "/" + s.Name + strconv.Itoa(i)))
			order[s.Name+strconv.Itoa(i)] = rand.New(rand.NewPCG(h.Sum64(), 1)).Uint64()
		}
	}
	ids := sorted(order)
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(order[x], order[y]) })
	allowed := max(int(math.Round(r.pattern.Allowed[job.Queue]*float64(len(ids)))), job.Phases[a.Phase.Phase].Count)
	var out []winch.Ticket
	for _, id := range ids[:min(allowed, len(ids))] {
		if slices.Contains(a.Workers, id) {
			out = append(out, winch.Ticket{Worker: id, Value: "t"})
		}
	}
	return out
}

// queue returns the queue with the given name, or an empty one.
func (r *region) queue(name string) winch.Queue {
	for _, q := range r.pattern.Queues {
		if q.Name == name {
			return q
		}
	}
	return winch.Queue{}
}

// losesResponse draws whether a response sent now is lost.
func (r *region) lost() bool {
	at := r.now.Sub(r.begin)
	return at >= lossFrom && at < lossTo && r.rnd.Float64() < r.pattern.Loss
}

// startRun starts a run at its worker, unless the worker is down or the response is lost.
func (r *region) start(o proto.Order) {
	arrival := r.jobs[o.Task.Job]
	if r.boots[o.Worker].down {
		r.refused(o)
		return
	}
	if !arrival.job.Phases[o.Task.Phase].Gang && r.lost() {
		r.at(lostTime, func() {
			r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartUncertain})
			r.wake()
		})
		return
	}
	left, saved := r.saved[o.Task]
	if !saved || o.Checkpoint == "" {
		left = arrival.truth[o.Task.Phase][o.Task.Index]
	}
	run := &active{worker: o.Worker, begun: r.now, left: left}
	key := taskRun{o.Task, o.Run}
	r.runs[key] = run
	r.checkRoom(o)
	r.crashAfter(arrival, key, run)
	r.at(tripTime, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
	})
	r.at(left+tripTime, func() { r.end(key, run, winch.CompletionDone) })
}

// endRun ends a run and reports its completion, with an additional delay if the list is lost.
func (r *region) end(key taskRun, run *active, kind winch.CompletionKind) {
	if run.over {
		return
	}
	run.over = true
	delete(r.runs, key)
	r.boots[run.worker].used = r.boots[run.worker].used.Sub(r.need(key.task))
	delay, checkpoint := tripTime, ""
	if r.lost() {
		delay += unheardTime
	}
	if kind == winch.CompletionStopped && r.jobs[key.task.Job].job.Phases[key.task.Phase].Checkpoints {
		r.saved[key.task] = max(0, run.left-r.now.Sub(run.begun))
		checkpoint = "saved"
	}
	r.at(delay, func() {
		r.ends[run.worker]++
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: run.worker, Ended: []winch.Completion{
			{Number: r.ends[run.worker], Task: key.task, Run: key.run, Kind: kind, Checkpoint: checkpoint},
		}})
		r.wake()
	})
}

// stopRun ends a run after stopDelay.
func (r *region) stop(o proto.Order) {
	key := taskRun{o.Task, o.Run}
	if run := r.runs[key]; run != nil {
		r.at(stopTime, func() { r.end(key, run, winch.CompletionStopped) })
	}
}

// scheduleReports schedules the progress reports of all workers and the samples of capacity in use.
func (r *region) report() {
	r.at(reportEvery, func() {
		running := make(map[string][]winch.Running)
		used := make(map[string]winch.Capacity)
		for key, run := range r.runs {
			phase := r.jobs[key.task.Job].job.Phases[key.task.Phase]
			used[r.service(run.worker).Name] = used[r.service(run.worker).Name].Add(phase.Need)
			runTime := r.jobs[key.task.Job].truth[key.task.Phase][key.task.Index]
			done := 1 - float64(run.left-r.now.Sub(run.begun))/float64(runTime)
			running[run.worker] = append(running[run.worker], winch.Running{Task: key.task, Run: key.run, Percent: float64(int(100 * done))})
		}
		for _, id := range sorted(running) {
			if r.boots[id].down {
				continue
			}
			r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStatus, Worker: id, Running: running[id]})
		}
		if r.now.Sub(r.begin) <= r.pattern.Length {
			for _, s := range r.pattern.Services {
				r.use.room[s.Name].add(s.part(used[s.Name]))
			}
		}
		r.report()
	})
}

// serviceOf returns the service of a worker, whose ID begins with the service's name.
func (r *region) service(worker string) Service {
	for _, s := range r.pattern.Services {
		if len(worker) > len(s.Name) && worker[:len(s.Name)] == s.Name {
			return s
		}
	}
	return Service{}
}

// usedFraction returns the fraction in use of a service's processors or accelerators, whichever is
// larger.
func (s Service) part(used winch.Capacity) float64 {
	fraction := float64(used.Milli) / float64(s.Room.Milli*int64(s.Workers))
	if all := s.Room.Accelerators * s.Workers; all > 0 {
		fraction = max(fraction, float64(used.Accelerators)/float64(all))
	}
	return fraction
}

// sortedKeys returns the keys of a map in ascending order.
func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
