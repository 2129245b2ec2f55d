package place

import (
	"fmt"
	"slices"
	"time"

	"plantainwinch/winch"
)

// Completion is the final state of a job that has ended.
type Completion struct {
	Job    string
	State  winch.JobState
	Reason winch.Reason
	Detail string
}

// StartRefused handles a start that certainly did not happen. If the task belongs to
// a gang, the rest of the gang is stopped.
func (p *Planner) StartRefused(a winch.Attempt, now time.Time) []Decision {
	t := p.findAttempt(a)
	if t == nil {
		return nil
	}
	j, n := t.job, t.node
	p.release(t)
	p.recordFailure(n, j, now)
	if j.rec.State.Final() {
		return nil // If queued again, the task would start although its job has ended.
	}
	if j.rec.Cancel || j.ended[t.id.Index] {
		p.supersededEnded(j)
		return nil
	}
	p.backOff(j, now)
	p.requeue(j, a.Task.Index)
	if !j.gang() {
		return nil
	}
	return p.stopRunning(j)
}

// stopRunning stops all running tasks of a job. They are queued again once stopped.
func (p *Planner) stopRunning(j *job) []Decision {
	var out []Decision
	for i := range j.rec.Spec.Tasks {
		if t := j.running[i]; t != nil && !t.stopping {
			t.stopping = true
			out = append(out, Decision{Action: Stop, Task: p.task(t), VM: t.node.vm})
		}
	}
	return out
}

func (p *Planner) requeue(j *job, i int) {
	p.queue.remove(j)
	j.pending = append(j.pending, i)
	slices.Sort(j.pending)
	p.push(j)
}

// TaskEnded handles a task that has ended at its worker or was lost with it. A worker
// may report the completion of an attempt that was considered lost after the task was
// started again, there or elsewhere. If that attempt is done, so is the task; any other
// such report must not end the new attempt.
func (p *Planner) TaskEnded(vmID string, task winch.Task, now time.Time) []Decision {
	p.releaseForeign(vmID, task.Ref())
	t := p.findTask(task.ID)
	if t == nil {
		return p.adoptEnded(vmID, task, now)
	}
	if t.node.vm.ID != vmID || t.attempt != task.Attempt {
		return p.earlierEnded(t, task)
	}
	j := t.job
	p.release(t)
	if j.rec.State.Final() {
		return nil
	}
	if j.ended[t.id.Index] {
		p.supersededEnded(j)
		return nil
	}
	out := p.applyResult(j, t, task, now)
	if !j.rec.State.Final() {
		p.push(j) // The rest of a gang may have waited for this task to end.
	}
	return out
}

func (p *Planner) applyResult(j *job, t *placement, task winch.Task, now time.Time) []Decision {
	if j.rec.Cancel {
		p.applyAfterCancel(j, t, task, now)
		return nil
	}
	switch task.State {
	case winch.TaskDone:
		return p.taskSucceeded(j, t, task.Output, now)
	case winch.TaskFailed:
		return p.taskFailed(j, t, now)
	default:
		return p.taskStopped(j, t, now)
	}
}

// earlierEnded handles a report of an attempt before the running one. If it is done, the
// running one is stopped, and its result does not count.
func (p *Planner) earlierEnded(t *placement, task winch.Task) []Decision {
	j := t.job
	if task.State != winch.TaskDone || j.rec.Spec.Kind == winch.LongRunning || j.rec.State.Final() || j.ended[t.id.Index] {
		return nil
	}
	var out []Decision
	if !t.stopping {
		t.stopping = true
		out = []Decision{{Action: Stop, Task: p.task(t), VM: t.node.vm}}
	}
	p.markEnded(j, t.id.Index, task.Output)
	return out
}

// supersededEnded handles the end of a run that does not count, because its job was
// cancelled or an earlier run of its task is done.
func (p *Planner) supersededEnded(j *job) {
	if j.rec.Cancel {
		p.finishCancelled(j)
		return
	}
	p.push(j) // The rest of a gang may have waited for it.
}

// applyAfterCancel applies a result of a cancelled job, whose tasks do not run again. The job
// is done if all its tasks are.
func (p *Planner) applyAfterCancel(j *job, t *placement, task winch.Task, now time.Time) {
	switch {
	case task.State == winch.TaskFailed:
		p.recordFailure(t.node, j, now)
		j.rec.Failed++
	case task.State == winch.TaskDone && j.rec.Spec.Kind != winch.LongRunning:
		p.taskSucceeded(j, t, task.Output, now)
	}
	p.finishCancelled(j)
}

// adoptEnded applies the result of a task that an earlier planner started and that
// ended before this planner knew of it. The earlier planner may already have returned
// the task's unit and used it for another task. Returning the unit again would let the
// team exceed its limit.
func (p *Planner) adoptEnded(vmID string, task winch.Task, now time.Time) []Decision {
	if task.State == winch.TaskStopped {
		return nil
	}
	j := p.jobs[task.ID.Job]
	if j == nil {
		p.keepEarly(vmID, task)
		return nil
	}
	if !p.takePending(j, task.ID.Index) {
		return nil
	}
	n := p.nodes[vmID]
	if n == nil {
		n = &node{vm: winch.VM{ID: vmID}} // The worker was removed after it had listed the task.
	}
	if j.started.IsZero() {
		j.started = now
	}
	out := p.applyResult(j, &placement{id: task.ID, job: j, node: n, attempt: task.Attempt}, task, now)
	if !j.rec.State.Final() {
		p.push(j)
	}
	return out
}

// earlyResult is the result of a task whose job is not known yet.
type earlyResult struct {
	vmID string
	task winch.Task
}

// keepEarly keeps a result until its job is submitted or ForgetEarly is called.
func (p *Planner) keepEarly(vmID string, task winch.Task) {
	list := p.early[task.ID.Job]
	if !slices.ContainsFunc(list, func(e earlyResult) bool { return e.task.Ref() == task.Ref() }) {
		p.early[task.ID.Job] = append(list, earlyResult{vmID, task})
	}
}

// applyEarly applies the results that arrived before their job.
func (p *Planner) applyEarly(j *job, now time.Time) {
	list := p.early[j.rec.ID]
	delete(p.early, j.rec.ID)
	for _, e := range list {
		p.adoptEnded(e.vmID, e.task, now)
	}
}

// ForgetEarly drops results of a job that is not known. It must be called only once they are
// in the ledger or the ledger has no such job to run, and the job must not be submitted
// from an older read of the ledger after that.
func (p *Planner) ForgetEarly(id string, tasks []winch.Task) {
	list := slices.DeleteFunc(p.early[id], func(e earlyResult) bool {
		return slices.ContainsFunc(tasks, func(t winch.Task) bool { return t.Ref() == e.task.Ref() })
	})
	if p.early[id] = list; len(list) == 0 {
		delete(p.early, id)
	}
}

func (p *Planner) taskSucceeded(j *job, t *placement, output string, now time.Time) []Decision {
	if !t.started.IsZero() {
		p.recordRunTime(j, now.Sub(t.started))
	}
	t.node.health.reset()
	j.backoff = 0
	if j.rec.Spec.Kind == winch.LongRunning {
		p.requeue(j, t.id.Index) // A long-running job always keeps its number of tasks.
		return nil
	}
	p.markEnded(j, t.id.Index, output)
	return nil
}

// markEnded records that a task is done, and ends its job if all of them are.
func (p *Planner) markEnded(j *job, i int, output string) {
	j.ended[i] = true
	j.rec.EndedTasks = append(j.rec.EndedTasks, i)
	if output != "" && len(j.rec.Output) < maxOutputs {
		j.rec.Output = append(j.rec.Output, output)
	}
	if len(j.ended) == j.rec.Spec.Tasks {
		p.finish(j, winch.JobDone, "", "")
	}
}

// maxOutputs bounds the outputs in a job's record.
const maxOutputs = 16

func (p *Planner) taskFailed(j *job, t *placement, now time.Time) []Decision {
	p.recordFailure(t.node, j, now)
	j.rec.Failed++
	j.failures[t.id.Index]++
	if !j.class.Repeatable || j.failures[t.id.Index] >= maxTaskFailures {
		out := p.stopRunning(j)
		p.finish(j, winch.JobFailed, winch.ExecutorFailed, fmt.Sprintf("task %d failed on %d workers", t.id.Index, len(j.failedWorkers)))
		return out
	}
	p.backOff(j, now)
	p.requeue(j, t.id.Index)
	if j.gang() {
		return p.stopRunning(j)
	}
	return nil
}

// backOff doubles a job's backoff after a failed start and keeps the job out of the
// queue for that time. Without it, a job that every worker refuses at once would be
// started again in a tight loop.
func (p *Planner) backOff(j *job, now time.Time) {
	j.backoff = min(max(2*j.backoff, minBackoff), maxBackoff)
	p.delayJob(j, now)
}

// delayJob keeps a job out of the queue for its current backoff.
func (p *Planner) delayJob(j *job, now time.Time) {
	p.queue.remove(j)
	j.notBefore = now.Add(max(j.backoff, minBackoff))
	if !j.delayed {
		j.delayed = true
		p.delayed = append(p.delayed, j)
	}
}

// requeueDelayed puts jobs whose delay has passed back into the queue.
func (p *Planner) requeueDelayed(now time.Time) {
	remaining := p.delayed[:0]
	for _, j := range p.delayed {
		if now.Before(j.notBefore) && !j.rec.State.Final() {
			remaining = append(remaining, j)
			continue
		}
		j.delayed = false
		p.push(j)
	}
	clear(p.delayed[len(remaining):])
	p.delayed = remaining
}

// push queues a job unless it is delayed or is a gang with tasks that still run.
func (p *Planner) push(j *job) {
	if j.delayed || j.gang() && len(j.running) > 0 {
		return
	}
	p.queue.push(j)
}

// taskStopped handles a task that ended without a result: it was evicted, lost with
// its worker or stopped on request. Only tasks of repeatable jobs run again.
func (p *Planner) taskStopped(j *job, t *placement, now time.Time) []Decision {
	if !j.class.Repeatable {
		out := p.stopRunning(j)
		p.finish(j, winch.JobUnknown, winch.ExecutorFailed, fmt.Sprintf("task %d was lost with its worker", t.id.Index))
		return out
	}
	if t.stopping {
		p.delayJob(j, now) // Otherwise it could reclaim the capacity that it was evicted from.
	}
	p.requeue(j, t.id.Index)
	if j.gang() {
		return p.stopRunning(j)
	}
	return nil
}

// finishCancelled ends a job whose cancellation was requested, once none of its tasks run.
func (p *Planner) finishCancelled(j *job) {
	if len(j.running) == 0 {
		p.finish(j, winch.JobCancelled, winch.Cancelled, "")
	}
}

// finish ends a job. Its tasks that still run keep their capacity until they have ended;
// the caller stops them.
func (p *Planner) finish(j *job, state winch.JobState, reason winch.Reason, detail string) {
	if j.rec.State.Final() {
		return
	}
	p.endJob(j, state)
	p.completions = append(p.completions, Completion{Job: j.rec.ID, State: state, Reason: reason, Detail: detail})
}

// endJob sets the final state of a job, of which nothing is started any more.
func (p *Planner) endJob(j *job, state winch.JobState) {
	p.queue.remove(j)
	j.pending = nil
	j.rec.State = state
	if p.reserved != nil && p.reserved.job == j {
		p.dropReservation()
	}
}

// TakeCompletions returns the completions of the jobs that ended since the last call.
func (p *Planner) TakeCompletions() []Completion {
	out := p.completions
	p.completions = nil
	return out
}
