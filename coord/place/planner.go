package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// maxTaskFailures is the number of failures of one task after which a repeatable job
	// fails.
	maxTaskFailures = 3
	// urgentBefore is how long before its latest start deferred work counts as urgent.
	urgentBefore = time.Minute
	// defaultRunTime is the forecast for a task without a declared run time and history.
	defaultRunTime = time.Minute
	// minBackoff and maxBackoff bound the delay after a failed start.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 30 * time.Second
	// maxCandidates bounds the workers that are compared for one task.
	maxCandidates = 8
)

// Preference is the placement goal that the operator selects.
type Preference string

// The placement goals.
const (
	// Packing fills the workers with the fewest free processors first.
	Packing Preference = "Packing"
	// Waiting puts long-running tasks on the workers with the most free processors.
	Waiting Preference = "Waiting"
)

// Action is the kind of a decision.
type Action uint8

// The actions of a decision.
const (
	Start Action = iota + 1 // Start starts the task on the worker.
	Evict                   // Evict checkpoints the task to free capacity.
	Stop                    // Stop stops the task for a reason other than eviction.
)

// Decision is one action to be carried out at a worker.
type Decision struct {
	Action Action
	Task   winch.Task
	VM     winch.VM
	// Repeatable is the property of the job's class. For a task of a non-repeatable job, a
	// start intent must be recorded before Start is carried out.
	Repeatable bool
}

// Limits accounts for the units of the teams' upper limits. Each running task uses one
// unit.
type Limits interface {
	// TryTake takes n units if the team's limit allows it and reports whether it did.
	TryTake(team string, n int) bool
	// Charge takes n units without checking the team's limit.
	Charge(team string, n int)
	// Return gives n units back.
	Return(team string, n int)
}

// Planner holds the workers, running tasks and job queue of one failure domain. It is
// not safe for concurrent use. Set the exported configuration fields before calling any
// method.
type Planner struct {
	Prefer Preference
	Limits Limits
	// Team returns a team's configuration.
	Team func(name string) winch.Team
	// Epoch is the planner's epoch. It distinguishes the planner's starts from those of
	// other planners.
	Epoch uint64
	// Baseline selects plain first come, first served with first fit, as a reference for
	// comparisons.
	Baseline bool

	nodes   map[string]*node
	order   []*node // order caches the nodes sorted by ID; nil after a change.
	index   index
	jobs    map[string]*job
	queue   queue
	size    winch.Resources
	used    map[string]winch.Resources
	history map[historyKey]*history
	// reserved is the reservation for one waiting job, or nil.
	reserved *reservation
	// delayed holds the jobs that are kept out of the queue until their backoff is over.
	delayed []*job
	seq     uint64 // seq is the sequence number of the next submitted job.
	// capacityVersion increases with every change that could let a job fit that did not fit
	// before.
	capacityVersion uint64
	// barrierOpen is true once OpenBarrier was called.
	barrierOpen bool
	completions []Completion
	// early holds the results of tasks whose jobs are not known yet, by job.
	early map[string][]earlyResult
	// LostRunTime is the total run time that evictions discarded.
	LostRunTime time.Duration
	// Evictions is the number of evicted tasks.
	Evictions int
}

// NewPlanner returns a planner without workers or jobs.
func NewPlanner(limits Limits, team func(string) winch.Team) *Planner {
	return &Planner{
		Prefer: Packing, Limits: limits, Team: team,
		nodes: make(map[string]*node), jobs: make(map[string]*job),
		queue:   queue{shapes: make(map[shapeKey]*shape)},
		used:    make(map[string]winch.Resources),
		history: make(map[historyKey]*history),
		early:   make(map[string][]earlyResult),
	}
}

// SetVM adds a worker, or updates the address of a known one and whether it accepts work. A
// worker gets work only after Reconcile was called for it.
func (p *Planner) SetVM(vm winch.VM) {
	if n := p.nodes[vm.ID]; n != nil {
		if !n.vm.AcceptsWork() && vm.AcceptsWork() {
			p.capacityVersion++
		}
		n.vm.Leaving, n.vm.Evacuated = vm.Leaving, vm.Evacuated
		n.vm.Address = vm.Address
		return
	}
	n := &node{vm: vm, free: vm.Size, tasks: make(map[winch.TaskID]*placement)}
	p.nodes[vm.ID] = n
	p.order = nil
	p.index.add(n)
	p.size = p.size.Add(vm.Size)
}

// RemoveWorker removes a worker whose leases are guaranteed to have expired. Its tasks
// are lost: those of repeatable jobs are queued again, and other jobs end as unknown.
func (p *Planner) RemoveWorker(vmID string, now time.Time) {
	n := p.nodes[vmID]
	if n == nil {
		return
	}
	for a := range n.foreign {
		p.releaseForeign(vmID, a)
	}
	for _, t := range sortedTasks(n) {
		p.TaskEnded(vmID, winch.Task{ID: t.id, Attempt: t.attempt, State: winch.TaskStopped}, now)
	}
	p.index.remove(n)
	p.size = p.size.Sub(n.vm.Size)
	delete(p.nodes, vmID)
	p.order = nil
	if p.reserved != nil && p.reserved.nodes[n] {
		p.dropReservation()
	}
}

// dropReservation makes the reserved workers available to all jobs again.
func (p *Planner) dropReservation() {
	p.reserved = nil
	p.capacityVersion++
}

func sortedTasks(n *node) []*placement {
	out := make([]*placement, 0, len(n.tasks))
	for _, t := range n.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *placement) int {
		if c := compareIDs(a.id, b.id); c != 0 {
			return c
		}
		return 0
	})
	return out
}

func compareIDs(a, b winch.TaskID) int {
	switch {
	case a.Job < b.Job:
		return -1
	case a.Job > b.Job:
		return 1
	default:
		return a.Index - b.Index
	}
}

// Submit adds a job. A held job may have been started by an earlier planner, so its
// tasks start only after OpenBarrier, unless they are found running. If the barrier is open,
// what the workers have listed decides at once. A later record of a known job adds what an
// earlier planner has recorded since.
func (p *Planner) Submit(rec winch.Job, class winch.Class, held bool, now time.Time) {
	if rec.State.Final() {
		return
	}
	if rec.Spec.Kind == winch.LongRunning {
		rec.EndedTasks = nil // Its tasks run again after a run is done.
	}
	if j := p.jobs[rec.ID]; j != nil {
		p.mergeRecord(j, rec)
		return
	}
	j := &job{
		rec: rec, class: class, need: rec.Spec.Need, held: held && !p.barrierOpen,
		running: make(map[int]*placement), ended: make(map[int]bool),
		failures: make(map[int]int), starts: make(map[int]int),
		failedWorkers: make(map[string]bool), seq: p.seq,
	}
	p.seq++
	for _, i := range rec.EndedTasks {
		j.ended[i] = true
	}
	for i := range rec.Spec.Tasks {
		if !j.ended[i] {
			j.pending = append(j.pending, i)
		}
	}
	j.latestStart = p.latestStart(j, now)
	p.jobs[rec.ID] = j
	if len(j.ended) == rec.Spec.Tasks {
		p.finish(j, winch.JobDone, "", "") // The earlier planner crashed before it recorded the job's completion.
		delete(p.early, rec.ID)
		return
	}
	p.queue.push(j)
	p.applyEarly(j, now)
	p.adoptForeign(j, now)
	if held && p.barrierOpen {
		p.finishUnresolved(j)
	}
}

// latestStart returns the time by which a job must start to meet its target.
func (p *Planner) latestStart(j *job, now time.Time) time.Time {
	submitted := j.rec.Submitted
	if submitted.IsZero() {
		submitted = now
	}
	if j.class.By == "" {
		return submitted.Add(j.class.Wait)
	}
	return nextTimeOfDay(submitted, j.class.By).Add(-p.forecast(j))
}

// nextTimeOfDay returns the first time after t with the UTC time of day hhmm, or t if
// hhmm is not a valid time of day.
func nextTimeOfDay(t time.Time, hhmm string) time.Time {
	clock, err := time.Parse("15:04", hhmm)
	if err != nil {
		return t
	}
	t = t.UTC()
	out := time.Date(t.Year(), t.Month(), t.Day(), clock.Hour(), clock.Minute(), 0, 0, time.UTC)
	if !out.After(t) {
		out = out.AddDate(0, 0, 1)
	}
	return out
}

func (p *Planner) sortedJobs() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.seq) - int(b.seq) })
	return out
}

// commit places a pending task on a worker and charges its resources, but takes no unit
// of the team's limit.
func (p *Planner) commit(j *job, i int, n *node, now time.Time) *placement {
	t := &placement{id: winch.TaskID{Job: j.rec.ID, Index: i}, job: j, node: n, started: now, forecastEnd: now.Add(p.forecast(j))}
	if j.running[i] != nil {
		panic(fmt.Sprintf("place: task %s is already running and cannot be placed twice", t.id))
	}
	p.index.charge(n, j.need)
	n.tasks[t.id] = t
	j.running[i] = t
	p.used[j.rec.Team] = p.used[j.rec.Team].Add(j.need)
	if j.started.IsZero() {
		j.started = now
	}
	j.waitReason = ""
	return t
}

// release removes a task from its worker and returns its unit of the team's limit.
func (p *Planner) release(t *placement) {
	j := t.job
	p.capacityVersion++
	delete(j.running, t.id.Index)
	delete(t.node.tasks, t.id)
	p.index.charge(t.node, winch.Resources{}.Sub(j.need))
	p.used[j.rec.Team] = p.used[j.rec.Team].Sub(j.need)
	p.Limits.Return(j.rec.Team, 1)
}

func (p *Planner) findTask(id winch.TaskID) *placement {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.running[id.Index]
}

// findAttempt returns the placement of an attempt, or nil if the task has since been
// released or placed again.
func (p *Planner) findAttempt(a winch.Attempt) *placement {
	if t := p.findTask(a.Task); t != nil && t.attempt == a.Number {
		return t
	}
	return nil
}

// StillPlaced reports whether a decided start is still valid. Its worker may have been
// considered lost since, and its capacity and unit may be used by other tasks.
func (p *Planner) StillPlaced(a winch.Attempt) bool {
	return p.findAttempt(a) != nil
}

// Forget removes a job that has ended and has no running tasks, and reports whether it
// did. The caller must have recorded the job's completion before.
func (p *Planner) Forget(id string) bool {
	j := p.jobs[id]
	if j == nil || !j.rec.State.Final() || len(j.running) > 0 {
		return false
	}
	delete(p.jobs, id)
	return true
}

// EndRecorded ends a job whose end another planner has recorded, and returns the decisions
// that stop its tasks.
func (p *Planner) EndRecorded(rec winch.Job) []Decision {
	j := p.jobs[rec.ID]
	if j == nil || j.rec.State.Final() {
		return nil
	}
	p.endJob(j, rec.State)
	return p.stopRunning(j)
}

// Cancel cancels a job and returns the decisions that stop its tasks. It reports false if
// the job is unknown or has ended.
func (p *Planner) Cancel(id string) ([]Decision, bool) {
	j := p.jobs[id]
	if j == nil || j.rec.State.Final() {
		return nil, false
	}
	j.rec.Cancel = true
	p.queue.remove(j)
	j.pending = nil
	out := p.stopRunning(j)
	p.finishCancelled(j)
	return out, true
}

// CancelWithdrawnKeys ends the jobs of which no task runs and whose key is no longer
// valid. A job that is already running continues.
func (p *Planner) CancelWithdrawnKeys(valid func(keyID string) bool) {
	for _, j := range p.sortedJobs() {
		if j.rec.State.Final() || valid(j.rec.KeyID) || len(j.running) > 0 || j.held {
			continue
		}
		p.finish(j, winch.JobCancelled, winch.KeyWithdrawn, "the key was withdrawn while the job waited")
	}
}

func (p *Planner) task(t *placement) winch.Task {
	j := t.job
	return winch.Task{
		ID: t.id, Team: j.rec.Team, Class: j.rec.Class, Need: j.need,
		RunTime: j.rec.Spec.RunTime, Command: j.rec.Spec.Command,
		Attempt: t.attempt, State: winch.TaskRunning,
	}
}

// Record returns a job's record with the planner's current state of the job.
func (p *Planner) Record(id string) (winch.Job, bool) {
	j := p.jobs[id]
	if j == nil {
		return winch.Job{}, false
	}
	out := j.rec
	out.Started = j.started
	out.EndedTasks = slices.Clone(j.rec.EndedTasks)
	if !out.State.Final() && len(j.running) > 0 {
		out.State = winch.JobRunning
	}
	return out, true
}
