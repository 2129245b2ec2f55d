package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

// Known tells that a worker has answered under the current epoch and lists the
// tasks that it runs. Tasks of jobs that the planner knows are adopted; the
// decisions returned stop those that must not go on.
func (p *Planner) Known(vmID string, tasks []winch.Task, now time.Time) []Decision {
	n := p.nodes[vmID]
	if n == nil {
		return nil
	}
	n.known = true
	p.roomVersion++
	var out []Decision
	for _, t := range tasks {
		if have := n.tasks[t.ID]; have != nil {
			have.confirmed = true
			have.doubt = false
			continue
		}
		if t.State != winch.TaskRunning {
			continue
		}
		if p.adopt(n, t, now) != nil {
			p.Limits.Charge(t.Team, 1)
			continue
		}
		p.holdForeign(n, t)
		out = append(out, Decision{Action: Stop, Task: t, VM: n.vm})
	}
	return out
}

// holdForeign keeps the room of a task that is being stopped, and a unit of its
// team. Without it new work would be committed to room that the worker does not
// have yet, and the team could run more than its limit for a moment.
func (p *Planner) holdForeign(n *node, t winch.Task) {
	if _, held := n.foreign[t.Ref()]; held || !t.Need.Fits(n.free) {
		return
	}
	if n.foreign == nil {
		n.foreign = make(map[winch.Attempt]winch.Task)
	}
	n.foreign[t.Ref()] = t
	p.Limits.Charge(t.Team, 1)
	p.index.charge(n, t.Need)
}

// freeForeign gives the room of a task back that was not this planner's.
func (p *Planner) freeForeign(vmID string, a winch.Attempt) {
	n := p.nodes[vmID]
	if n == nil {
		return
	}
	if t, held := n.foreign[a]; held {
		delete(n.foreign, a)
		p.Limits.Return(t.Team, 1)
		p.index.charge(n, winch.Resources{}.Sub(t.Need))
		p.roomVersion++
	}
}

// ConfirmedOn lists the starts that a worker has acknowledged and that have not
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

// Vanished tells that a worker does not have a task that it had acknowledged,
// as when a former placer let it forget the task's end.
func (p *Planner) Vanished(vmID string, a winch.Attempt, now time.Time) []Decision {
	t := p.find(a.Task)
	if t == nil || t.node.vm.ID != vmID || t.attempt != a.Number {
		return nil
	}
	return p.Ended(vmID, winch.Task{ID: a.Task, Attempt: a.Number, State: winch.TaskStopped}, now)
}

// adopt takes a task over that an earlier placer started, or returns nil. The
// caller takes a unit for it, or marks it as unpaid.
func (p *Planner) adopt(n *node, t winch.Task, now time.Time) *placed {
	j := p.jobs[t.ID.Job]
	if j == nil || j.running[t.ID.Index] != nil || !t.Need.Fits(n.free) {
		return nil
	}
	at := slices.Index(j.pending, t.ID.Index)
	if at < 0 {
		return nil
	}
	p.queue.remove(j)
	j.pending = slices.Delete(j.pending, at, at+1)
	adopted := p.commit(j, t.ID.Index, n, now)
	adopted.attempt, adopted.confirmed = t.Attempt, true
	p.push(j)
	return adopted
}

// OpenBarrier tells that every worker has answered under the current epoch, or
// its leases have surely lapsed. Held jobs may start. A task of a non-repeatable
// job that has a start intent and was not found may have run: its job ends as
// unknown. It reports whether the barrier was closed before.
func (p *Planner) OpenBarrier() bool {
	if p.barrier {
		return false
	}
	p.barrier = true
	for _, j := range p.sortedJobs() {
		if !j.held {
			continue
		}
		j.held = false
		if i := lostIntent(j); i >= 0 {
			p.finish(j, winch.JobUnknown, winch.ExecutorFailed, fmt.Sprintf("task %d may have run under an earlier placer", i))
			continue
		}
		p.queue.push(j)
	}
	return true
}

func lostIntent(j *job) int {
	for _, i := range j.pending {
		if slices.Contains(j.rec.Intent, i) {
			return i
		}
	}
	return -1
}

// Confirmed tells that a worker acknowledged a start.
func (p *Planner) Confirmed(a winch.Attempt) {
	if t := p.attempt(a); t != nil {
		t.confirmed = true
	}
}

// Doubt tells that the reply to a start was lost: the task may run.
func (p *Planner) Doubt(a winch.Attempt) {
	if t := p.attempt(a); t != nil && !t.confirmed {
		t.doubt = true
	}
}

// Doubtful lists the tasks on a worker whose start is in doubt.
func (p *Planner) Doubtful(vmID string) []winch.Task {
	n := p.nodes[vmID]
	if n == nil {
		return nil
	}
	var out []winch.Task
	for _, t := range sortedTasks(n) {
		if t.doubt {
			out = append(out, p.task(t))
		}
	}
	return out
}
