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
	drainPeriod = 60 * time.Second
	// messageDelay is the one-way delay between planner and workers or entries, commitDelay the
	// response time of the store.
	messageDelay = 2 * time.Millisecond
	commitDelay  = 6 * time.Millisecond
	// gatherDelay is the delay from an event to the planner's decision, so that one decision covers
	// several events.
	gatherDelay = 10 * time.Millisecond
	// decisionPauseFactor is the additional delay before a decision, in multiples of the time that
	// the previous one took.
	decisionPauseFactor = 3
	// idleInterval is the interval between decisions without events.
	idleInterval = 100 * time.Millisecond
	// reportInterval is the interval at which workers report the progress of their runs.
	reportInterval = 500 * time.Millisecond
	// lostStartDelay is the time until a start whose response is lost is known not to run,
	// lostListDelay the additional delay of a completion whose list is lost.
	lostStartDelay = 110 * time.Millisecond
	lostListDelay  = 420 * time.Millisecond
	// stopDelay is how long a run takes to stop.
	stopDelay = 300 * time.Millisecond
	// restoreDelay is how long a run takes to resume from a checkpoint, in patterns whose runs save
	// their progress at intervals.
	restoreDelay = 100 * time.Millisecond
	// lossStart and lossEnd bound the time in which responses are lost.
	lossStart, lossEnd = 15 * time.Second, 25 * time.Second
)

// runKey identifies a run of a task.
type runKey struct {
	task winch.RunID
	run  uint64
}

// activeRun is a run at a worker.
type activeRun struct {
	worker    string
	started   time.Time
	remaining time.Duration // remaining is how long the run takes in all.
	work      time.Duration // work is the part of the task's true run time that was left when the run started.
	ended     bool
}

// workLeft returns the work that the run has left, assuming that it proceeds evenly.
func (a *activeRun) workLeft(now time.Time) time.Duration {
	if a.remaining <= 0 {
		return 0
	}
	return time.Duration(max(0, 1-now.Sub(a.started).Seconds()/a.remaining.Seconds()) * float64(a.work))
}

// simRegion simulates a region: it runs one pattern against the planner in simulated time.
type simRegion struct {
	pattern Pattern
	rnd     *rand.Rand
	begin   time.Time
	now     time.Time
	timers  timers
	seq     int
	planner *fleet.Planner
	lanes   lanes.Lanes[fleet.AdviceRequest]
	jobs    map[string]*jobArrival
	runs    map[runKey]*activeRun
	// checkpointed is the work that a task has left at its last checkpoint.
	checkpointed map[winch.RunID]time.Duration
	// lastEnded is the number of the last ended run of each worker.
	lastEnded map[string]uint64
	// decisionPending is set while a decision is scheduled, savePending while a commit of job
	// records is.
	decisionPending bool
	decisionTime    time.Duration // decisionTime is how long the last decision took.
	usage           usage
	completed       []fleet.JobSummary
	savePending     bool
	workers         map[string]*workerState
	evacuated       map[string]bool // evacuated holds the failure domains that were evacuated, and whether they still are.
	crashes         crashCounts
	// record, if set, is called with each order and advice request of the planner.
	record    func(decision any)
	copies    CopyReport
	overlaps  overlaps
	starts    map[winch.RunID]int // starts counts the runs of each task that were started.
	admission admission
}

// usage holds the total time that lanes were busy, and the mean fraction of capacity in use by service.
type usage struct {
	laneTime time.Duration
	capacity map[string]*mean
}

// Play simulates a pattern under a policy and returns its outcome.
func Play(p Pattern, policy winch.Policy, seed uint64) Outcome {
	return play(p, policy, seed, nil).outcome()
}

// play simulates a pattern under a policy.
func play(p Pattern, policy winch.Policy, seed uint64, record func(decision any)) *simRegion {
	r := &simRegion{
		record: record, pattern: p, rnd: rand.New(rand.NewPCG(seed, 7)), begin: trialStart, now: trialStart, planner: fleet.New(1),
		jobs: make(map[string]*jobArrival), runs: make(map[runKey]*activeRun), checkpointed: make(map[winch.RunID]time.Duration),
		lastEnded: make(map[string]uint64), workers: make(map[string]*workerState), evacuated: make(map[string]bool), crashes: newCrashCounts(), overlaps: make(overlaps), starts: make(map[winch.RunID]int), usage: usage{capacity: make(map[string]*mean)},
	}
	r.planner.Clock = func() time.Time { return r.now }
	r.planner.Policy = policy
	r.admission = newAdmission(p.Lanes)
	r.setUp()
	end := trialStart.Add(p.Length + drainPeriod)
	for len(r.timers) > 0 && !r.timers[0].at.After(end) {
		t := heap.Pop(&r.timers).(timer)
		r.now = t.at
		t.fire()
	}
	return r
}

// schedule calls f after the given simulated time.
func (r *simRegion) schedule(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.timers, timer{r.now.Add(d), r.seq, f})
}

// setUp configures the planner, starts the workers and schedules the arrivals.
func (r *simRegion) setUp() {
	r.planner.SetConfig(&winch.RegionConfig{Version: 1, Queues: r.pattern.Queues, Teams: r.pattern.Teams})
	var list []winch.WorkerVM
	for _, s := range r.pattern.Services {
		for i := range s.Workers {
			vm := winch.WorkerVM{Labels: s.labelsOf(i), ID: s.Name + strconv.Itoa(i), Address: s.Name + strconv.Itoa(i), Service: s.Name, Domain: r.pattern.domainOf(i), Room: s.Room, Born: 1}
			list = append(list, vm)
			r.workers[vm.ID] = &workerState{vm: vm, speed: s.speedOf(i) * r.pattern.Stragglers.factorOf(i)}
		}
		r.usage.capacity[s.Name] = &mean{}
	}
	r.planner.SetWorkers(list)
	r.scheduleFaults()
	r.scheduleEvacuations()
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
		r.schedule(a.at, func() { r.submit(&a) })
	}
	r.scheduleStates()
	r.scheduleIdle()
	r.scheduleReports()
}

// scheduleIdle schedules a decision every idleInterval.
func (r *simRegion) scheduleIdle() {
	r.schedule(idleInterval, func() {
		r.decide()
		r.scheduleIdle()
	})
}

// scheduleDecision schedules a decision unless one is pending.
func (r *simRegion) scheduleDecision() {
	if !r.decisionPending {
		r.decisionPending = true
		r.schedule(gatherDelay+decisionPauseFactor*r.decisionTime, r.decide)
	}
}

// decide lets the planner decide and sends its orders and advice requests.
func (r *simRegion) decide() {
	r.decisionPending = false
	urgent, normal := r.lanes.Available(r.now)
	r.planner.Quota = fleet.RequestQuota{Urgent: urgent, Normal: normal}
	before := r.planner.Counts().Examined
	r.planner.Schedule()
	r.decisionTime = time.Duration(r.planner.Counts().Examined-before) * r.pattern.ExamineTime
	for _, o := range r.planner.Orders() {
		if r.record != nil {
			r.record(o)
		}
		switch o.Kind {
		case proto.OrderStart:
			r.schedule(r.decisionTime+messageDelay, func() { r.startRun(o) })
		case proto.OrderStop:
			r.schedule(r.decisionTime+messageDelay, func() { r.stopRun(o) })
		}
	}
	for _, a := range r.planner.AdviceRequests() {
		if r.record != nil {
			r.record(a)
		}
		r.lanes.Add(lanes.Request[fleet.AdviceRequest]{Body: a, Urgent: a.Urgent, Rank: a.Rank})
	}
	r.sendAdviceRequests()
	if r.planner.HasUnsaved() && !r.savePending {
		r.savePending = true
		r.schedule(commitDelay, r.save)
	}
	r.completed = append(r.completed, r.planner.JobSummaries()...)
	if r.planner.AdmissionChanging(r.now) {
		r.sendState()
	}
	r.planner.Losses()
	r.planner.CountedCrashes()
	r.countCopies()
}

// save acknowledges the planner's job records as committed.
func (r *simRegion) save() {
	r.savePending = false
	for _, x := range r.planner.Records(15) {
		r.planner.Saved(x, 1)
	}
	r.scheduleDecision()
}

// sendAdviceRequests sends waiting advice requests while lanes are free.
func (r *simRegion) sendAdviceRequests() {
	for {
		lane, request, ok := r.lanes.Next(r.now)
		if !ok {
			return
		}
		took := request.Body.Cost + 2*messageDelay
		r.usage.laneTime += took
		sent := r.now
		r.schedule(took, func() {
			r.lanes.Done(lane, true, r.now)
			r.planner.AdviceReceived(request.Body, r.tickets(request.Body), 0, sent)
			r.scheduleDecision()
		})
	}
}

// tickets returns the response to an advice request. Whether a worker may run a phase depends on
// the phase and the worker alone, and the workers allowed are at least as many as the phase has tasks.
func (r *simRegion) tickets(a fleet.AdviceRequest) []winch.Ticket {
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
	ids := sortedKeys(order)
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(order[x], order[y]) })
	allowed := max(int(math.Round(r.pattern.AllowedShare[job.Queue]*float64(len(ids)))), job.Phases[a.Phase.Phase].Count)
	var out []winch.Ticket
	for _, id := range ids[:min(allowed, len(ids))] {
		if slices.Contains(a.Workers, id) {
			out = append(out, winch.Ticket{Worker: id, Value: "t"})
		}
	}
	return out
}

// queue returns the queue with the given name, or an empty one.
func (r *simRegion) queue(name string) winch.Queue {
	for _, q := range r.pattern.Queues {
		if q.Name == name {
			return q
		}
	}
	return winch.Queue{}
}

// serviceOf returns the service of a worker, whose ID begins with the service's name.
func (r *simRegion) serviceOf(worker string) Service {
	for _, s := range r.pattern.Services {
		if len(worker) > len(s.Name) && worker[:len(s.Name)] == s.Name {
			return s
		}
	}
	return Service{}
}

// usedFraction returns the fraction in use of a service's processors or accelerators, whichever is
// larger.
func (s Service) usedFraction(used winch.Capacity) float64 {
	fraction := float64(used.Milli) / float64(s.Room.Milli*int64(s.Workers))
	if all := s.Room.Accelerators * s.Workers; all > 0 {
		fraction = max(fraction, float64(used.Accelerators)/float64(all))
	}
	return fraction
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
