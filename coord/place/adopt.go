package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

// Reconcile handles a worker's list of all its tasks, which it sends under the current
// epoch. Tasks of known jobs are adopted. The returned decisions stop the tasks that must
// not continue.
func (p *Planner) Reconcile(vmID string, tasks []winch.Task, now time.Time) []Decision {
	n := p.nodes[vmID]
	if n == nil {
		return nil
	}
	n.reconciled = true
	p.capacityVersion++
	var out []Decision
	for _, t := range tasks {
		if existing := n.tasks[t.ID]; existing != nil && existing.attempt == t.Attempt {
			existing.confirmed = true
			existing.uncertain = false
			continue
		}
		if t.State != winch.TaskRunning {
			continue
		}
		if p.adopt(n, t, now) != nil {
			p.Limits.Charge(t.Team, 1)
			continue
		}
		p.chargeForeign(n, t)
		out = append(out, Decision{Action: Stop, Task: t, VM: n.vm})
	}
	return out
}

// chargeForeign reserves the capacity of a task that is being stopped, and a unit of
// its team's limit. Otherwise new work would be committed to capacity that the worker
// does not have yet, and the team could briefly exceed its limit.
func (p *Planner) chargeForeign(n *node, t winch.Task) {
	if _, charged := n.foreign[t.Ref()]; charged || !t.Need.Fits(n.free) {
		return
	}
	if n.foreign == nil {
		n.foreign = make(map[winch.Attempt]winch.Task)
	}
	n.foreign[t.Ref()] = t
	p.Limits.Charge(t.Team, 1)
	p.index.charge(n, t.Need)
}

// releaseForeign frees the capacity and the unit that chargeForeign reserved for a task.
func (p *Planner) releaseForeign(vmID string, a winch.Attempt) {
	n := p.nodes[vmID]
	if n == nil {
		return
	}
	if t, charged := n.foreign[a]; charged {
		delete(n.foreign, a)
		p.Limits.Return(t.Team, 1)
		p.index.charge(n, winch.Resources{}.Sub(t.Need))
		p.capacityVersion++
	}
}

// adoptForeign takes over the runs of a job that were ordered to stop before the job was
// known. Their tasks wait until they have ended: a run may end as done before the order
// arrives.
func (p *Planner) adoptForeign(j *job, now time.Time) {
	for _, n := range p.sortedNodes() {
		for a, t := range n.foreign {
			if a.Task.Job != j.rec.ID || !slices.Contains(j.pending, a.Task.Index) {
				continue
			}
			p.releaseForeign(n.vm.ID, a)
			if adopted := p.adopt(n, t, now); adopted != nil {
				adopted.stopping = true
				p.Limits.Charge(t.Team, 1)
			}
		}
	}
}

// ConfirmedOn lists the attempts that a worker has acknowledged and that have not
// ended.
func (p *Planner) ConfirmedOn(vmID string) []winch.Attempt {
	n := p.nodes[vmID]
	if n == nil {
		return nil
	}
	var out []winch.Attempt
	for _, t := range n.tasks {
		if t.confirmed {
			out = append(out, winch.Attempt{Task: t.id, Number: t.attempt})
		}
	}
	return out
}

// TaskMissing handles a task that its worker acknowledged but no longer has, for example
// because an earlier planner let the worker forget the task's completion.
func (p *Planner) TaskMissing(vmID string, a winch.Attempt, now time.Time) []Decision {
	t := p.findTask(a.Task)
	if t == nil || t.node.vm.ID != vmID || t.attempt != a.Number {
		return nil
	}
	return p.TaskEnded(vmID, winch.Task{ID: a.Task, Attempt: a.Number, State: winch.TaskStopped}, now)
}

// adopt takes over a task that an earlier planner started, or returns nil if it
// cannot. The caller charges a unit for it.
func (p *Planner) adopt(n *node, t winch.Task, now time.Time) *placement {
	j := p.jobs[t.ID.Job]
	if j == nil || j.running[t.ID.Index] != nil || !t.Need.Fits(n.free) {
		return nil
	}
	if !p.takePending(j, t.ID.Index) {
		return nil
	}
	adopted := p.commit(j, t.ID.Index, n, now)
	adopted.attempt, adopted.confirmed = t.Attempt, true
	p.push(j)
	return adopted
}

// takePending removes a task from those that wait to be started, and the job from the
// queue. It reports false if the task does not wait.
func (p *Planner) takePending(j *job, i int) bool {
	pos := slices.Index(j.pending, i)
	if pos < 0 {
		return false
	}
	p.queue.remove(j)
	j.pending = slices.Delete(j.pending, pos, pos+1)
	return true
}

// OpenBarrier releases the held jobs. It returns the stops of the adopted tasks of jobs that it
// ends, and reports whether the barrier was closed before.
// It must be called only once every worker has responded under the current epoch or its
// leases are guaranteed to have expired. If a task of a non-repeatable job has a recorded
// start intent but was found at no worker, it may have run, so its job ends as unknown.
func (p *Planner) OpenBarrier() ([]Decision, bool) {
	if p.barrierOpen {
		return nil, false
	}
	var out []Decision
	p.barrierOpen = true
	for _, j := range p.sortedJobs() {
		if !j.held {
			continue
		}
		j.held = false
		out = append(out, p.finishUnresolved(j)...)
		p.queue.push(j)
	}
	return out, true
}

// mergeRecord adds the completions and intents in a record to a known job.
func (p *Planner) mergeRecord(j *job, rec winch.Job) {
	if j.rec.State.Final() {
		return
	}
	for _, i := range rec.Intent {
		if !slices.Contains(j.rec.Intent, i) {
			j.rec.Intent = append(slices.Clone(j.rec.Intent), i)
		}
	}
	for _, i := range rec.EndedTasks {
		if !j.ended[i] {
			p.takePending(j, i)
			p.markEnded(j, i, "")
		}
	}
	if !j.rec.State.Final() {
		p.push(j)
	}
}

// finishUnresolved ends a job as unknown if one of its tasks has a recorded start intent but
// was found at no worker, and returns the stops of its other tasks.
func (p *Planner) finishUnresolved(j *job) []Decision {
	i := unresolvedIntent(j)
	if i < 0 {
		return nil
	}
	out := p.stopRunning(j)
	p.finish(j, winch.JobUnknown, winch.ExecutorFailed, fmt.Sprintf("task %d may have run under an earlier placer", i))
	return out
}

// unresolvedIntent returns the index of a pending task that has a recorded start
// intent, or -1.
func unresolvedIntent(j *job) int {
	for _, i := range j.pending {
		if slices.Contains(j.rec.Intent, i) {
			return i
		}
	}
	return -1
}

// StartConfirmed records that a worker acknowledged a start.
func (p *Planner) StartConfirmed(a winch.Attempt) {
	if t := p.findAttempt(a); t != nil {
		t.confirmed, t.uncertain = true, false
	}
}

// StartUncertain records that the response to a start was lost, so the task may run.
func (p *Planner) StartUncertain(a winch.Attempt) {
	if t := p.findAttempt(a); t != nil && !t.confirmed {
		t.uncertain = true
	}
}

// UncertainOn lists the tasks on a worker whose start is uncertain.
func (p *Planner) UncertainOn(vmID string) []winch.Task {
	n := p.nodes[vmID]
	if n == nil {
		return nil
	}
	var out []winch.Task
	for _, t := range sortedTasks(n) {
		if t.uncertain {
			out = append(out, p.task(t))
		}
	}
	return out
}
