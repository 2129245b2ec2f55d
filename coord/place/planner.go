package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

const (
	// failuresToGiveUp is how often a task of a repeatable job is tried.
	failuresToGiveUp = 3
	// overdue is how long before its latest start deferred work counts as urgent.
	overdue = time.Minute
	// defaultRun is the forecast run time where none is declared or known.
	defaultRun = time.Minute
	// backoffFirst and backoffMost bound the pause after a start that failed.
	backoffFirst = 200 * time.Millisecond
	backoffMost  = 30 * time.Second
	// candidates is how many workers are compared for one task.
	candidates = 8
)

// Preference is the operator's target for placement.
type Preference string

// Preferences.
const (
	Packing Preference = "Packing"
	Waiting Preference = "Waiting"
)

// Action is what a decision does.
type Action uint8

// Actions.
const (
	Start Action = iota + 1 // Start: start the task on the worker.
	Evict                   // Evict: checkpoint the task to make room.
	Stop                    // Stop: stop the task for good.
)

// Decision is one thing to be done at a worker.
type Decision struct {
	Action Action
	Task   winch.Task
	VM     winch.VM
	// Job is the job's record; a non-repeatable one needs an intent before Start.
	Repeatable bool
}

// Limits gives a planner units of the teams' upper limits.
type Limits interface {
	TryTake(team string, n int) bool
	Charge(team string, n int)
	Return(team string, n int)
}

// Planner holds one domain's workers, running tasks and queue. All methods must
// be called by one goroutine. Set the exported fields first.
type Planner struct {
	Prefer Preference
	Limits Limits
	// Team returns a team's configuration.
	Team func(name string) winch.Team
	// Epoch is the placer's epoch; it tells its starts from those of other placers.
	Epoch uint64
	// Baseline switches to first come, first fit: what the rest is measured against.
	Baseline bool

	nodes   map[string]*node
	order   []*node // order is the nodes by id, nil after a change.
	index   index
	jobs    map[string]*job
	queue   queue
	size    winch.Resources
	used    map[string]winch.Resources
	history map[historyKey]*history
	// reserved is kept free for one gang or large task that waits.
	reserved *reservation
	// delayed holds jobs that are not tried again before some time.
	delayed []*job
	seq     uint64
	// roomVersion rises whenever something could make a job fit that did not.
	roomVersion uint64
	// barrier is open once every worker has answered under the current epoch.
	barrier bool
	ends    []Final
	// Lost counts the run time that was thrown away by evictions.
	Lost      time.Duration
	Evictions int
}

// NewPlanner returns a planner without workers and jobs.
func NewPlanner(limits Limits, team func(string) winch.Team) *Planner {
	return &Planner{
		Prefer: Packing, Limits: limits, Team: team,
		nodes: make(map[string]*node), jobs: make(map[string]*job),
		queue:   queue{shapes: make(map[shapeKey]*shape)},
		used:    make(map[string]winch.Resources),
		history: make(map[historyKey]*history),
	}
}

// SetVM adds a worker or takes its leaving mark over. A worker gets work only
// after Known.
func (p *Planner) SetVM(vm winch.VM) {
	if n := p.nodes[vm.ID]; n != nil {
		n.vm.Leaving = vm.Leaving
		n.vm.Address = vm.Address
		return
	}
	n := &node{vm: vm, free: vm.Size, tasks: make(map[winch.TaskID]*placed)}
	p.nodes[vm.ID] = n
	p.order = nil
	p.index.add(n)
	p.size = p.size.Add(vm.Size)
}

// Gone drops a worker whose leases have surely lapsed. Its tasks are lost:
// those of repeatable jobs wait again, others end as unknown.
func (p *Planner) Gone(vmID string, now time.Time) {
	n := p.nodes[vmID]
	if n == nil {
		return
	}
	for a := range n.foreign {
		p.freeForeign(vmID, a)
	}
	for _, t := range sortedTasks(n) {
		p.Ended(vmID, winch.Task{ID: t.id, State: winch.TaskStopped}, now)
	}
	p.index.remove(n)
	p.size = p.size.Sub(n.vm.Size)
	delete(p.nodes, vmID)
	p.order = nil
	if p.reserved != nil && p.reserved.nodes[n] {
		p.dropReservation()
	}
}

// dropReservation opens the reserved workers to all again.
func (p *Planner) dropReservation() {
	p.reserved = nil
	p.roomVersion++
}

func sortedTasks(n *node) []*placed {
	out := make([]*placed, 0, len(n.tasks))
	for _, t := range n.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *placed) int {
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

// Submit adds a job. A held job may have been started by an earlier placer: its
// tasks start only after OpenBarrier, unless they are found running.
func (p *Planner) Submit(rec winch.Job, class winch.Class, held bool, now time.Time) {
	if p.jobs[rec.ID] != nil || rec.State.Final() {
		return
	}
	j := &job{
		rec: rec, class: class, need: rec.Spec.Need, held: held && !p.barrier,
		running: make(map[int]*placed), ended: make(map[int]bool),
		attempts: make(map[int]int), tries: make(map[int]int),
		badOn: make(map[string]bool), seq: p.seq,
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
	j.latest = p.latestStart(j, now)
	p.jobs[rec.ID] = j
	if len(j.ended) == rec.Spec.Tasks {
		p.finish(j, winch.JobDone, "", "") // The earlier placer died before it recorded the job's end.
		return
	}
	p.queue.push(j)
}

// latestStart returns the time by which a job must start to meet its target.
func (p *Planner) latestStart(j *job, now time.Time) time.Time {
	since := j.rec.Submitted
	if since.IsZero() {
		since = now
	}
	if j.class.By == "" {
		return since.Add(j.class.Wait)
	}
	return nextTimeOfDay(since, j.class.By).Add(-p.forecast(j))
}

// nextTimeOfDay returns the next time after t at which the clock, UTC, shows hhmm.
func nextTimeOfDay(t time.Time, hhmm string) time.Time {
	at, err := time.Parse("15:04", hhmm)
	if err != nil {
		return t
	}
	t = t.UTC()
	out := time.Date(t.Year(), t.Month(), t.Day(), at.Hour(), at.Minute(), 0, 0, time.UTC)
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

func (p *Planner) commit(j *job, i int, n *node, now time.Time) *placed {
	t := &placed{id: winch.TaskID{Job: j.rec.ID, Index: i}, job: j, node: n, started: now, ends: now.Add(p.forecast(j))}
	if j.running[i] != nil {
		panic(fmt.Sprintf("place: task %s has two live placements", t.id))
	}
	p.index.charge(n, j.need)
	n.tasks[t.id] = t
	j.running[i] = t
	p.used[j.rec.Team] = p.used[j.rec.Team].Add(j.need)
	if j.started.IsZero() {
		j.started = now
	}
	j.why = ""
	return t
}

// free takes a task off its worker and gives its unit back.
func (p *Planner) free(t *placed) {
	j := t.job
	p.roomVersion++
	delete(j.running, t.id.Index)
	delete(t.node.tasks, t.id)
	p.index.charge(t.node, winch.Resources{}.Sub(j.need))
	p.used[j.rec.Team] = p.used[j.rec.Team].Sub(j.need)
	if !t.unpaid {
		p.Limits.Return(j.rec.Team, 1)
	}
}

func (p *Planner) find(id winch.TaskID) *placed {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.running[id.Index]
}

// attempt returns the placement that one start belongs to, or nil if the task
// has been given up or placed again since.
func (p *Planner) attempt(a winch.Attempt) *placed {
	if t := p.find(a.Task); t != nil && t.attempt == a.Number {
		return t
	}
	return nil
}

// Stands reports whether a decided start is still wanted: its worker may have
// been taken for lost in the meantime, and its room and unit given to others.
func (p *Planner) Stands(a winch.Attempt) bool {
	return p.attempt(a) != nil
}

// Forget drops an ended job once its end is recorded and its tasks are gone.
func (p *Planner) Forget(id string) bool {
	j := p.jobs[id]
	if j == nil || !j.rec.State.Final() || len(j.running) > 0 {
		return false
	}
	delete(p.jobs, id)
	return true
}

// Cancel stops a job. It reports false if the job is not known or has ended.
func (p *Planner) Cancel(id string) ([]Decision, bool) {
	j := p.jobs[id]
	if j == nil || j.rec.State.Final() {
		return nil, false
	}
	j.rec.Cancel = true
	p.queue.remove(j)
	j.pending = nil
	out := p.takeBack(j)
	p.cancelled(j)
	return out, true
}

// Withdraw ends the jobs of keys that are no longer valid and of which nothing
// runs yet. The rest of a job that runs is left to its end.
func (p *Planner) Withdraw(valid func(keyID string) bool) {
	for _, j := range p.sortedJobs() {
		if j.rec.State.Final() || valid(j.rec.KeyID) || len(j.running) > 0 || j.held {
			continue
		}
		p.finish(j, winch.JobCancelled, winch.KeyWithdrawn, "the key was withdrawn while the job waited")
	}
}

func (p *Planner) task(t *placed) winch.Task {
	j := t.job
	return winch.Task{
		ID: t.id, Team: j.rec.Team, Class: j.rec.Class, Need: j.need,
		RunTime: j.rec.Spec.RunTime, Command: j.rec.Spec.Command,
		Attempt: t.attempt, State: winch.TaskRunning,
	}
}

// Record returns a job's record as the planner knows it.
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
