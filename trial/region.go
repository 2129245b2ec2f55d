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
	// drainTime is how long jobs may take after the last has come.
	drainTime = 60 * time.Second
	// tripTime is a message's way to a worker or an entry, recordTime the store's answer.
	tripTime   = 2 * time.Millisecond
	recordTime = 6 * time.Millisecond
	// gatherTime and idleTime are how soon after an event, and how often without one,
	// the planner decides.
	gatherTime = 10 * time.Millisecond
	// decidePause is how many times as long as a decision took the next one waits.
	decidePause = 3
	idleTime    = 100 * time.Millisecond
	// reportEvery is how often workers tell how their runs go.
	reportEvery = 500 * time.Millisecond
	// lostTime is how long an order without an answer takes until its run is known not
	// to be there, unheardTime how much later an end is heard whose list was lost.
	lostTime    = 110 * time.Millisecond
	unheardTime = 420 * time.Millisecond
	// stopTime is how long a run takes to stop.
	stopTime = 300 * time.Millisecond
	// lossFrom and lossTo are when answers are lost.
	lossFrom, lossTo = 15 * time.Second, 25 * time.Second
)

// timer is something that happens at a time.
type timer struct {
	at  time.Time
	seq int
	f   func()
}

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

type taskRun struct {
	task winch.RunID
	run  uint64
}

// active is a run at a worker.
type active struct {
	worker string
	begun  time.Time
	left   time.Duration // left is the work that it had to do as it began.
	over   bool
}

// region plays one pattern against the planner in its own time.
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
	// saved is the work that a task has left by its last checkpoint.
	saved  map[winch.RunID]time.Duration
	ends   map[string]uint64
	armed  bool
	lag    time.Duration // lag is how long the last decision took.
	use    use
	ended  []fleet.JobSummary
	record bool
	boots  map[string]*boot
	harm   harm
}

// use sums up how long lanes were busy, and samples of the room in use by service.
type use struct {
	lanes time.Duration
	room  map[string]*mean
}

// Play plays a pattern with a policy.
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

func (r *region) at(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.timers, timer{r.now.Add(d), r.seq, f})
}

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

func (r *region) idle() {
	r.at(idleTime, func() {
		r.decide()
		r.idle()
	})
}

// wake has the planner decide soon.
func (r *region) wake() {
	if !r.armed {
		r.armed = true
		r.at(gatherTime+decidePause*r.lag, r.decide)
	}
}

func (r *region) decide() {
	r.armed = false
	urgent, usual := r.lanes.Available(r.now)
	r.planner.Openings = fleet.RequestQuota{Urgent: urgent, Normal: usual}
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

func (r *region) save() {
	r.record = false
	for _, x := range r.planner.Records(15) {
		r.planner.Saved(x, 1)
	}
	r.wake()
}

// ask deals questions over the lanes.
func (r *region) ask() {
	for {
		lane, q, ok := r.lanes.Next(r.now)
		if !ok {
			return
		}
		took := q.Body.Cost + 2*tripTime
		r.use.lanes += took
		sent := r.now
		r.at(took, func() {
			r.lanes.Done(lane, true, r.now)
			r.planner.AdviceReceived(q.Body, r.tickets(q.Body), 0, sent)
			r.wake()
		})
	}
}

// tickets are the answer to a question: who may run a step depends on both alone. As
// many workers are allowed at least as the step has tasks.
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
	most := max(int(math.Round(r.pattern.Allowed[job.Queue]*float64(len(ids)))), job.Phases[a.Phase.Phase].Count)
	var out []winch.Ticket
	for _, id := range ids[:min(most, len(ids))] {
		if slices.Contains(a.Workers, id) {
			out = append(out, winch.Ticket{Worker: id, Value: "t"})
		}
	}
	return out
}

func (r *region) queue(name string) winch.Queue {
	for _, q := range r.pattern.Queues {
		if q.Name == name {
			return q
		}
	}
	return winch.Queue{}
}

// lost reports whether an answer is lost now.
func (r *region) lost() bool {
	at := r.now.Sub(r.begin)
	return at >= lossFrom && at < lossTo && r.rnd.Float64() < r.pattern.Loss
}

func (r *region) start(o proto.Order) {
	job := r.jobs[o.Task.Job]
	if r.boots[o.Worker].down {
		r.refused(o)
		return
	}
	if !job.job.Phases[o.Task.Phase].Gang && r.lost() {
		r.at(lostTime, func() {
			r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventNotStarted, Worker: o.Worker, Task: o.Task, Run: o.Run, Result: winch.StartUncertain})
			r.wake()
		})
		return
	}
	left, saved := r.saved[o.Task]
	if !saved || o.Checkpoint == "" {
		left = job.truth[o.Task.Phase][o.Task.Index]
	}
	run := &active{worker: o.Worker, begun: r.now, left: left}
	key := taskRun{o.Task, o.Run}
	r.runs[key] = run
	r.checkRoom(o)
	r.crashAfter(job, key, run)
	r.at(tripTime, func() {
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventStarted, Worker: o.Worker, Task: o.Task, Run: o.Run})
	})
	r.at(left+tripTime, func() { r.end(key, run, winch.CompletionDone) })
}

// end lets a worker list an end, late if the list is lost.
func (r *region) end(key taskRun, run *active, kind winch.CompletionKind) {
	if run.over {
		return
	}
	run.over = true
	delete(r.runs, key)
	r.boots[run.worker].used = r.boots[run.worker].used.Sub(r.need(key.task))
	late, checkpoint := tripTime, ""
	if r.lost() {
		late += unheardTime
	}
	if kind == winch.CompletionStopped && r.jobs[key.task.Job].job.Phases[key.task.Phase].Checkpoints {
		r.saved[key.task] = max(0, run.left-r.now.Sub(run.begun))
		checkpoint = "saved"
	}
	r.at(late, func() {
		r.ends[run.worker]++
		r.planner.HandleEvent(proto.KeeperEvent{Kind: proto.EventEnded, Worker: run.worker, Ended: []winch.Completion{
			{Number: r.ends[run.worker], Task: key.task, Run: key.run, Kind: kind, Checkpoint: checkpoint},
		}})
		r.wake()
	})
}

func (r *region) stop(o proto.Order) {
	key := taskRun{o.Task, o.Run}
	if run := r.runs[key]; run != nil {
		r.at(stopTime, func() { r.end(key, run, winch.CompletionStopped) })
	}
}

// report has all workers tell how their runs go, and samples the room in use.
func (r *region) report() {
	r.at(reportEvery, func() {
		running := make(map[string][]winch.Running)
		used := make(map[string]winch.Capacity)
		for key, run := range r.runs {
			phase := r.jobs[key.task.Job].job.Phases[key.task.Phase]
			used[r.service(run.worker).Name] = used[r.service(run.worker).Name].Add(phase.Need)
			truth := r.jobs[key.task.Job].truth[key.task.Phase][key.task.Index]
			done := 1 - float64(run.left-r.now.Sub(run.begun))/float64(truth)
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

func (r *region) service(worker string) Service {
	for _, s := range r.pattern.Services {
		if len(worker) > len(s.Name) && worker[:len(s.Name)] == s.Name {
			return s
		}
	}
	return Service{}
}

// part is the largest part that is used of a service's processors or accelerators.
func (s Service) part(used winch.Capacity) float64 {
	part := float64(used.Milli) / float64(s.Room.Milli*int64(s.Workers))
	if all := s.Room.Accelerators * s.Workers; all > 0 {
		part = max(part, float64(used.Accelerators)/float64(all))
	}
	return part
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
